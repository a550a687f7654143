//! Drain state of a target.

use crate::prelude::*;

/// Time after the last drain signal before a listed address counts as a new VM; longer than the
/// list of VMs lags.
const REUSE_DELAY: Duration = Duration::from_secs(60);

/// Whether a target is draining; nothing that the target itself reports can end this state.
///
/// Only the list of VMs can: it must have dropped the address and then list it as live again, at
/// least `REUSE_DELAY` after the last drain signal. A new VM then uses the address.
#[derive(Clone, Copy, Debug, Default)]
pub struct DrainState {
    last_signal: Option<Instant>,
    was_listed: bool,
    was_dropped: bool,
}

impl DrainState {
    /// Whether the target must not get new calls.
    pub fn is_draining(&self) -> bool {
        self.last_signal.is_some()
    }

    /// Records a drain signal.
    pub fn mark_draining(&mut self, now: Instant) {
        self.last_signal = Some(now);
    }

    /// Records that the list of VMs shows the target as live; returns true if a new VM uses its
    /// address.
    pub fn record_listed(&mut self, now: Instant) -> bool {
        self.was_listed = true;
        let is_expired =
            |last_signal: Instant| now.saturating_duration_since(last_signal) >= REUSE_DELAY;
        let is_reused = self.was_dropped && self.last_signal.is_some_and(is_expired);
        if is_reused {
            *self = Self { was_listed: true, ..Self::default() };
        }
        is_reused
    }

    /// Records that the list of VMs does not contain the target; a target that has never been
    /// listed does not drain for this.
    pub fn record_unlisted(&mut self, now: Instant) {
        if self.was_listed {
            self.was_dropped = true;
            self.mark_draining(now);
        }
    }
}
