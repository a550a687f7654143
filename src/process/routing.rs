//! The choice of a target.

use rand::Rng;

use super::scheduler::Scheduler;
use super::service::{RouteRequest, ServiceState};
use super::target::{Target, TargetKey};
use crate::prelude::*;
use crate::version::class::Length;
use crate::version::policy::Policy;

/// Round trip to another failure domain, between the 1 ms and 3 ms of today's deployments.
const DISTANCE: f64 = 0.002;
/// Part of a call's duration by which a full target ranks behind an empty one: what is known of
/// other entries' calls is old, so a fuller target is more likely to have no free slot.
const FULLNESS: f64 = 0.2;
/// Part of a call's duration by which slots of other entries rank behind the entry's own.
const AWAY: f64 = 0.1;
/// Part of a call's duration that breaks ties.
const TIE: f64 = 0.02;
/// Part of a call's duration for each share of failures; ranks failing targets last.
const FAILURE: f64 = 10.0;
/// Slowness up to this factor is taken for noise.
const NOISE: f64 = 2.0;
/// A call is overdue after this many times its expected duration.
const OVERDUE_FACTOR: u32 = 5;
/// A call is not overdue before this time.
const OVERDUE_LEAST: Duration = Duration::from_millis(20);

/// What the choice has found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// The target to use.
    Target(TargetKey),
    /// All usable targets are full.
    Full,
    /// No target is usable.
    Missing,
}

impl Scheduler {
    /// Chooses a target for a call.
    pub(super) fn choose(
        &mut self,
        request: &RouteRequest,
        length: Length,
        now: Instant,
    ) -> Choice {
        let state = &self.services[request.service];
        let is_open = |key: &&TargetKey| !self.targets[**key].drain.is_draining();
        let open: Vec<TargetKey> = state.targets.iter().filter(is_open).copied().collect();
        let fresh = open.iter().copied().filter(|key| !request.avoid.contains(key));
        let fresh: Vec<TargetKey> = fresh.collect();
        let candidates = if fresh.is_empty() { open } else { fresh };
        if candidates.is_empty() {
            return Choice::Missing;
        }
        let any = self.rng.random_range(0..candidates.len());
        let other = self.rng.random_range(0..candidates.len());
        let own = |key: TargetKey| self.targets[key].own();
        let rotated = || candidates[any..].iter().chain(&candidates[..any]).copied();
        match state.policy {
            Policy::Adaptive => self.choose_adaptive(request, length, &candidates, now),
            Policy::LeastLocal => {
                rotated().min_by_key(|key| own(*key)).map_or(Choice::Missing, Choice::Target)
            }
            Policy::RoundRobin => {
                let state = &mut self.services[request.service];
                state.turn += 1;
                Choice::Target(candidates[state.turn % candidates.len()])
            }
            Policy::TwoChoices => {
                let (one, two) = (candidates[any], candidates[other]);
                Choice::Target(if own(two) < own(one) { two } else { one })
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
        let usable = candidates.iter().copied();
        let usable = usable.filter(|key| !self.targets[*key].health.is_ejected(now));
        let usable: Vec<TargetKey> = usable.collect();
        let preferred = self.preferred(&usable, now);
        let best = self.best(request, length, &preferred, now);
        let best = best.or_else(|| self.best(request, length, &usable, now));
        match best {
            Some(key) => Choice::Target(key),
            None if usable.is_empty() => Choice::Missing,
            None => Choice::Full,
        }
    }

    /// Targets without overdue calls, less a random part of those that ramp up or fail.
    fn preferred(&mut self, usable: &[TargetKey], now: Instant) -> Vec<TargetKey> {
        let share = |key: &TargetKey| self.targets[*key].health.share(now);
        let most = usable.iter().map(share).fold(f64::MIN_POSITIVE, f64::max);
        let mut preferred = Vec::with_capacity(usable.len());
        for key in usable {
            let target = &self.targets[*key];
            let share = target.health.share(now) / most;
            let is_due = share >= 1.0 || self.rng.random_bool(share);
            if is_due && !target.is_overdue(now, OVERDUE_FACTOR, OVERDUE_LEAST) {
                preferred.push(*key);
            }
        }
        preferred
    }

    /// The target of least expected wait among those that have room.
    fn best(
        &mut self,
        request: &RouteRequest,
        length: Length,
        keys: &[TargetKey],
        now: Instant,
    ) -> Option<TargetKey> {
        let state = &self.services[request.service];
        let span = state.durations.short();
        let is_idle = is_idle(self, state);
        let has_long = state.targets.iter().any(|key| self.targets[*key].long_reserved > 0);
        let may_long = !has_long && is_idle;
        let may_overflow = state.may_overflow(overflowed(self, state), now);
        let mut best: Option<(f64, TargetKey)> = None;
        for key in keys {
            let target = &self.targets[*key];
            let occupancy = target.occupancy(now, span);
            let has_room = match length {
                Length::Long => has_long_room(target, occupancy, may_long),
                Length::Short => has_short_room(target, occupancy, may_overflow) || is_idle,
            };
            if !has_room {
                continue;
            }
            let mut score = score(target, occupancy, span.as_secs_f64());
            score += self.rng.random::<f64>() * TIE * span.as_secs_f64();
            if target.domain != self.domain {
                score += DISTANCE;
            }
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, *key));
            }
        }
        best.map(|(_, key)| key)
    }
}

/// Whether the entry has none of its calls at the service's targets.
fn is_idle(scheduler: &Scheduler, state: &ServiceState) -> bool {
    state.targets.iter().all(|key| scheduler.targets[*key].own() == 0)
}

/// Number of the entry's calls beyond its own slots.
fn overflowed(scheduler: &Scheduler, state: &ServiceState) -> u32 {
    state.targets.iter().map(|key| scheduler.targets[*key].overflowed()).sum()
}

/// Whether a target may get one more short call.
fn has_short_room(target: &Target, occupancy: f64, may_overflow: bool) -> bool {
    target.own() < target.reserved || may_overflow && occupancy < f64::from(target.slots)
}

/// Whether a target may get one more long call.
///
/// Long calls stay within the entry's own long slots, which leaves a slot free on every target.
/// With `may_long`, an entry that has none runs one where at least one slot would remain free.
fn has_long_room(target: &Target, occupancy: f64, may_long: bool) -> bool {
    let slots = f64::from(target.slots);
    if may_long {
        return occupancy + 2.0 <= slots;
    }
    target.own_long() < target.long_reserved && occupancy < slots
}

/// Expected time of a call, in seconds, with penalties.
fn score(target: &Target, occupancy: f64, span: f64) -> f64 {
    let slots = f64::from(target.slots);
    let excess = (occupancy + 1.0 - slots).max(0.0) / slots;
    let fullness = FULLNESS * (occupancy / slots).min(1.0).powi(2);
    let slowness = (target.health.slowness().unwrap_or(1.0) / NOISE).max(1.0);
    let away = if target.own() < target.reserved { 0.0 } else { AWAY };
    span * (slowness * (1.0 + excess) + fullness + away + FAILURE * target.health.failure())
}
