//! One UDP socket with its QUIC connections.

use std::collections::HashMap;
use std::future::poll_fn;
use std::task::Poll;

use local_sync::mpsc::unbounded::{channel, Rx, Tx};
use monoio::net::udp::UdpSocket;
use quinn_proto::{
    ConnectionEvent, ConnectionHandle, DatagramEvent, EndpointEvent, Incoming, Transmit,
};

use super::connection::Connection;
use super::identity::{Identity, SERVER_NAME};
use super::limits;
use super::traffic::Traffic;
use crate::connection::Result;
use crate::prelude::*;

/// Largest datagram that is read.
const DATAGRAM_BYTES: usize = 2048;
/// Most connections, also those whose handshake is not complete.
const MAX_CONNECTIONS: usize = 512;
/// Datagrams read before other tasks get their turn.
const BURST: usize = 32;

/// A socket, and the part of QUIC that concerns all of its connections.
pub struct Endpoint {
    pub traffic: Traffic,
    identity: RefCell<Identity>,
    inboxes: RefCell<HashMap<ConnectionHandle, Tx<ConnectionEvent>>>,
    inner: RefCell<quinn_proto::Endpoint>,
    reader: UdpSocket,
    writer: std::net::UdpSocket,
}

impl Endpoint {
    /// Binds the socket.
    pub fn bind(address: SocketAddr, identity: Identity) -> Result<Rc<Self>> {
        let failed = |source| Error::Bind { address, source };
        let writer = std::net::UdpSocket::bind(address).map_err(failed)?;
        writer.set_nonblocking(true).map_err(failed)?;
        let reader = writer.try_clone().and_then(UdpSocket::from_std).map_err(failed)?;
        let server = Some(identity.server.clone());
        let inner = quinn_proto::Endpoint::new(limits::endpoint(), server, false, None);
        Ok(Rc::new(Self {
            traffic: Traffic::default(),
            identity: RefCell::new(identity),
            inboxes: RefCell::default(),
            inner: RefCell::new(inner),
            reader,
            writer,
        }))
    }

    /// The identity in use.
    pub fn identity(&self) -> Identity {
        self.identity.borrow().clone()
    }

    /// Uses another identity for connections to come.
    pub fn set_identity(&self, identity: Identity) {
        self.inner.borrow_mut().set_server_config(Some(identity.server.clone()));
        self.identity.replace(identity);
    }

    /// Starts a connection to a peer; its handshake is not complete yet.
    pub fn connect(self: &Rc<Self>, address: SocketAddr) -> Result<Connection> {
        let config = self.identity.borrow().client.clone();
        let connected =
            self.inner.borrow_mut().connect(Instant::now(), config, address, SERVER_NAME);
        let (handle, inner) =
            connected.map_err(|error| Error::Connection { reason: error.to_string() })?;
        Ok(Connection::new(self.clone(), handle, inner, self.open(handle), true))
    }

    /// Reads the socket until the task is dropped; accepted connections go to `accepted`.
    pub async fn read(self: Rc<Self>, accepted: Tx<Connection>) {
        let mut count = 0;
        let mut buffer = Vec::with_capacity(DATAGRAM_BYTES);
        loop {
            buffer.clear();
            let (result, returned) = self.reader.recv_from(buffer).await;
            buffer = returned;
            let Ok((length, remote)) = result else { continue };
            self.traffic.received(length);
            self.receive(remote, BytesMut::from(&buffer[..length]), &accepted);
            count += 1;
            if count % BURST == 0 {
                yield_once().await;
            }
        }
    }

    fn receive(self: &Rc<Self>, remote: SocketAddr, data: BytesMut, accepted: &Tx<Connection>) {
        let mut answer = Vec::new();
        let now = Instant::now();
        let event = self.inner.borrow_mut().handle(now, remote, None, None, data, &mut answer);
        match event {
            Some(DatagramEvent::ConnectionEvent(handle, event)) => self.forward(handle, event),
            Some(DatagramEvent::NewConnection(incoming)) => self.accept(incoming, accepted),
            Some(DatagramEvent::Response(transmit)) => self.send(&transmit, &answer),
            None => {}
        }
    }

    fn accept(self: &Rc<Self>, incoming: Incoming, accepted: &Tx<Connection>) {
        let mut answer = Vec::new();
        let mut inner = self.inner.borrow_mut();
        if inner.open_connections() >= MAX_CONNECTIONS {
            let transmit = inner.refuse(incoming, &mut answer);
            return self.send(&transmit, &answer);
        }
        let result = inner.accept(incoming, Instant::now(), &mut answer, None);
        drop(inner);
        match result {
            Ok((handle, inner)) => {
                let inbox = self.open(handle);
                let connection = Connection::new(self.clone(), handle, inner, inbox, false);
                let _ = accepted.send(connection);
            }
            Err(error) => {
                if let Some(transmit) = error.response {
                    self.send(&transmit, &answer);
                }
            }
        }
    }

    fn open(&self, handle: ConnectionHandle) -> Rx<ConnectionEvent> {
        let (sender, receiver) = channel();
        self.inboxes.borrow_mut().insert(handle, sender);
        receiver
    }

    fn forward(&self, handle: ConnectionHandle, event: ConnectionEvent) {
        if let Some(inbox) = self.inboxes.borrow().get(&handle) {
            let _ = inbox.send(event);
        }
    }

    /// Passes on what a connection has to say to the endpoint.
    pub(super) fn tell(&self, handle: ConnectionHandle, event: EndpointEvent) {
        if event.is_drained() {
            self.inboxes.borrow_mut().remove(&handle);
        }
        let answer = self.inner.borrow_mut().handle_event(handle, event);
        if let Some(event) = answer {
            self.forward(handle, event);
        }
    }

    /// Sends one datagram; QUIC repeats one that the socket does not take.
    pub(super) fn send(&self, transmit: &Transmit, data: &[u8]) {
        let data = &data[..transmit.size];
        if self.writer.send_to(data, transmit.destination).is_ok() {
            self.traffic.sent(data.len());
        }
    }
}

async fn yield_once() {
    let mut yielded = false;
    poll_fn(|context| {
        if yielded {
            return Poll::Ready(());
        }
        yielded = true;
        context.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}
