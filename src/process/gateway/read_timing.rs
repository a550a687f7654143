//! Computes how long reads of the targets' feed wait for a change.
//!
//! Subscribers read the directory themselves when the reader's copy is older than `STANDBY_AGE`. A
//! read without a change must therefore end before that, however long ago the previous read ended.

use super::sharing::STANDBY_AGE;
use crate::edge::directory::Feed;
use crate::prelude::*;

/// Time for the result of a read to reach the subscribers.
const DELIVERY_MARGIN: Duration = Duration::from_millis(150);
/// Bounds of the time that a response may take beyond the wait of its read before it is overdue.
/// Lost responses are measured as slow ones.
const MIN_SLACK: Duration = Duration::from_millis(75);
const MAX_SLACK: Duration = Duration::from_millis(300);
/// Shortest wait, so that a slow directory is not read constantly.
const MIN_WAIT: Duration = Duration::from_millis(100);

/// Measures the time that reads of a feed take in addition to their waits.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadTiming {
    /// Overhead of the last read that ended without a change.
    overhead: Duration,
}

impl ReadTiming {
    /// How long the next read may wait if the last one ended `since` ago; `None` if there was none.
    pub fn next_wait(&self, since: Option<Duration>) -> Duration {
        let Some(since) = since else { return MIN_WAIT };
        let left = STANDBY_AGE.saturating_sub(DELIVERY_MARGIN + since + self.overhead);
        left.clamp(MIN_WAIT, Feed::Targets.max_wait())
    }

    /// Time beyond the wait of a read after which its response is overdue.
    pub fn slack(&self) -> Duration {
        (self.overhead * 2).clamp(MIN_SLACK, MAX_SLACK)
    }

    /// Records a read without a change that waited for `wait` and took `duration`.
    pub fn record(&mut self, wait: Duration, duration: Duration) {
        self.overhead = duration.saturating_sub(wait);
    }
}
