//! A limit on the bytes that an entry buffers for all callers, or for all targets, together.

use std::cell::Cell;

/// Bounds of what each connection may buffer even when the budget is exhausted.
const MIN_GUARANTEED_BYTES: usize = 4 * 1024;
const MAX_GUARANTEED_BYTES: usize = 64 * 1024;
/// Part of the limit that the guaranteed bytes of all connections may make up beyond it.
const GUARANTEED_RATIO: usize = 4;

/// Counts the bytes of messages that connections buffer, against a common limit.
pub struct MemoryBudget {
    limit_bytes: usize,
    /// Bytes that each connection may buffer even when the budget is exhausted.
    guaranteed_bytes: usize,
    used_bytes: Cell<usize>,
}

impl Default for MemoryBudget {
    /// Creates a budget without a limit.
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

impl MemoryBudget {
    /// A budget for few connections.
    pub fn new(limit_bytes: usize) -> Self {
        Self { limit_bytes, guaranteed_bytes: MAX_GUARANTEED_BYTES, used_bytes: Cell::new(0) }
    }

    /// A budget for this many connections, so that what is guaranteed to all of them exceeds the limit
    /// by a quarter at most.
    pub fn for_connections(limit_bytes: usize, connections: usize) -> Self {
        let share = limit_bytes / GUARANTEED_RATIO / connections.max(1);
        let guaranteed_bytes = share.clamp(MIN_GUARANTEED_BYTES, MAX_GUARANTEED_BYTES);
        Self { guaranteed_bytes, ..Self::new(limit_bytes) }
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
        buffered > self.guaranteed_bytes && self.used_bytes.get() > self.limit_bytes
    }
}
