//! The share of calls that may use a failure domain around its evacuation.

use crate::edge::directory::EvacuationState;
use crate::prelude::*;

/// Time in which the share falls from 1 to 0, as a ratio of the evacuation limit. A copy of the routes
/// may be 4 s old and still count as fresh, so that of a limit of 5 s less than 1 s is left.
const FALL_RATIO: f64 = 0.18;
/// Time in which the share rises from 0 to 1 after the end, as a ratio of the evacuation limit.
const RISE_RATIO: f64 = 0.6;

/// A share that changes linearly from its value at the time `since`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EvacuationRamp {
    pub start_share: f64,
    pub since: Instant,
}

impl EvacuationRamp {
    /// The share at `now`, from 0 to 1.
    pub fn share(&self, state: EvacuationState, limit: Duration, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.since).as_secs_f64();
        let share = match state {
            EvacuationState::Active => {
                self.start_share - elapsed / limit.mul_f64(FALL_RATIO).as_secs_f64()
            }
            EvacuationState::Ended => {
                self.start_share + elapsed / limit.mul_f64(RISE_RATIO).as_secs_f64()
            }
        };
        share.clamp(0.0, 1.0)
    }
}
