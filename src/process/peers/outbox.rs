//! What waits to be sent to one peer.

use std::collections::VecDeque;

use local_sync::mpsc::unbounded::Tx;
use local_sync::oneshot;

use super::frame::Frame;
use super::message::{Message, Reply, Request};
use crate::prelude::*;

/// Most bytes of control messages that wait for a peer.
const CONTROL_LIMIT: usize = 256 * 1024;
/// Most batches of load hints that wait for a peer.
const HINT_LIMIT: usize = 4;
/// Most requests that wait for a stream.
const REQUEST_LIMIT: usize = 64;

/// Where the reply to a request goes.
pub type ReplySender = oneshot::Sender<Reply>;

/// Bounded queues to one peer.
pub struct Outbox {
    control: RefCell<VecDeque<Bytes>>,
    control_bytes: Cell<usize>,
    hints: RefCell<VecDeque<Bytes>>,
    requests: RefCell<VecDeque<(Bytes, ReplySender)>>,
    close: Cell<Option<&'static str>>,
    is_signalled: Cell<bool>,
    signal: Tx<()>,
}

impl Outbox {
    /// Creates empty queues; `signal` wakes the task of the peer.
    pub fn new(signal: Tx<()>) -> Self {
        Self {
            control: RefCell::default(),
            control_bytes: Cell::new(0),
            hints: RefCell::default(),
            requests: RefCell::default(),
            close: Cell::new(None),
            is_signalled: Cell::new(false),
            signal,
        }
    }

    /// Queues a control message; a peer that does not keep up loses its connection.
    pub fn send(&self, message: &Message) {
        self.send_frame(message.encode().encode());
    }

    /// Queues an encoded control message.
    pub fn send_frame(&self, frame: Bytes) {
        let bytes = self.control_bytes.get() + frame.len();
        if bytes > CONTROL_LIMIT {
            return self.close("the queue to the peer is full");
        }
        self.control_bytes.set(bytes);
        self.control.borrow_mut().push_back(frame);
        self.wake();
    }

    /// Queues a batch of load hints and drops the oldest if too many wait.
    pub fn send_hints(&self, frame: &Frame) {
        let mut hints = self.hints.borrow_mut();
        hints.push_back(frame.encode_datagram());
        if hints.len() > HINT_LIMIT {
            hints.pop_front();
        }
        drop(hints);
        self.wake();
    }

    /// Queues a request; false if too many wait.
    pub fn send_request(&self, request: &Request, reply: ReplySender) -> bool {
        let mut requests = self.requests.borrow_mut();
        if requests.len() >= REQUEST_LIMIT {
            return false;
        }
        requests.push_back((request.encode().encode(), reply));
        drop(requests);
        self.wake();
        true
    }

    /// Asks the task of the peer to close the connection.
    pub fn close(&self, reason: &'static str) {
        self.close.set(Some(reason));
        self.wake();
    }

    /// Why the connection is to be closed.
    pub fn close_reason(&self) -> Option<&'static str> {
        self.close.get()
    }

    /// Takes the next control message.
    pub fn take_control(&self) -> Option<Bytes> {
        let frame = self.control.borrow_mut().pop_front()?;
        self.control_bytes.set(self.control_bytes.get() - frame.len());
        Some(frame)
    }

    /// Takes the next batch of load hints.
    pub fn take_hints(&self) -> Option<Bytes> {
        self.hints.borrow_mut().pop_front()
    }

    /// Takes the next request.
    pub fn take_request(&self) -> Option<(Bytes, ReplySender)> {
        self.requests.borrow_mut().pop_front()
    }

    /// Whether a request waits for a stream.
    pub fn has_requests(&self) -> bool {
        !self.requests.borrow().is_empty()
    }

    /// Marks the signal as seen.
    pub fn awake(&self) {
        self.is_signalled.set(false);
    }

    fn wake(&self) {
        if !self.is_signalled.replace(true) {
            let _ = self.signal.send(());
        }
    }
}
