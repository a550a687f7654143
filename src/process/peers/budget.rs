//! Limits the bytes sent per second.

use crate::prelude::*;

/// A token bucket that holds at most a fifth of a second's bytes.
pub struct Budget {
    rate: f64,
    tokens: f64,
    refilled: Instant,
}

impl Budget {
    /// Creates an empty bucket that refills at `rate` bytes per second.
    pub fn new(rate: u32, now: Instant) -> Self {
        Self { rate: f64::from(rate), tokens: 0.0, refilled: now }
    }

    /// Takes `bytes` from the bucket; false if it holds fewer.
    pub fn try_take(&mut self, bytes: usize, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.rate / 5.0);
        self.refilled = now;
        if self.tokens < bytes as f64 {
            return false;
        }
        self.tokens -= bytes as f64;
        true
    }
}
