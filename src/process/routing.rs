//! Choice of the target for a call.

use rand::Rng;

use super::scheduler::Scheduler;
use super::service::{RouteRequest, ServiceState};
use super::target::{Target, TargetKey};
use crate::prelude::*;
use crate::version::class::Length;
use crate::version::policy::Policy;

/// Round trip to another failure domain; deployments have 1 ms to 3 ms.
const REMOTE_DOMAIN_PENALTY_SECONDS: f64 = 0.002;
/// Penalty of a full target over an empty one, in typical durations of a short call. Load reports
/// of other entries' calls are stale, so a fuller target is more likely to have no free slot.
const OCCUPANCY_PENALTY_RATIO: f64 = 0.2;
/// Penalty of a slot that is reserved for another entry, in typical durations of a short call.
const OVERFLOW_PENALTY_RATIO: f64 = 0.1;
/// Largest random penalty, which breaks ties, in typical durations of a short call.
const TIE_BREAK_RATIO: f64 = 0.02;
/// Penalty of a target that fails every call, in typical durations of a short call; ranks failing
/// targets last.
const FAILURE_PENALTY_RATIO: f64 = 10.0;
/// Slowness up to this ratio is not penalized, since durations vary this much at healthy targets.
const TOLERATED_SLOWNESS_RATIO: f64 = 2.0;
/// Multiple of the expected duration after which a call is overdue.
const OVERDUE_FACTOR: u32 = 5;
/// A call is never overdue before this age.
const MIN_OVERDUE_AGE: Duration = Duration::from_millis(20);

/// The result of choosing a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// The target to use.
    Target(TargetKey),
    /// All healthy targets are full.
    Full,
    /// All targets are draining or ejected, or the service has none.
    NoTarget,
}

impl Scheduler {
    /// Chooses a target by the service's policy; targets that the call has tried are used only if
    /// no other is left.
    pub(super) fn choose(
        &mut self,
        request: &RouteRequest,
        length: Length,
        now: Instant,
    ) -> Choice {
        let state = &self.services[request.service];
        let is_active = |key: &&TargetKey| !self.targets[**key].drain.is_draining();
        let active: Vec<TargetKey> = state.targets.iter().filter(is_active).copied().collect();
        let untried = active.iter().copied().filter(|key| !request.avoid.contains(key));
        let untried: Vec<TargetKey> = untried.collect();
        let candidates = if untried.is_empty() { active } else { untried };
        if candidates.is_empty() {
            return Choice::NoTarget;
        }
        let first = self.rng.random_range(0..candidates.len());
        let second = self.rng.random_range(0..candidates.len());
        let own_calls = |key: TargetKey| self.targets[key].own_calls();
        // Starts at a random candidate, so that ties do not always go to the same target.
        let rotated = || candidates[first..].iter().chain(&candidates[..first]).copied();
        match state.policy {
            Policy::Adaptive => self.choose_adaptive(request, length, &candidates, now),
            Policy::LeastLocal => {
                rotated().min_by_key(|key| own_calls(*key)).map_or(Choice::NoTarget, Choice::Target)
            }
            Policy::RoundRobin => {
                let state = &mut self.services[request.service];
                state.routed_count += 1;
                Choice::Target(candidates[state.routed_count % candidates.len()])
            }
            Policy::TwoChoices => {
                let (one, two) = (candidates[first], candidates[second]);
                Choice::Target(if own_calls(two) < own_calls(one) { two } else { one })
            }
        }
    }

    fn choose_adaptive(
        &mut self,
        request: &RouteRequest,
        length: Length,
        candidates: &[TargetKey],
        now: Instant,
    ) -> Choice {
        let healthy = candidates.iter().copied();
        let healthy = healthy.filter(|key| !self.targets[*key].health.is_ejected(now));
        let healthy: Vec<TargetKey> = healthy.collect();
        let preferred = self.preferred(&healthy, now);
        let best = self.best(request, length, &preferred, now);
        let best = best.or_else(|| self.best(request, length, &healthy, now));
        match best {
            Some(key) => Choice::Target(key),
            None if healthy.is_empty() => Choice::NoTarget,
            None => Choice::Full,
        }
    }

    /// Targets without overdue calls; those that ramp up or fail are left out at random, in
    /// proportion to their reduced traffic share.
    fn preferred(&mut self, healthy: &[TargetKey], now: Instant) -> Vec<TargetKey> {
        let traffic_share = |key: &TargetKey| self.targets[*key].health.traffic_share(now);
        let max_share = healthy.iter().map(traffic_share).fold(f64::MIN_POSITIVE, f64::max);
        let mut preferred = Vec::with_capacity(healthy.len());
        for key in healthy {
            let target = &self.targets[*key];
            let traffic_share = target.health.traffic_share(now) / max_share;
            let is_selected = traffic_share >= 1.0 || self.rng.random_bool(traffic_share);
            if is_selected && !target.has_overdue_call(now, OVERDUE_FACTOR, MIN_OVERDUE_AGE) {
                preferred.push(*key);
            }
        }
        preferred
    }

    /// The target with the lowest score among those that have room.
    fn best(
        &mut self,
        request: &RouteRequest,
        length: Length,
        keys: &[TargetKey],
        now: Instant,
    ) -> Option<TargetKey> {
        let state = &self.services[request.service];
        let call_duration = state.durations.typical_short();
        let is_idle = is_idle(self, state);
        let has_long_reserved =
            state.targets.iter().any(|key| self.targets[*key].long_reserved > 0);
        let allow_unreserved = !has_long_reserved && is_idle;
        let can_overflow = state.can_overflow(overflow_calls(self, state), now);
        let mut best: Option<(f64, TargetKey)> = None;
        for key in keys {
            let target = &self.targets[*key];
            let occupancy = target.occupancy(now, call_duration);
            let has_room = match length {
                Length::Long => has_long_room(target, occupancy, allow_unreserved),
                Length::Short => has_short_room(target, occupancy, can_overflow) || is_idle,
            };
            if !has_room {
                continue;
            }
            let mut score = score(target, occupancy, call_duration.as_secs_f64());
            score += self.rng.random::<f64>() * TIE_BREAK_RATIO * call_duration.as_secs_f64();
            if target.domain != self.domain {
                score += REMOTE_DOMAIN_PENALTY_SECONDS;
            }
            if best.is_none_or(|(lowest, _)| score < lowest) {
                best = Some((score, *key));
            }
        }
        best.map(|(_, key)| key)
    }
}

/// Whether the entry has no call in flight at the service's targets.
fn is_idle(scheduler: &Scheduler, state: &ServiceState) -> bool {
    state.targets.iter().all(|key| scheduler.targets[*key].own_calls() == 0)
}

/// Number of the entry's calls beyond its reserved slots.
fn overflow_calls(scheduler: &Scheduler, state: &ServiceState) -> u32 {
    state.targets.iter().map(|key| scheduler.targets[*key].overflow_calls()).sum()
}

/// Whether a target has room for one more short call.
fn has_short_room(target: &Target, occupancy: f64, can_overflow: bool) -> bool {
    target.own_calls() < target.reserved || can_overflow && occupancy < f64::from(target.slots)
}

/// Whether a target has room for one more long call.
///
/// Long calls use only the slots reserved for them, which leaves a slot free on every target. With
/// `allow_unreserved`, for an entry that has no such slots and no call in flight, a long call may
/// use any target on which at least one slot remains free.
fn has_long_room(target: &Target, occupancy: f64, allow_unreserved: bool) -> bool {
    let slots = f64::from(target.slots);
    if allow_unreserved {
        return occupancy + 2.0 <= slots;
    }
    target.own_long_calls() < target.long_reserved && occupancy < slots
}

/// Expected duration of a call in seconds, with penalties; `call_duration` is that of a short call.
fn score(target: &Target, occupancy: f64, call_duration: f64) -> f64 {
    let slots = f64::from(target.slots);
    let excess = (occupancy + 1.0 - slots).max(0.0) / slots;
    let occupancy_penalty = OCCUPANCY_PENALTY_RATIO * (occupancy / slots).min(1.0).powi(2);
    let slowness = (target.health.slowness().unwrap_or(1.0) / TOLERATED_SLOWNESS_RATIO).max(1.0);
    let overflow_penalty =
        if target.own_calls() < target.reserved { 0.0 } else { OVERFLOW_PENALTY_RATIO };
    call_duration
        * (slowness * (1.0 + excess)
            + occupancy_penalty
            + overflow_penalty
            + FAILURE_PENALTY_RATIO * target.health.failure_ratio())
}
