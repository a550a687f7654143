//! Who is sent, who waits and who is refused when targets are scarce.
//!
//! A call that cannot have a free target at a usual pace looks again for a short time instead of
//! joining the queue of one target, which may turn slow: whichever target becomes free first takes
//! it. The longer a call has waited, the less it asks for. A call that cannot end in time is
//! refused at once, so that its caller can come back elsewhere and the targets work for others.

use crate::prelude::*;

/// Part of a route's objective that a call may spend looking for a target.
const PATIENCE_PART: f64 = 0.3;
/// Highest cost of a free target that a call takes at once.
const GOOD_COST: f64 = 2.0;
/// How much that cost grows over the time for looking.
const CONCESSION: f64 = 2.0;
/// Highest cost of a target with a queue, at the end of the time for looking.
const QUEUE_COST: f64 = 3.0;
/// Rounds of a target's slots that the most urgent calls may find ahead of them.
const MAX_QUEUE: f64 = 1.0;
/// Part of a stretched duration that counts, as slow phases are shorter than slow calls.
const STRETCH_PART: f64 = 0.6;

/// The best target that answered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Offer {
    /// Cost of a call there, in units of its usual duration.
    pub cost: f64,
    /// Calls ahead, in rounds of the target's slots.
    pub queue: f64,
}

/// What a call asks of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    pub arrived: Instant,
    /// Time within which a response is of full use.
    pub objective: Duration,
    pub deadline: Deadline,
    /// Usual duration of such a call, if it is known.
    pub typical: Option<Duration>,
    /// Routes of the service that are more urgent.
    pub rank: u32,
}

impl Terms {
    /// What is known at `now` when the best target offers this.
    pub fn situation(&self, offer: Option<Offer>, now: Instant) -> Situation {
        Situation {
            offer,
            waited: now.saturating_duration_since(self.arrived),
            objective: self.objective,
            left: self.deadline.left(now),
            typical: self.typical,
            rank: self.rank,
        }
    }
}

/// What is known when a call has asked some targets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Situation {
    pub offer: Option<Offer>,
    /// Time since the call arrived.
    pub waited: Duration,
    /// Time within which a response is of full use.
    pub objective: Duration,
    /// Time until the deadline.
    pub left: Duration,
    /// Usual duration of such a call, if it is known.
    pub typical: Option<Duration>,
    /// Routes of the service that are more urgent.
    pub rank: u32,
}

/// What the call does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    Send,
    /// Ask other targets, or the same ones again.
    Look,
    /// No target can be hoped for in time.
    Refuse,
}

impl Situation {
    /// Whether the time for looking is over.
    pub fn is_over(&self) -> bool {
        self.waited >= self.patience()
    }

    /// Decides.
    pub fn decide(&self) -> Decision {
        let patience = self.patience();
        let is_over = self.is_over();
        let Some(offer) = self.offer else {
            return if is_over { Decision::Refuse } else { Decision::Look };
        };
        if !self.ends_in_time(&offer) || offer.queue > self.max_queue() {
            return if is_over { Decision::Refuse } else { Decision::Look };
        }
        let spent = (self.waited.as_secs_f64() / patience.as_secs_f64().max(f64::EPSILON)).min(1.0);
        let limit = match offer.queue > 0.0 {
            true => QUEUE_COST * spent,
            false => GOOD_COST + CONCESSION * spent,
        };
        if is_over || offer.cost <= limit {
            Decision::Send
        } else {
            Decision::Look
        }
    }

    /// Time that the call may spend looking for a target.
    fn patience(&self) -> Duration {
        let spare = self.left.saturating_sub(self.typical.unwrap_or_default()) / 2;
        self.objective.mul_f64(PATIENCE_PART).min(spare)
    }

    fn ends_in_time(&self, offer: &Offer) -> bool {
        let stretch = 1.0 + (offer.cost - 1.0).max(0.0) * STRETCH_PART;
        self.typical.is_none_or(|typical| typical.mul_f64(stretch) <= self.left)
    }

    /// Less urgent calls leave the end of the queue to more urgent ones.
    fn max_queue(&self) -> f64 {
        MAX_QUEUE / f64::from(1 + self.rank)
    }
}
