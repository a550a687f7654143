//! Tracks recent failures of one target and excludes it from selection after them.

use crate::prelude::*;

/// Time without a failure after which the failure count restarts at zero.
const FAILURE_EXPIRY: Duration = Duration::from_secs(8);
/// Time for which a target is excluded after its first failure; each further one doubles it.
const FIRST_EXCLUSION: Duration = Duration::from_millis(500);
/// Largest number of doublings of the exclusion.
const MAX_DOUBLINGS: u32 = 3;
/// Time for which a target is excluded after it refused a call although its load had shown room.
const REFUSAL_EXCLUSION: Duration = Duration::from_millis(150);

/// Decides whether a target is excluded for now.
///
/// A target that fails part of its calls still passes its health check, and an entry sends it few
/// calls, so one failure is enough to exclude it for a short time. An excluded target still gets
/// calls if there is no other one.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureTracker {
    failures: u32,
    last_failure: Option<Instant>,
    excluded_until: Option<Instant>,
}

impl FailureTracker {
    /// Records a call or a probe that failed.
    pub fn record_failure(&mut self, now: Instant) {
        let is_expired = |last: Instant| now.saturating_duration_since(last) > FAILURE_EXPIRY;
        if self.last_failure.is_some_and(is_expired) {
            self.failures = 0;
        }
        self.exclude(now, FIRST_EXCLUSION * (1 << self.failures.min(MAX_DOUBLINGS)));
        self.failures += 1;
        self.last_failure = Some(now);
    }

    /// Records a call that the target refused without running it, or a new connection on which it
    /// did not respond to a probe in time.
    pub fn record_refusal(&mut self, now: Instant) {
        self.exclude(now, REFUSAL_EXCLUSION);
    }

    /// Whether the target is excluded at `now`.
    pub fn is_excluded(&self, now: Instant) -> bool {
        self.excluded_until.is_some_and(|until| now < until)
    }

    fn exclude(&mut self, now: Instant, duration: Duration) {
        self.excluded_until = self.excluded_until.max(Some(now + duration));
    }
}
