//! Exponential back-off after failed reads of the directory.

use crate::prelude::*;

/// Delay after the first failure; each further one doubles it.
const FIRST_DELAY: Duration = Duration::from_millis(250);
/// Longest delay of an entry on whose reads others depend, or that cannot serve calls yet.
const URGENT_MAX_DELAY: Duration = Duration::from_millis(500);
/// Longest delay of an entry that normally gets its updates from another one. Changes must be in
/// force 2 s after the end of an outage, even if no update arrives and the last read before the end
/// was lost.
const MAX_DELAY: Duration = Duration::from_millis(600);
/// Largest number of doublings of the delay.
const MAX_DOUBLINGS: u32 = 8;

/// Counts consecutive failed reads of one feed.
#[derive(Clone, Copy, Debug, Default)]
pub struct BackOff {
    failures: u32,
}

impl BackOff {
    /// Records a failed read; returns the mean delay before the next one.
    pub fn record_failure(&mut self, is_urgent: bool) -> Duration {
        let longest = if is_urgent { URGENT_MAX_DELAY } else { MAX_DELAY };
        let delay = FIRST_DELAY * (1 << self.failures.min(MAX_DOUBLINGS));
        self.failures += 1;
        delay.min(longest)
    }

    /// Records a successful read; returns whether the one before had failed.
    pub fn record_success(&mut self) -> bool {
        std::mem::take(&mut self.failures) > 0
    }

    /// Whether the last read failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }
}
