//! The refill of one shard that this entry has accrued and not handed over.

use super::MAX_SPAN;
use crate::prelude::*;

/// A span of time for which this entry's part of the refill is still its own.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    start: Duration,
}

impl Span {
    /// Starts to accrue at `now`.
    pub fn starting(now: Duration) -> Self {
        Self { start: now }
    }

    /// The time accrued, without what is older than `MAX_SPAN`.
    pub fn accrued(&self, now: Duration) -> Duration {
        now.saturating_sub(self.start).min(MAX_SPAN)
    }

    /// Takes the accrued time; it is used or handed over only once.
    pub fn take(&mut self, now: Duration) -> Duration {
        let accrued = self.accrued(now);
        self.start = self.start.max(now);
        accrued
    }
}
