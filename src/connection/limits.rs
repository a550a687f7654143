//! Size limits and timeouts for the messages of a connection.

use std::time::Duration;

/// Limits that are enforced before a message reaches the HTTP codec.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest head in bytes.
    pub head_bytes: usize,
    /// Longest time to receive a head, counted from its first byte.
    pub head_timeout: Duration,
    /// Largest body in bytes.
    pub body_bytes: usize,
    /// Longest time to receive a body.
    pub body_timeout: Duration,
    /// Longest time without a byte between two messages.
    pub idle_timeout: Duration,
    /// Longest time to write a response.
    pub write_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            head_timeout: Duration::from_secs(5),
            body_bytes: 1024 * 1024,
            body_timeout: Duration::from_secs(30),
            idle_timeout: Duration::from_secs(75),
            write_timeout: Duration::from_secs(30),
        }
    }
}

impl Limits {
    /// The limits for responses of targets.
    pub fn for_responses() -> Self {
        Self { body_bytes: 8 * 1024 * 1024, ..Self::default() }
    }
}
