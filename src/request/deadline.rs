//! The time by which a call must have its answer.

use crate::prelude::*;

/// Longest time to a deadline; a caller may name one whose addition to an instant overflows.
const MAX_SPAN: Duration = Duration::from_secs(24 * 60 * 60);

/// A point in time after which an answer is of no use to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline(Instant);

impl Deadline {
    /// A deadline `span` after `now`, or after `MAX_SPAN` if that is earlier.
    pub fn after(now: Instant, span: Duration) -> Self {
        Self(now + span.min(MAX_SPAN))
    }

    /// The earlier of two deadlines.
    pub fn min(self, other: Self) -> Self {
        Self(self.0.min(other.0))
    }

    /// The time left at `now`; zero once the deadline has passed.
    pub fn left(self, now: Instant) -> Duration {
        self.0.saturating_duration_since(now)
    }

    /// Whether the deadline has passed at `now`.
    pub fn has_passed(self, now: Instant) -> bool {
        now >= self.0
    }

    /// The deadline as an instant.
    pub fn instant(self) -> Instant {
        self.0
    }
}
