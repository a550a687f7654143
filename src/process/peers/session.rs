//! The task of one connection to a peer.

use std::collections::HashMap;

use local_sync::mpsc::unbounded::{channel, Rx};
use quinn_proto::{Dir, Event, StreamEvent, StreamId};

use super::frame::{
    malformed, Frame, FrameReader, MAX_CONTROL_FRAME_BYTES, MAX_REPLY_BYTES, MAX_REQUEST_BYTES,
};
use super::handler;
use super::link::Link;
use super::message::{Hello, LoadBatch, Message, Reply, Request};
use super::outbox::{Outbox, ReplySender};
use super::writer::Writer;
use super::{Peers, Result};
use crate::connection::quic::connection::Connection;
use crate::connection::quic::identity;
use crate::prelude::*;
use crate::process::entry::Entry;

/// Longest wait for the peer's hello message, from the start of the connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);
/// Close code unless the peer violated the protocol.
const CLOSE_ORDERLY: u32 = 0;
/// Close code after a message that violates the protocol.
const CLOSE_MALFORMED: u32 = 1;

/// How a connection ended.
#[derive(Debug)]
pub enum Ending {
    /// This entry closed it.
    Closed,
    /// It was lost or could not be opened.
    Lost,
}

/// State of one connection.
pub struct Session {
    connection: Connection,
    /// The stream on which this entry sends control messages.
    control: Option<StreamId>,
    entry: Rc<Entry>,
    link: Option<Rc<Link>>,
    outbox: Rc<Outbox>,
    readers: HashMap<StreamId, FrameReader>,
    /// Receivers of the replies to this entry's pending requests.
    replies: HashMap<StreamId, ReplySender>,
    /// Wakes the session when something is queued or the connection is to be closed.
    signal: Rx<()>,
    started: Instant,
    writers: HashMap<StreamId, Writer>,
}

impl Session {
    /// Creates the session of a connection whose handshake may still be in progress.
    pub fn new(entry: Rc<Entry>, connection: Connection) -> Self {
        let (sender, signal) = channel();
        Self {
            connection,
            control: None,
            entry,
            link: None,
            outbox: Rc::new(Outbox::new(sender)),
            readers: HashMap::new(),
            replies: HashMap::new(),
            signal,
            started: Instant::now(),
            writers: HashMap::new(),
        }
    }

    /// Drives the connection until it ends.
    pub async fn run(mut self) -> Ending {
        let outcome = self.drive().await;
        let was_linked = self.link.is_some();
        if let Some(link) = self.link.take() {
            self.peers().unregister(&link);
        }
        match outcome {
            Err(Error::Malformed { reason }) => {
                log::warn!("peer `{}` violated the protocol: {reason}", self.connection.remote());
                self.entry.metrics.count("cornellink_peer_malformed_total");
                self.connection.close(CLOSE_MALFORMED, "malformed message");
                Ending::Lost
            }
            Err(error) => {
                log::info!("connection to peer `{}` ended: {error}", self.connection.remote());
                if !was_linked {
                    self.entry.metrics.count("cornellink_peer_handshakes_failed_total");
                }
                self.connection.close(CLOSE_ORDERLY, "handshake failed");
                Ending::Lost
            }
            Ok(()) => Ending::Closed,
        }
    }

    fn peers(&self) -> &Peers {
        &self.entry.peers
    }

    async fn drive(&mut self) -> Result<()> {
        loop {
            while let Some(event) = self.connection.poll() {
                self.on_event(event)?;
            }
            if let Some(reason) = self.close_reason() {
                log::info!("closing the connection to `{}`: {reason}", self.connection.remote());
                self.connection.close(CLOSE_ORDERLY, reason);
                return Ok(());
            }
            if self.link.is_none() && self.started.elapsed() > HANDSHAKE_TIMEOUT {
                return Err(Error::Connection { reason: "the handshake timed out".into() });
            }
            self.write_streams()?;
            self.connection.flush();
            monoio::select! {
                () = self.connection.wait_for_event() => {}
                _ = self.signal.recv() => {}
            }
        }
    }

    fn close_reason(&self) -> Option<&'static str> {
        if self.peers().is_stopping() {
            return Some("the entry is stopping");
        }
        self.outbox.close_reason()
    }

    fn on_event(&mut self, event: Event) -> Result<()> {
        match event {
            Event::Connected => self.open_control(),
            Event::ConnectionLost { reason } => {
                Err(Error::Connection { reason: reason.to_string() })
            }
            Event::DatagramReceived => self.read_datagrams(),
            Event::Stream(StreamEvent::Opened { dir }) => self.accept_streams(dir),
            Event::Stream(StreamEvent::Readable { id }) => self.read_stream(id),
            Event::Stream(StreamEvent::Stopped { id, .. }) => {
                self.writers.remove(&id);
                Ok(())
            }
            Event::Stream(_) | Event::DatagramsUnblocked | Event::HandshakeDataReady => Ok(()),
        }
    }

    /// Opens the control stream and sends the hello message.
    fn open_control(&mut self) -> Result<()> {
        let id = self.connection.open(Dir::Uni);
        let id = id.ok_or_else(|| malformed("the peer does not allow a control stream"))?;
        let hello = Message::Hello(self.peers().hello(&self.entry.settings));
        let mut writer = Writer::default();
        writer.push(hello.encode().encode());
        self.writers.insert(id, writer);
        self.control = Some(id);
        Ok(())
    }

    fn accept_streams(&mut self, dir: Dir) -> Result<()> {
        while let Some(id) = self.connection.accept(dir) {
            let limit = if dir == Dir::Uni { MAX_CONTROL_FRAME_BYTES } else { MAX_REQUEST_BYTES };
            self.readers.insert(id, FrameReader::new(limit));
            self.read_stream(id)?;
        }
        Ok(())
    }

    fn read_stream(&mut self, id: StreamId) -> Result<()> {
        let Some(mut reader) = self.readers.remove(&id) else { return Ok(()) };
        let has_ended = self.connection.read(id, &mut reader.buffer)?;
        while let Some(frame) = reader.next_frame()? {
            self.on_frame(id, &frame)?;
        }
        if !has_ended {
            self.readers.insert(id, reader);
            return Ok(());
        }
        if id.dir() == Dir::Uni {
            return Err(Error::Connection { reason: "the control stream ended".into() });
        }
        self.replies.remove(&id);
        Ok(())
    }

    /// Handles a frame, which holds a control message, a reply or a request.
    fn on_frame(&mut self, id: StreamId, frame: &Frame) -> Result<()> {
        self.peers().count_received(&self.entry, frame.payload.len());
        if id.dir() == Dir::Uni {
            return self.on_control_frame(frame);
        }
        if let Some(sender) = self.replies.remove(&id) {
            let _ = sender.send(Reply::decode(frame)?.unwrap_or(Reply::Missing));
            return Ok(());
        }
        if self.link.is_none() {
            return Err(malformed("a request arrived before the hello message"));
        }
        let request = Request::decode(frame)?;
        let reply =
            request.map_or(Reply::Missing, |request| handler::handle_request(&self.entry, request));
        let mut writer = Writer::default();
        writer.push(reply.encode().encode());
        writer.finish();
        self.writers.insert(id, writer);
        Ok(())
    }

    fn on_control_frame(&mut self, frame: &Frame) -> Result<()> {
        let message = Message::decode(frame)?;
        match (message, &self.link) {
            (Some(Message::Hello(hello)), None) => self.on_hello(hello),
            (Some(Message::Hello(_)), Some(_)) => Err(malformed("a second hello message")),
            (Some(message), Some(link)) => {
                handler::handle_message(&self.entry, link, message);
                Ok(())
            }
            (_, None) => Err(malformed("a message arrived before the hello message")),
            (None, Some(_)) => {
                self.entry.metrics.count("cornellink_peer_unknown_total");
                Ok(())
            }
        }
    }

    /// Checks the hello message and registers the connection.
    fn on_hello(&mut self, hello: Hello) -> Result<()> {
        if !hello.is_compatible() {
            let reason = format!("protocol `{}` is not supported", hello.protocol);
            return Err(Error::Connection { reason });
        }
        let certificates = self.connection.certificates();
        let is_named = |certificate| identity::is_certificate_of(certificate, &hello.name);
        if !certificates.first().is_some_and(is_named) {
            return Err(malformed(format!("the certificate is not for `{}`", hello.name)));
        }
        let is_initiator = self.connection.is_dialler();
        let link = Link::new(hello, self.outbox.clone(), certificates, is_initiator);
        let link = Rc::new(link);
        if self.peers().register(&self.entry, &link) {
            self.link = Some(link);
        } else {
            self.outbox.close("another connection to the peer exists");
        }
        Ok(())
    }

    fn read_datagrams(&mut self) -> Result<()> {
        while let Some(bytes) = self.connection.recv_datagram() {
            let frame = Frame::decode_datagram(bytes)?;
            self.peers().count_received(&self.entry, frame.payload.len());
            // Datagrams may overtake the hello message.
            let Some(link) = &self.link else { continue };
            match LoadBatch::decode(&frame)? {
                Some(batch) => handler::handle_load_batch(&self.entry, link, &batch),
                None => self.entry.metrics.count("cornellink_peer_unknown_total"),
            }
        }
        Ok(())
    }

    /// Writes queued frames to all open streams.
    fn write_streams(&mut self) -> Result<()> {
        self.outbox.clear_signal();
        if self.link.is_some() {
            self.fill_streams();
        }
        for (id, writer) in &mut self.writers {
            writer.write(&mut self.connection, *id)?;
        }
        self.writers.retain(|_, writer| !writer.is_done());
        Ok(())
    }

    /// Moves queued messages and requests into streams and datagrams.
    fn fill_streams(&mut self) {
        while let Some(batch) = self.outbox.pop_load_batch() {
            self.entry.peers.count_sent(&self.entry, batch.len());
            self.connection.send_datagram(batch);
        }
        let control = self.control.and_then(|id| self.writers.get_mut(&id));
        if let Some(writer) = control {
            while writer.has_room() {
                let Some(frame) = self.outbox.pop_control() else { break };
                self.entry.peers.count_sent(&self.entry, frame.len());
                writer.push(frame);
            }
        }
        while self.outbox.has_requests() {
            let Some(id) = self.connection.open(Dir::Bi) else { return };
            let Some((frame, sender)) = self.outbox.pop_request() else { return };
            self.entry.peers.count_sent(&self.entry, frame.len());
            let mut writer = Writer::default();
            writer.push(frame);
            writer.finish();
            self.writers.insert(id, writer);
            self.readers.insert(id, FrameReader::new(MAX_REPLY_BYTES));
            self.replies.insert(id, sender);
        }
    }
}
