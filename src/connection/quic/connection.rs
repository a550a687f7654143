//! A QUIC connection, driven by the task that owns it.

use local_sync::mpsc::unbounded::Rx;
use quinn_proto::{
    ConnectionEvent, ConnectionHandle, Dir, EndpointEvent, Event, ReadError, StreamId, VarInt,
    WriteError,
};
use rustls::pki_types::CertificateDer;

use super::endpoint::Endpoint;
use crate::connection::Result;
use crate::prelude::*;

/// Longest wait for an event, even if no timer of the connection is due earlier.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// A QUIC connection to a peer.
pub struct Connection {
    endpoint: Rc<Endpoint>,
    handle: ConnectionHandle,
    events: Rx<ConnectionEvent>,
    inner: quinn_proto::Connection,
    is_dialler: bool,
}

impl Connection {
    pub(super) fn new(
        endpoint: Rc<Endpoint>,
        handle: ConnectionHandle,
        inner: quinn_proto::Connection,
        events: Rx<ConnectionEvent>,
        is_dialler: bool,
    ) -> Self {
        Self { endpoint, handle, events, inner, is_dialler }
    }

    /// Whether this side opened the connection.
    pub fn is_dialler(&self) -> bool {
        self.is_dialler
    }

    /// Address of the peer.
    pub fn remote(&self) -> SocketAddr {
        self.inner.remote_address()
    }

    /// The peer's certificate chain; empty until the handshake is complete.
    pub fn certificates(&self) -> Vec<CertificateDer<'static>> {
        let identity = self.inner.crypto_session().peer_identity();
        let chain = identity.and_then(|any| any.downcast::<Vec<CertificateDer<'static>>>().ok());
        chain.map(|chain| *chain).unwrap_or_default()
    }

    /// Returns the next event for the application, if there is one.
    pub fn poll(&mut self) -> Option<Event> {
        self.inner.poll()
    }

    /// Sends all packets that may be sent now, and passes pending events to the endpoint.
    pub fn flush(&mut self) {
        let mut buffer = Vec::new();
        loop {
            buffer.clear();
            let Some(transmit) = self.inner.poll_transmit(Instant::now(), 1, &mut buffer) else {
                break;
            };
            self.endpoint.send(&transmit, &buffer);
        }
        while let Some(event) = self.inner.poll_endpoint_events() {
            self.endpoint.handle_event(self.handle, event);
        }
    }

    /// Waits for a datagram or a timer of the connection and processes it. Cancel-safe.
    pub async fn wait_for_event(&mut self) {
        let now = Instant::now();
        let timer = self.inner.poll_timeout();
        let end = timer.map_or(now + MAX_WAIT, |timer| timer.min(now + MAX_WAIT));
        if end > now {
            let received = monoio::select! {
                event = self.events.recv() => event,
                () = monoio::time::sleep_until(end.into()) => None,
            };
            if let Some(event) = received {
                self.inner.handle_event(event);
            }
        }
        while let Ok(event) = self.events.try_recv() {
            self.inner.handle_event(event);
        }
        let now = Instant::now();
        if self.inner.poll_timeout().is_some_and(|timer| timer <= now) {
            self.inner.handle_timeout(now);
        }
    }

    /// Opens a stream, if the peer's stream limit allows it.
    pub fn open(&mut self, dir: Dir) -> Option<StreamId> {
        self.inner.streams().open(dir)
    }

    /// Accepts a stream that the peer opened.
    pub fn accept(&mut self, dir: Dir) -> Option<StreamId> {
        self.inner.streams().accept(dir)
    }

    /// Appends the received data of a stream to `buffer`; returns `true` at the end of the stream.
    pub fn read(&mut self, id: StreamId, buffer: &mut BytesMut) -> Result<bool> {
        let mut stream = self.inner.recv_stream(id);
        let mut chunks = stream.read(true).map_err(connection_error)?;
        loop {
            match chunks.next(usize::MAX) {
                Ok(Some(chunk)) => buffer.extend_from_slice(&chunk.bytes),
                Ok(None) => return Ok(true),
                Err(ReadError::Blocked) => return Ok(false),
                Err(error) => return Err(connection_error(error)),
            }
        }
    }

    /// Writes as much of `data` as flow control allows and removes it from `data`.
    pub fn write(&mut self, id: StreamId, data: &mut Bytes) -> Result<()> {
        while !data.is_empty() {
            match self.inner.send_stream(id).write(data) {
                Ok(written) => drop(data.split_to(written)),
                Err(WriteError::Blocked) => return Ok(()),
                Err(error) => return Err(connection_error(error)),
            }
        }
        Ok(())
    }

    /// Ends the sending side of a stream.
    pub fn finish(&mut self, id: StreamId) {
        let _ = self.inner.send_stream(id).finish();
    }

    /// Queues an unreliable datagram and returns whether that succeeded; the oldest queued ones are
    /// dropped if the buffer is full.
    pub fn send_datagram(&mut self, data: Bytes) -> bool {
        self.inner.datagrams().send(data, true).is_ok()
    }

    /// Returns the next received datagram, if there is one.
    pub fn recv_datagram(&mut self) -> Option<Bytes> {
        self.inner.datagrams().recv()
    }

    /// Closes the connection and sends the code and the reason to the peer.
    pub fn close(&mut self, code: u32, reason: &'static str) {
        self.inner.close(
            Instant::now(),
            VarInt::from_u32(code),
            Bytes::from_static(reason.as_bytes()),
        );
        self.flush();
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if !self.inner.is_drained() {
            self.endpoint.handle_event(self.handle, EndpointEvent::drained());
        }
    }
}

fn connection_error(error: impl std::fmt::Display) -> Error {
    Error::Connection { reason: error.to_string() }
}
