//! A registered target with its connections, load and recent failures.

use super::availability::Availability;
use super::cold_share::ColdShare;
use super::failure_tracker::FailureTracker;
use super::load_sample::LoadSample;
use super::warmup::Warmup;
use crate::edge::directory::Change;
use crate::prelude::*;
use crate::process::pool::Pool;
use crate::version::registration::{Registration, TargetState};

slotmap::new_key_type! {
    /// Key of a target in the registry.
    pub struct RegisteredTargetKey;
}

/// State of one incarnation of a target.
pub struct RegisteredTarget {
    pub registration: Registration,
    pub pool: Rc<Pool>,
    /// The change that holds the current registration, in the format of the directory.
    pub change: Change,
    /// The time until the target works at full speed.
    pub warmup: Warmup,
    /// This entry's share of the calls during the current warm-up, once it has been needed.
    pub cold_share: Option<ColdShare>,
    /// When the target is removed, if its registration expired during an outage of the directory.
    pub expires_at: Option<Instant>,
    pub failures: FailureTracker,
    /// What the target said in its responses.
    pub availability: Availability,
    /// The newest load that the target reported to this entry or to another one.
    pub sample: Option<LoadSample>,
    /// Calls of this entry that are running on the target.
    pub inflight: u32,
}

impl RegisteredTarget {
    pub fn new(registration: Registration, change: Change, pool: Pool, now: Instant) -> Self {
        let pool = Rc::new(pool);
        Self {
            warmup: Warmup::new(registration.warmup, now),
            cold_share: None,
            registration,
            pool,
            change,
            expires_at: None,
            failures: FailureTracker::default(),
            availability: Availability::default(),
            sample: None,
            inflight: 0,
        }
    }

    /// Whether the target may get new calls and probes.
    pub fn is_eligible(&self, now: Instant) -> bool {
        self.is_in_service(now) && self.availability.takes_calls(now)
    }

    /// When the target may get calls again, if it has only turned them away for a time.
    pub fn retry_at(&self, now: Instant) -> Option<Instant> {
        self.availability.retry_at(now).filter(|_| self.is_in_service(now))
    }

    /// Whether the directory says that the target takes calls.
    fn is_in_service(&self, now: Instant) -> bool {
        let is_unexpired = self.expires_at.is_none_or(|expiry| now < expiry);
        self.registration.state == TargetState::Ready && is_unexpired
    }

    /// Whether the target should get new calls only if no other target is eligible.
    pub fn is_suspect(&self, now: Instant) -> bool {
        self.expires_at.is_some() || self.failures.is_excluded(now)
    }
}
