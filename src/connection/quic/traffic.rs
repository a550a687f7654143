//! Bytes and datagrams of one socket.

use crate::prelude::*;

/// Bytes that IPv4 and UDP add to each datagram.
pub const DATAGRAM_OVERHEAD: u64 = 28;

/// Counts what a socket sent and received, with the overhead of IPv4 and UDP.
#[derive(Default)]
pub struct Traffic {
    pub received_bytes: Cell<u64>,
    pub received_datagrams: Cell<u64>,
    pub sent_bytes: Cell<u64>,
    pub sent_datagrams: Cell<u64>,
}

impl Traffic {
    pub(super) fn received(&self, length: usize) {
        self.received_bytes.set(self.received_bytes.get() + length as u64 + DATAGRAM_OVERHEAD);
        self.received_datagrams.set(self.received_datagrams.get() + 1);
    }

    pub(super) fn sent(&self, length: usize) {
        self.sent_bytes.set(self.sent_bytes.get() + length as u64 + DATAGRAM_OVERHEAD);
        self.sent_datagrams.set(self.sent_datagrams.get() + 1);
    }
}
