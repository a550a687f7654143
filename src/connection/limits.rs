//! Bounds on what a connection may send.

use std::time::Duration;

/// Bounds that apply beneath the HTTP codec.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest head in bytes.
    pub head_bytes: usize,
    /// Time for the whole head, counted from its first byte.
    pub head_time: Duration,
    /// Largest body in bytes.
    pub body_bytes: usize,
    /// Time for the whole body.
    pub body_time: Duration,
    /// Time without a byte between two messages.
    pub idle_time: Duration,
    /// Time for the peer to take a whole response.
    pub write_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            head_time: Duration::from_secs(5),
            body_bytes: 1024 * 1024,
            body_time: Duration::from_secs(30),
            idle_time: Duration::from_secs(75),
            write_time: Duration::from_secs(30),
        }
    }
}

impl Limits {
    /// The bounds on a target's answers.
    pub fn for_answers() -> Self {
        Self { body_bytes: 8 * 1024 * 1024, ..Self::default() }
    }
}
