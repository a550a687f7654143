//! A QUIC endpoint: a UDP socket and its connections.

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

/// Largest datagram that can be received.
const MAX_DATAGRAM_BYTES: usize = 2048;
/// Most connections, including those whose handshake is not complete.
const MAX_CONNECTIONS: usize = 512;
/// Most datagrams received before the task yields to others.
const MAX_DATAGRAM_BURST: usize = 32;

/// A UDP socket and the QUIC state that its connections share.
pub struct Endpoint {
    pub traffic: Traffic,
    identity: RefCell<Identity>,
    event_senders: RefCell<HashMap<ConnectionHandle, Tx<ConnectionEvent>>>,
    inner: RefCell<quinn_proto::Endpoint>,
    reader: UdpSocket,
    writer: std::net::UdpSocket,
}

impl Endpoint {
    /// Binds a socket and accepts connections with `identity`.
    pub fn bind(address: SocketAddr, identity: Identity) -> Result<Rc<Self>> {
        let bind_error = |source| Error::Bind { address, source };
        let writer = std::net::UdpSocket::bind(address).map_err(bind_error)?;
        writer.set_nonblocking(true).map_err(bind_error)?;
        let reader = writer.try_clone().and_then(UdpSocket::from_std).map_err(bind_error)?;
        let server = Some(identity.server.clone());
        let inner = quinn_proto::Endpoint::new(limits::endpoint_config(), server, false, None);
        Ok(Rc::new(Self {
            traffic: Traffic::default(),
            identity: RefCell::new(identity),
            event_senders: RefCell::default(),
            inner: RefCell::new(inner),
            reader,
            writer,
        }))
    }

    /// The identity for new connections.
    pub fn identity(&self) -> Identity {
        self.identity.borrow().clone()
    }

    /// Replaces the identity for new connections.
    pub fn set_identity(&self, identity: Identity) {
        self.inner.borrow_mut().set_server_config(Some(identity.server.clone()));
        self.identity.replace(identity);
    }

    /// Starts a connection to a peer and returns it before the handshake.
    pub fn connect(self: &Rc<Self>, address: SocketAddr) -> Result<Connection> {
        let config = self.identity.borrow().client.clone();
        let connected =
            self.inner.borrow_mut().connect(Instant::now(), config, address, SERVER_NAME);
        let (handle, inner) =
            connected.map_err(|error| Error::Connection { reason: error.to_string() })?;
        Ok(Connection::new(self.clone(), handle, inner, self.register(handle), true))
    }

    /// Receives datagrams until the future is dropped; sends accepted connections to `accepted`.
    pub async fn run(self: Rc<Self>, accepted: Tx<Connection>) {
        let mut count = 0;
        let mut buffer = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        loop {
            buffer.clear();
            let (result, returned) = self.reader.recv_from(buffer).await;
            buffer = returned;
            let Ok((length, remote)) = result else { continue };
            self.traffic.record_received(length);
            self.receive(remote, BytesMut::from(&buffer[..length]), &accepted);
            count += 1;
            if count % MAX_DATAGRAM_BURST == 0 {
                yield_once().await;
            }
        }
    }

    fn receive(self: &Rc<Self>, remote: SocketAddr, data: BytesMut, accepted: &Tx<Connection>) {
        let mut response = Vec::new();
        let now = Instant::now();
        let event = self.inner.borrow_mut().handle(now, remote, None, None, data, &mut response);
        match event {
            Some(DatagramEvent::ConnectionEvent(handle, event)) => self.dispatch(handle, event),
            Some(DatagramEvent::NewConnection(incoming)) => self.accept(incoming, accepted),
            Some(DatagramEvent::Response(transmit)) => self.send(&transmit, &response),
            None => {}
        }
    }

    fn accept(self: &Rc<Self>, incoming: Incoming, accepted: &Tx<Connection>) {
        let mut response = Vec::new();
        let mut inner = self.inner.borrow_mut();
        if inner.open_connections() >= MAX_CONNECTIONS {
            let transmit = inner.refuse(incoming, &mut response);
            return self.send(&transmit, &response);
        }
        let result = inner.accept(incoming, Instant::now(), &mut response, None);
        drop(inner);
        match result {
            Ok((handle, inner)) => {
                let events = self.register(handle);
                let connection = Connection::new(self.clone(), handle, inner, events, false);
                let _ = accepted.send(connection);
            }
            Err(error) => {
                if let Some(transmit) = error.response {
                    self.send(&transmit, &response);
                }
            }
        }
    }

    /// Registers a connection; the endpoint sends its events to the returned receiver.
    fn register(&self, handle: ConnectionHandle) -> Rx<ConnectionEvent> {
        let (sender, receiver) = channel();
        self.event_senders.borrow_mut().insert(handle, sender);
        receiver
    }

    fn dispatch(&self, handle: ConnectionHandle, event: ConnectionEvent) {
        if let Some(sender) = self.event_senders.borrow().get(&handle) {
            let _ = sender.send(event);
        }
    }

    /// Handles an event that a connection has for its endpoint.
    pub(super) fn handle_event(&self, handle: ConnectionHandle, event: EndpointEvent) {
        if event.is_drained() {
            self.event_senders.borrow_mut().remove(&handle);
        }
        let response = self.inner.borrow_mut().handle_event(handle, event);
        if let Some(event) = response {
            self.dispatch(handle, event);
        }
    }

    /// Sends one datagram; QUIC retransmits the data of one that the socket does not accept.
    pub(super) fn send(&self, transmit: &Transmit, data: &[u8]) {
        let data = &data[..transmit.size];
        if self.writer.send_to(data, transmit.destination).is_ok() {
            self.traffic.record_sent(data.len());
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
