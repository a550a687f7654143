//! Queues of messages and requests to one peer.

use std::collections::VecDeque;

use local_sync::mpsc::unbounded::Tx;
use local_sync::oneshot;

use super::frame::Frame;
use super::message::{Message, Reply, Request};
use crate::prelude::*;

/// Maximum number of bytes in the queue of control messages.
const MAX_CONTROL_QUEUE_BYTES: usize = 256 * 1024;
/// Maximum number of queued batches of load reports.
const MAX_LOAD_BATCHES: usize = 4;
/// Maximum number of requests that wait until a stream can be opened.
const MAX_QUEUED_REQUESTS: usize = 64;

/// Receives the reply to a request.
pub type ReplySender = oneshot::Sender<Reply>;

/// Bounded queues to one peer.
pub struct Outbox {
    control: RefCell<VecDeque<Bytes>>,
    control_bytes: Cell<usize>,
    load_batches: RefCell<VecDeque<Bytes>>,
    requests: RefCell<VecDeque<(Bytes, ReplySender)>>,
    close_reason: Cell<Option<&'static str>>,
    /// Whether a signal was sent that the session has not cleared.
    is_signalled: Cell<bool>,
    signal: Tx<()>,
}

impl Outbox {
    /// Creates empty queues; `signal` wakes the session.
    pub fn new(signal: Tx<()>) -> Self {
        Self {
            control: RefCell::default(),
            control_bytes: Cell::new(0),
            load_batches: RefCell::default(),
            requests: RefCell::default(),
            close_reason: Cell::new(None),
            is_signalled: Cell::new(false),
            signal,
        }
    }

    /// Encodes and queues a control message.
    pub fn send(&self, message: &Message) {
        self.send_frame(message.encode().encode());
    }

    /// Queues an encoded control message. Closes the connection if the queue is full, as the peer
    /// does not keep up.
    pub fn send_frame(&self, frame: Bytes) {
        let bytes = self.control_bytes.get() + frame.len();
        if bytes > MAX_CONTROL_QUEUE_BYTES {
            return self.close("the queue to the peer is full");
        }
        self.control_bytes.set(bytes);
        self.control.borrow_mut().push_back(frame);
        self.wake();
    }

    /// Queues a batch of load reports and drops the oldest batch if the queue is full.
    pub fn send_load_batch(&self, frame: &Frame) {
        let mut load_batches = self.load_batches.borrow_mut();
        load_batches.push_back(frame.encode_datagram());
        if load_batches.len() > MAX_LOAD_BATCHES {
            load_batches.pop_front();
        }
        drop(load_batches);
        self.wake();
    }

    /// Queues a request; false if the queue is full.
    pub fn send_request(&self, request: &Request, reply: ReplySender) -> bool {
        let mut requests = self.requests.borrow_mut();
        if requests.len() >= MAX_QUEUED_REQUESTS {
            return false;
        }
        requests.push_back((request.encode().encode(), reply));
        drop(requests);
        self.wake();
        true
    }

    /// Signals the session to close the connection.
    pub fn close(&self, reason: &'static str) {
        self.close_reason.set(Some(reason));
        self.wake();
    }

    /// The reason for which the connection is to be closed.
    pub fn close_reason(&self) -> Option<&'static str> {
        self.close_reason.get()
    }

    /// Removes the next control message.
    pub fn pop_control(&self) -> Option<Bytes> {
        let frame = self.control.borrow_mut().pop_front()?;
        self.control_bytes.set(self.control_bytes.get() - frame.len());
        Some(frame)
    }

    /// Removes the next batch of load reports.
    pub fn pop_load_batch(&self) -> Option<Bytes> {
        self.load_batches.borrow_mut().pop_front()
    }

    /// Removes the next request.
    pub fn pop_request(&self) -> Option<(Bytes, ReplySender)> {
        self.requests.borrow_mut().pop_front()
    }

    /// Whether a request is queued.
    pub fn has_requests(&self) -> bool {
        !self.requests.borrow().is_empty()
    }

    /// Marks the signal as received, so that the next queued item sends it again.
    pub fn clear_signal(&self) {
        self.is_signalled.set(false);
    }

    fn wake(&self) {
        if !self.is_signalled.replace(true) {
            let _ = self.signal.send(());
        }
    }
}
