//! Recent failures of one target.

use crate::prelude::*;

/// Time without a failure after which earlier ones are forgotten.
const MEMORY: Duration = Duration::from_secs(8);
/// Time for which a target is left out after its first failure; each further one doubles it.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Most doublings of the pause.
const MAX_DOUBLINGS: u32 = 3;
/// Time for which a target is left out after it refused a call that it seemed to have room for.
const REFUSAL_PAUSE: Duration = Duration::from_millis(150);

/// Whether a target should be left out for now.
///
/// A target that fails part of its calls still passes its health check, and an entry sends it few
/// calls, so one failure is enough to leave it out for a short time.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureTracker {
    failures: u32,
    last: Option<Instant>,
    until: Option<Instant>,
}

impl FailureTracker {
    /// Takes note of a call or a probe that failed.
    pub fn fail(&mut self, now: Instant) {
        let is_old = |last: Instant| now.saturating_duration_since(last) > MEMORY;
        if self.last.is_some_and(is_old) {
            self.failures = 0;
        }
        self.leave_out(now, FIRST_PAUSE * (1 << self.failures.min(MAX_DOUBLINGS)));
        self.failures += 1;
        self.last = Some(now);
    }

    /// Takes note of a call that the target refused without running it.
    pub fn refuse(&mut self, now: Instant) {
        self.leave_out(now, REFUSAL_PAUSE);
    }

    /// Whether the target is left out at `now`.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    fn leave_out(&mut self, now: Instant, pause: Duration) {
        self.until = self.until.max(Some(now + pause));
    }
}
