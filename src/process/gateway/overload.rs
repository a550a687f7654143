//! Decides whether a call is sent, keeps searching or is refused when targets are overloaded.
//!
//! A call that finds no free target at normal speed keeps probing for a short time instead of
//! joining the queue of one target, which may become slow. It is sent to the first target that has
//! a free slot. The cost that a call accepts rises with the time that it has waited. A call that
//! cannot finish in time is refused early, so that its caller can retry elsewhere and the targets
//! have capacity for other calls.

use crate::prelude::*;

/// Longest search for a target, as a share of the route's latency objective.
const SEARCH_OBJECTIVE_RATIO: f64 = 0.3;
/// Highest cost of a free target that a call accepts on arrival.
const INITIAL_MAX_COST: f64 = 2.0;
/// Increase of `INITIAL_MAX_COST` until the end of the search.
const MAX_COST_INCREASE: f64 = 2.0;
/// Highest cost of a target with a queue that a call accepts before the end of the search. It rises
/// from 0 to this value during the search.
const MAX_QUEUED_COST: f64 = 3.0;
/// Longest queue that calls of the highest priority join, as a multiple of the target's slots.
const MAX_QUEUE_RATIO: f64 = 1.0;
/// Weight of the slowdown, the cost above 1, in the expected duration of a call. It is below 1
/// because the slow phases of a target are shorter than the calls that they slow down.
const SLOWDOWN_WEIGHT: f64 = 0.6;

/// The expected cost and queue of a call at one target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetScore {
    /// Cost of the call, as a multiple of its typical duration.
    pub cost: f64,
    /// Calls ahead of it, as a multiple of the target's slots.
    pub queue_ratio: f64,
}

/// The time limits and the priority of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallRequirements {
    pub arrived: Instant,
    /// Latency objective of the route.
    pub objective: Duration,
    pub deadline: Deadline,
    /// Typical duration of the route's calls, if known.
    pub typical: Option<Duration>,
    /// Number of the service's routes with a higher priority.
    pub rank: u32,
}

impl CallRequirements {
    /// The input of the decision at `now`; `score` is the best score of a round of probes.
    pub fn decision_input(&self, score: Option<TargetScore>, now: Instant) -> DecisionInput {
        DecisionInput {
            score,
            waited: now.saturating_duration_since(self.arrived),
            objective: self.objective,
            left: self.deadline.left(now),
            typical: self.typical,
            rank: self.rank,
        }
    }
}

/// What the decision about a call depends on after a round of probes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DecisionInput {
    /// The best score of the round; `None` if no usable target responded.
    pub score: Option<TargetScore>,
    /// Time since the call arrived.
    pub waited: Duration,
    /// Latency objective of the route.
    pub objective: Duration,
    /// Time until the deadline.
    pub left: Duration,
    /// Typical duration of the route's calls, if known.
    pub typical: Option<Duration>,
    /// Number of the service's routes with a higher priority.
    pub rank: u32,
}

/// What to do with a call after a round of probes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    Send,
    /// Probe other targets, or the same ones again.
    Continue,
    /// No target is expected to take the call in time.
    Refuse,
}

impl DecisionInput {
    /// Whether the call has searched for as long as it may.
    pub fn is_search_over(&self) -> bool {
        self.waited >= self.search_limit()
    }

    /// Part of the search that is over, from 0 to 1.
    pub fn search_ratio(&self) -> f64 {
        let limit = self.search_limit().as_secs_f64().max(f64::EPSILON);
        (self.waited.as_secs_f64() / limit).min(1.0)
    }

    /// Decides by the best score. At the end of the search any cost is accepted, as long as the
    /// call can finish in time and the queue is not too long.
    pub fn decide(&self) -> Decision {
        let is_over = self.is_search_over();
        let Some(score) = self.score else {
            return if is_over { Decision::Refuse } else { Decision::Continue };
        };
        if !self.can_finish_in_time(&score) || score.queue_ratio > self.max_queue_ratio() {
            return if is_over { Decision::Refuse } else { Decision::Continue };
        }
        let elapsed_ratio = self.search_ratio();
        let max_cost = match score.queue_ratio > 0.0 {
            true => MAX_QUEUED_COST * elapsed_ratio,
            false => INITIAL_MAX_COST + MAX_COST_INCREASE * elapsed_ratio,
        };
        if is_over || score.cost <= max_cost {
            Decision::Send
        } else {
            Decision::Continue
        }
    }

    /// How long the call may search for a target: at most half of the time that it can spare before
    /// its deadline.
    fn search_limit(&self) -> Duration {
        let spare = self.left.saturating_sub(self.typical.unwrap_or_default()) / 2;
        self.objective.mul_f64(SEARCH_OBJECTIVE_RATIO).min(spare)
    }

    fn can_finish_in_time(&self, score: &TargetScore) -> bool {
        let duration_factor = 1.0 + (score.cost - 1.0).max(0.0) * SLOWDOWN_WEIGHT;
        self.typical.is_none_or(|typical| typical.mul_f64(duration_factor) <= self.left)
    }

    /// Longest queue that the call joins; calls of a lower priority leave the end of the queue to
    /// calls of a higher one.
    fn max_queue_ratio(&self) -> f64 {
        MAX_QUEUE_RATIO / f64::from(1 + self.rank)
    }
}
