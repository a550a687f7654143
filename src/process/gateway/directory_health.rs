//! Detects outages of the directory, and decides how missing registrations are treated after one.
//!
//! An entry cannot tell an outage of the directory from the loss of its own reads. It need not if
//! the failure was shorter than an outage in which a registration can expire: a registration that is
//! missing then was removed, or its target is gone.

use super::registry::AbsencePolicy;
use crate::prelude::*;

/// Shortest outage in which a registration can expire, as a multiple of the interval of its
/// renewals. It lasts for three, and the last renewal before the outage may be a quarter late.
const MIN_OUTAGE_RENEWALS: f64 = 1.75;
/// Interval of the renewals if the settings name none.
const DEFAULT_RENEWAL_INTERVAL: Duration = Duration::from_millis(1500);
/// Time that targets get after an outage to renew their registrations.
const RENEWAL_GRACE: Duration = Duration::from_millis(2000);

/// How the result of a read changed the health of the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// The first read of an outage failed.
    Lost,
    /// The first read after failed ones succeeded, this long after the last success.
    Regained(Duration),
    None,
}

/// Whether reads of the directory succeed, and since when.
#[derive(Clone, Copy, Debug)]
pub struct DirectoryHealth {
    /// Shortest outage in which a registration can expire.
    min_outage: Duration,
    /// Time of the last read that succeeded, by this entry or another one.
    last_success: Option<Instant>,
    is_failing: bool,
    /// End of the last outage in which a registration could expire or was lost.
    regained_at: Option<Instant>,
    /// When the directory last returned from an older copy.
    returned_at: Option<Instant>,
}

impl Default for DirectoryHealth {
    fn default() -> Self {
        Self::new(DEFAULT_RENEWAL_INTERVAL)
    }
}

impl DirectoryHealth {
    /// Creates the state before the first read; targets renew their registrations at this interval.
    pub fn new(renewal_interval: Duration) -> Self {
        Self {
            min_outage: renewal_interval.mul_f64(MIN_OUTAGE_RENEWALS),
            last_success: None,
            is_failing: false,
            regained_at: None,
            returned_at: None,
        }
    }

    /// Records a read that succeeded at `now`.
    pub fn record_success(&mut self, now: Instant) -> HealthChange {
        let outage =
            self.last_success.map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        self.last_success = Some(now);
        if !std::mem::take(&mut self.is_failing) {
            return HealthChange::None;
        }
        if outage >= self.min_outage {
            self.regained_at = Some(now);
        }
        HealthChange::Regained(outage)
    }

    /// Records that the directory has returned from an older copy, which may lack registrations.
    pub fn record_return(&mut self, now: Instant) {
        (self.regained_at, self.returned_at) = (Some(now), Some(now));
    }

    /// Records another entry's read that succeeded at `read_at`.
    pub fn record_remote_success(&mut self, read_at: Option<Instant>) {
        self.last_success = self.last_success.max(read_at);
    }

    /// Records a read that failed.
    pub fn record_failure(&mut self) -> HealthChange {
        match std::mem::replace(&mut self.is_failing, true) {
            true => HealthChange::None,
            false => HealthChange::Lost,
        }
    }

    /// Whether the last read failed.
    pub fn is_failing(&self) -> bool {
        self.is_failing
    }

    /// When the directory last returned from an older copy.
    pub fn returned_at(&self) -> Option<Instant> {
        self.returned_at
    }

    /// How a registration that is missing at `now` is treated.
    pub fn absence_policy(&self, now: Instant) -> AbsencePolicy {
        policy_after(self.regained_at, now)
    }

    /// The same for one that another entry lacks. It has judged by its own reads, but its copy of the
    /// directory may be one that lacks registrations.
    pub fn shared_absence_policy(&self, now: Instant) -> AbsencePolicy {
        policy_after(self.returned_at, now)
    }
}

/// How a missing registration is treated at `now`, if targets could not keep theirs until `end`.
fn policy_after(end: Option<Instant>, now: Instant) -> AbsencePolicy {
    match end.map(|end| end + RENEWAL_GRACE) {
        Some(end) if now < end => AbsencePolicy::KeepUntil(end),
        Some(_) | None => AbsencePolicy::Remove,
    }
}
