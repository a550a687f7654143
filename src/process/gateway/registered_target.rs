//! One registered target.

use super::failure_tracker::FailureTracker;
use super::load_sample::LoadSample;
use crate::edge::directory::Change;
use crate::prelude::*;
use crate::process::pool::Pool;
use crate::version::registration::{Registration, TargetState};

slotmap::new_key_type! {
    /// Key of a registered target.
    pub struct RegisteredTargetKey;
}

/// State of one incarnation of a target.
pub struct RegisteredTarget {
    pub registration: Registration,
    pub pool: Rc<Pool>,
    /// The newest report, as the directory holds it.
    pub change: Change,
    /// When the target works at full speed.
    pub warm: Instant,
    /// When the target counts as gone, if its entry lapsed while the directory was away.
    pub lapse: Option<Instant>,
    pub failures: FailureTracker,
    /// What the target said of its load last.
    pub sample: Option<LoadSample>,
    /// Calls of this entry that run there.
    pub inflight: u32,
}

impl RegisteredTarget {
    /// A target that was just registered.
    pub fn new(registration: Registration, change: Change, pool: Pool, now: Instant) -> Self {
        let pool = Rc::new(pool);
        Self {
            warm: now + registration.warmup,
            registration,
            pool,
            change,
            lapse: None,
            failures: FailureTracker::default(),
            sample: None,
            inflight: 0,
        }
    }

    /// Whether the target may get new calls.
    pub fn is_eligible(&self, now: Instant) -> bool {
        let is_present = self.lapse.is_none_or(|lapse| now < lapse);
        self.registration.state == TargetState::Ready && is_present
    }

    /// Whether the target should get new calls only for want of others.
    pub fn is_doubtful(&self, now: Instant) -> bool {
        self.lapse.is_some() || self.failures.is_avoided(now)
    }
}
