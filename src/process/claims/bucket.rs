//! A token bucket.

use crate::prelude::*;

/// Permits that accrue at a fixed rate up to a burst.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    at: Instant,
}

impl Bucket {
    /// Creates a full bucket of `burst` tokens that gains `rate` tokens a second.
    pub fn new(rate: f64, burst: f64, now: Instant) -> Self {
        Self { rate, burst, tokens: burst, at: now }
    }

    /// Changes the rate from `now` on.
    pub fn set_rate(&mut self, rate: f64, now: Instant) {
        self.fill(now);
        self.rate = rate;
    }

    /// Takes a token if `floor` tokens are left behind.
    pub fn take(&mut self, floor: f64, now: Instant) -> bool {
        self.fill(now);
        let is_enough = self.tokens >= 1.0 + floor;
        if is_enough {
            self.tokens -= 1.0;
        }
        is_enough
    }

    /// Time from `now` until `take` with this floor succeeds.
    pub fn wait(&mut self, floor: f64, now: Instant) -> Duration {
        self.fill(now);
        Duration::from_secs_f64((1.0 + floor - self.tokens).max(0.0) / self.rate)
    }

    fn fill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.burst);
        self.at = self.at.max(now);
    }
}
