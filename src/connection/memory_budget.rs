//! A limit on the bytes that an entry buffers for all callers, or for all targets, together.

use std::cell::Cell;

/// Bytes that each connection may buffer even when the budget is exhausted.
const GUARANTEED_BYTES: usize = 64 * 1024;

/// Counts the bytes of messages that connections buffer, against a common limit.
pub struct MemoryBudget {
    limit_bytes: usize,
    used_bytes: Cell<usize>,
}

impl Default for MemoryBudget {
    /// Creates a budget without a limit.
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

impl MemoryBudget {
    pub fn new(limit_bytes: usize) -> Self {
        Self { limit_bytes, used_bytes: Cell::new(0) }
    }

    /// Adds bytes that a connection has read.
    pub fn add(&self, bytes: usize) {
        self.used_bytes.set(self.used_bytes.get() + bytes);
    }

    /// Subtracts bytes that a connection has freed.
    pub fn release(&self, bytes: usize) {
        self.used_bytes.set(self.used_bytes.get() - bytes);
    }

    /// Whether a connection that has buffered `buffered` bytes must stop reading.
    pub fn is_exhausted(&self, buffered: usize) -> bool {
        buffered > GUARANTEED_BYTES && self.used_bytes.get() > self.limit_bytes
    }
}
