//! The time by which a call must be answered.

use crate::prelude::*;

/// Longest time to a deadline. Without the limit, adding a caller's value to an instant could
/// overflow.
const MAX_TIMEOUT: Duration = Duration::from_secs(24 * 60 * 60);

/// A point in time after which the caller no longer waits for a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline(Instant);

impl Deadline {
    /// Creates a deadline `timeout` after `now`, with `timeout` capped at `MAX_TIMEOUT`.
    pub fn after(now: Instant, timeout: Duration) -> Self {
        Self(now + timeout.min(MAX_TIMEOUT))
    }

    /// Returns the deadline that is earlier by `duration`.
    pub fn earlier_by(self, duration: Duration) -> Self {
        Self(self.0.checked_sub(duration).unwrap_or(self.0))
    }

    /// Returns the earlier of two deadlines.
    pub fn min(self, other: Self) -> Self {
        Self(self.0.min(other.0))
    }

    /// Returns the time remaining at `now`, which is zero once the deadline has passed.
    pub fn left(self, now: Instant) -> Duration {
        self.0.saturating_duration_since(now)
    }

    /// Returns whether the deadline has passed at `now`.
    pub fn has_passed(self, now: Instant) -> bool {
        now >= self.0
    }

    /// Returns the deadline as an instant.
    pub fn instant(self) -> Instant {
        self.0
    }
}
