//! Signs that a target leaves.

use crate::prelude::*;

/// Time for which the list must show a target live after the last sign that it leaves, longer
/// than the list lags.
const RETURN_AFTER: Duration = Duration::from_secs(60);

/// Whether a target leaves; no report of the target itself takes a sign back.
///
/// Only the list of VMs does, once it has dropped the address and then shows it live for
/// `RETURN_AFTER`, which means that a new VM uses the address.
#[derive(Clone, Copy, Debug, Default)]
pub struct DrainState {
    sign: Option<Instant>,
    listed: bool,
    dropped: bool,
}

impl DrainState {
    /// Whether the target must get no new work.
    pub fn is_leaving(&self) -> bool {
        self.sign.is_some()
    }

    /// Takes a sign that the target leaves.
    pub fn leave(&mut self, now: Instant) {
        self.sign = Some(now);
    }

    /// The list shows the target as live; true if a new VM has taken its address.
    pub fn list_live(&mut self, now: Instant) -> bool {
        self.listed = true;
        let is_old = |sign: Instant| now.saturating_duration_since(sign) >= RETURN_AFTER;
        let returns = self.dropped && self.sign.is_some_and(is_old);
        if returns {
            *self = Self { listed: true, ..Self::default() };
        }
        returns
    }

    /// The list does not show the target; only one that was listed before leaves by this.
    pub fn list_without(&mut self, now: Instant) {
        if self.listed {
            self.dropped = true;
            self.leave(now);
        }
    }
}
