//! Which targets to ask for their load, and which of them to use.

use rand::seq::SliceRandom;
use rand::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::load_sample::LoadSample;
use super::registered_target::{RegisteredTarget, RegisteredTargetKey};
use crate::prelude::*;

/// Targets of the entry's own failure domain, and of others, that are asked for one call.
const NEAR_ASKED: usize = 4;
const ALL_ASKED: usize = 5;
/// Targets of a service that an entry uses, so that its connections stay warm in a large fleet.
const NEAR_USED: usize = 8;
const ALL_USED: usize = 12;
/// Factor on the cost of a target in another failure domain.
const FAR_FACTOR: f64 = 1.3;
/// Factor on the cost of a target that has just started.
const COLD_FACTOR: f64 = 2.0;
/// Factor on the cost of a target that calls itself unhealthy, which may be wrong.
const UNHEALTHY_FACTOR: f64 = 10.0;
/// Cost of a target that does not tell its load, in units of a call's usual duration.
const UNKNOWN_COST: f64 = 2.0;

/// Age up to which a reading counts in the order of the targets to ask.
const ESTIMATE_AGE: Duration = Duration::from_millis(40);
/// Highest cost of a target that is asked before others.
const ESTIMATE_COST: f64 = 2.0;
/// Targets that seem free which are asked for one call.
const FREE_ASKED: usize = 2;

/// What is known of a target's load before it is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LoadEstimate {
    Free,
    Unknown,
    Busy,
}

impl LoadEstimate {
    fn new(target: &RegisteredTarget, domain: &str, now: Instant) -> Self {
        let is_recent =
            |last: &LoadSample| now.saturating_duration_since(last.taken) <= ESTIMATE_AGE;
        let Some(sample) = target.sample.filter(is_recent) else { return Self::Unknown };
        let has_queue = sample.load.is_some_and(|load| load.queue() > 0.0);
        match !has_queue && cost(target, &sample, domain, now) <= ESTIMATE_COST {
            true => Self::Free,
            false => Self::Busy,
        }
    }
}

/// A target that may be asked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    pub key: RegisteredTargetKey,
    pub near: bool,
    pub doubtful: bool,
    /// Whether the call has asked the target before.
    pub asked: bool,
    /// Whether all connections to the target are in use, so that asking it opens another one.
    pub exhausted: bool,
    pub estimate: LoadEstimate,
    /// Place among the candidates by rendezvous hashing with the entry.
    pub rank: u64,
}

impl Candidate {
    /// A target as seen by the entry `name` in `domain`.
    pub fn new(
        key: RegisteredTargetKey,
        target: &RegisteredTarget,
        name: &str,
        domain: &str,
        now: Instant,
    ) -> Self {
        let registration = &target.registration;
        let seed = xxh3_64_with_seed(name.as_bytes(), 0);
        Self {
            key,
            near: &*registration.domain == domain,
            doubtful: target.is_suspect(now),
            asked: false,
            exhausted: target.pool.is_exhausted(),
            estimate: LoadEstimate::new(target, domain, now),
            rank: xxh3_64_with_seed(registration.id.as_bytes(), seed),
        }
    }
}

/// Picks the targets to ask, near ones first; doubtful ones only for want of others.
///
/// A call that looks again stays among the targets that the entry uses: at a crest all calls look
/// again, and connections to all targets of a large service would be opened and soon forgotten.
pub fn to_ask(candidates: Vec<Candidate>, rng: &mut impl Rng) -> Vec<RegisteredTargetKey> {
    let (mut near, mut far): (Vec<_>, Vec<_>) =
        used(candidates).into_iter().partition(|candidate| candidate.near);
    near.retain(|candidate| !candidate.asked && candidate.estimate != LoadEstimate::Busy);
    far.retain(|candidate| !candidate.asked && candidate.estimate != LoadEstimate::Busy);
    for candidates in [&mut near, &mut far] {
        candidates.shuffle(rng);
        candidates.sort_by_key(|candidate| (candidate.estimate, candidate.exhausted));
    }
    let free = near.iter().filter(|candidate| candidate.estimate == LoadEstimate::Free).count();
    if free > 0 {
        near.truncate(free.min(FREE_ASKED));
        return near.into_iter().map(|candidate| candidate.key).collect();
    }
    let near_asked = near.len().min(NEAR_ASKED.max(ALL_ASKED.saturating_sub(far.len())));
    near.truncate(near_asked);
    far.truncate(ALL_ASKED - near_asked);
    near.into_iter().chain(far).map(|candidate| candidate.key).collect()
}

/// The targets that the entry uses, doubtful ones only for want of others.
pub fn used(mut candidates: Vec<Candidate>) -> Vec<Candidate> {
    if candidates.iter().any(|candidate| !candidate.doubtful && !candidate.asked) {
        candidates.retain(|candidate| !candidate.doubtful);
    }
    candidates.sort_by_key(|candidate| candidate.rank);
    let (mut near, mut far): (Vec<_>, Vec<_>) =
        candidates.into_iter().partition(|candidate| candidate.near);
    let near_used = near.len().min(NEAR_USED.max(ALL_USED.saturating_sub(far.len())));
    near.truncate(near_used);
    far.truncate(ALL_USED - near_used);
    near.append(&mut far);
    near
}

/// Cost of a call at a target, in units of the call's usual duration.
pub fn cost(target: &RegisteredTarget, sample: &LoadSample, domain: &str, now: Instant) -> f64 {
    // Calls of this entry may have left since the target answered.
    let load = sample.load.map(|load| load.with_running(target.inflight));
    let mut cost = load.map_or(UNKNOWN_COST, |load| load.stretch());
    if &*target.registration.domain != domain {
        cost *= FAR_FACTOR;
    }
    if now < target.warm_at {
        cost *= COLD_FACTOR;
    }
    if !sample.healthy {
        cost *= UNHEALTHY_FACTOR;
    }
    cost
}
