//! How long reads of the targets' feed wait for a change.
//!
//! Subscribers read for themselves when the reader's knowledge grows too old. A read without a change
//! therefore ends in time, whatever went before it.

use super::sharing::STANDBY_AGE;
use crate::edge::directory::Feed;
use crate::prelude::*;

/// Time for the news of a read to reach the subscribers.
const MARGIN: Duration = Duration::from_millis(150);
/// Bounds of the time after which an answer is overdue. Answers that were lost count as slow ones.
const MIN_SLACK: Duration = Duration::from_millis(75);
const MAX_SLACK: Duration = Duration::from_millis(300);
/// Shortest wait, so that a slow directory is not read all the time.
const MIN_WAIT: Duration = Duration::from_millis(100);

/// The time that reads of a feed take beside their waits.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    overhead: Duration,
}

impl Pace {
    /// How long the next read may wait if the last one ended `since` ago, and if there was one.
    pub fn wait(&self, since: Option<Duration>) -> Duration {
        let Some(since) = since else { return MIN_WAIT };
        let left = STANDBY_AGE.saturating_sub(MARGIN + since + self.overhead);
        left.clamp(MIN_WAIT, Feed::Targets.longest_wait())
    }

    /// How long after its wait the answer of a read is overdue.
    pub fn slack(&self) -> Duration {
        (self.overhead * 2).clamp(MIN_SLACK, MAX_SLACK)
    }

    /// Takes note of a read without a change that waited for `wait` and took `span`.
    pub fn learn(&mut self, wait: Duration, span: Duration) {
        self.overhead = span.saturating_sub(wait);
    }
}
