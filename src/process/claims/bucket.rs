//! Token bucket that limits the append rate of an entry.

use crate::prelude::*;

/// Tokens that accrue at `rate` a second, up to `burst`.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    updated_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket of `burst` tokens that gains `rate` tokens a second.
    pub fn new(rate: f64, burst: f64, now: Instant) -> Self {
        Self { rate, burst, tokens: burst, updated_at: now }
    }

    /// Changes the rate from `now` on.
    pub fn set_rate(&mut self, rate: f64, now: Instant) {
        self.refill(now);
        self.rate = rate;
    }

    /// Takes a token if at least `reserve` tokens then remain.
    pub fn try_take(&mut self, reserve: f64, now: Instant) -> bool {
        self.refill(now);
        let is_enough = self.tokens >= 1.0 + reserve;
        if is_enough {
            self.tokens -= 1.0;
        }
        is_enough
    }

    /// Returns the time from `now` until `try_take` with this reserve succeeds.
    pub fn time_until_available(&mut self, reserve: f64, now: Instant) -> Duration {
        self.refill(now);
        Duration::from_secs_f64((1.0 + reserve - self.tokens).max(0.0) / self.rate)
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.burst);
        self.updated_at = self.updated_at.max(now);
    }
}
