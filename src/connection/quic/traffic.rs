//! Traffic counters of a socket.

use crate::prelude::*;

/// Size of the IPv4 and UDP headers of a datagram.
pub const DATAGRAM_OVERHEAD_BYTES: u64 = 28;

/// Datagrams and bytes that a socket sent and received, including IPv4 and UDP headers.
#[derive(Default)]
pub struct Traffic {
    pub received_bytes: Cell<u64>,
    pub received_datagrams: Cell<u64>,
    pub sent_bytes: Cell<u64>,
    pub sent_datagrams: Cell<u64>,
}

impl Traffic {
    pub(super) fn record_received(&self, length: usize) {
        self.received_bytes
            .set(self.received_bytes.get() + length as u64 + DATAGRAM_OVERHEAD_BYTES);
        self.received_datagrams.set(self.received_datagrams.get() + 1);
    }

    pub(super) fn record_sent(&self, length: usize) {
        self.sent_bytes.set(self.sent_bytes.get() + length as u64 + DATAGRAM_OVERHEAD_BYTES);
        self.sent_datagrams.set(self.sent_datagrams.get() + 1);
    }
}
