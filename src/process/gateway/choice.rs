//! Selection of the targets to probe, and the cost of sending a call to a target.

use std::collections::HashMap;

use rand::seq::{IndexedRandom, SliceRandom};
use rand::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::cold_targets::ColdAccess;
use super::load_sample::LoadSample;
use super::locality::Reach;
use super::registered_target::{RegisteredTarget, RegisteredTargetKey};
use crate::prelude::*;

/// Most local targets in one round of probes, unless there are too few remote ones to fill it.
const MAX_LOCAL_PROBES: usize = 4;
/// Most targets in one round of probes.
const MAX_PROBES: usize = 5;
/// Most local targets in the subset, unless there are too few remote ones to fill it.
const LOCAL_SUBSET_SIZE: usize = 8;
/// Size of the subset of a service's targets that an entry uses. The limit keeps the connections
/// warm when the service is large.
const SUBSET_SIZE: usize = 12;
/// Factor on the cost of a remote target.
const REMOTE_FACTOR: f64 = 1.3;
/// Factor on the cost of a target that is warming up.
pub const WARMUP_FACTOR: f64 = 2.0;
/// Factor on the cost of a target that reports itself as unhealthy. It is finite because a health
/// check can be wrong.
const UNHEALTHY_FACTOR: f64 = 10.0;
/// Cost of a target that reports no load, as a multiple of a call's typical duration.
const UNKNOWN_LOAD_COST: f64 = 2.0;

/// Oldest sample that affects the order in which targets are probed.
const MAX_ESTIMATE_AGE: Duration = Duration::from_millis(40);
/// Highest cost at which a target is estimated to be free.
const MAX_FREE_COST: f64 = 2.0;
/// Most targets that a round probes if some are estimated to be free.
const MAX_FREE_PROBES: usize = 2;

/// Estimate of a target's load before it is probed, in order of preference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LoadEstimate {
    Free,
    Unknown,
    Busy,
}

impl LoadEstimate {
    fn new(target: &RegisteredTarget, domain: &str, now: Instant) -> Self {
        let is_recent =
            |last: &LoadSample| now.saturating_duration_since(last.taken) <= MAX_ESTIMATE_AGE;
        let Some(sample) = target.sample.filter(is_recent) else { return Self::Unknown };
        let has_queue = sample.load.is_some_and(|load| load.queue_ratio() > 0.0);
        match !has_queue && cost(target, &sample, domain, now) <= MAX_FREE_COST {
            true => Self::Free,
            false => Self::Busy,
        }
    }
}

/// A target that may be probed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    pub key: RegisteredTargetKey,
    pub local: bool,
    pub suspect: bool,
    /// Whether the call has already probed the target or was sent to it.
    pub excluded: bool,
    /// Whether all pooled connections to the target are in use, so that a probe opens another one.
    pub exhausted: bool,
    /// Whether the warm-up of the target allows a call.
    pub cold: ColdAccess,
    pub estimate: LoadEstimate,
    /// Rendezvous hash of the entry and the target; the lowest ranks form the subset.
    pub rank: u64,
}

impl Candidate {
    /// Creates a candidate as seen by the entry `entry_name` in the failure domain `domain`.
    pub fn new(
        key: RegisteredTargetKey,
        target: &RegisteredTarget,
        entry_name: &str,
        domain: &str,
        now: Instant,
    ) -> Self {
        let registration = &target.registration;
        let seed = xxh3_64_with_seed(entry_name.as_bytes(), 0);
        Self {
            key,
            local: &*registration.domain == domain,
            suspect: target.is_suspect(now),
            excluded: false,
            exhausted: target.pool.is_exhausted(),
            cold: ColdAccess::Unlimited,
            estimate: LoadEstimate::new(target, domain, now),
            rank: xxh3_64_with_seed(registration.id.as_bytes(), seed),
        }
    }

    /// Whether the call may be sent to the target.
    pub fn is_usable(&self) -> bool {
        !self.excluded && self.cold != ColdAccess::Deferred
    }

    fn may_be_probed(&self) -> bool {
        self.is_usable() && self.estimate != LoadEstimate::Busy
    }
}

/// Selects the targets to probe: local ones first, suspect ones only if there are no others. If
/// local targets are estimated to be free, only these are probed.
///
/// Further rounds of a call stay within the entry's subset. At a load peak all calls need further
/// rounds, which would otherwise open short-lived connections to all targets of a large service.
///
/// With a local reach, remote targets are selected only if the subset has no local one.
pub fn select_probe_targets(
    candidates: Vec<Candidate>,
    reach: Reach,
    rng: &mut impl Rng,
) -> Vec<RegisteredTargetKey> {
    let (mut local, mut remote): (Vec<_>, Vec<_>) =
        subset(candidates).into_iter().partition(|candidate| candidate.local);
    if reach == Reach::Local && !local.is_empty() {
        remote.clear();
    }
    local.retain(Candidate::may_be_probed);
    remote.retain(Candidate::may_be_probed);
    for candidates in [&mut local, &mut remote] {
        candidates.shuffle(rng);
        candidates.sort_by_key(|candidate| (candidate.estimate, candidate.exhausted));
    }
    let free = local.iter().filter(|candidate| candidate.estimate == LoadEstimate::Free).count();
    if free > 0 {
        local.truncate(free.min(MAX_FREE_PROBES));
        return local.into_iter().map(|candidate| candidate.key).collect();
    }
    let local_count =
        local.len().min(MAX_LOCAL_PROBES.max(MAX_PROBES.saturating_sub(remote.len())));
    local.truncate(local_count);
    remote.truncate(MAX_PROBES - local_count);
    local.into_iter().chain(remote).map(|candidate| candidate.key).collect()
}

/// The entry's subset of the targets; suspect ones are included only if the call can use no other.
pub fn subset(mut candidates: Vec<Candidate>) -> Vec<Candidate> {
    if candidates.iter().any(|candidate| !candidate.suspect && candidate.is_usable()) {
        candidates.retain(|candidate| !candidate.suspect);
    }
    candidates.sort_by_key(|candidate| candidate.rank);
    let (mut local, mut remote): (Vec<_>, Vec<_>) =
        candidates.into_iter().partition(|candidate| candidate.local);
    let (local_count, remote_count) = subset_sizes(local.len(), remote.len());
    local.truncate(local_count);
    remote.truncate(remote_count);
    local.append(&mut remote);
    local
}

/// Numbers of local and remote targets in the subset of an entry, of those that there are.
fn subset_sizes(local: usize, remote: usize) -> (usize, usize) {
    let local_count = local.min(LOCAL_SUBSET_SIZE.max(SUBSET_SIZE.saturating_sub(remote)));
    (local_count, remote.min(SUBSET_SIZE - local_count))
}

/// Probability that an entry has a target of the failure domain `domain` in its subset; `domains`
/// holds the domain of each target of the service. The domains are taken to have equally many
/// entries.
pub fn subset_ratio<'a>(domains: impl Iterator<Item = &'a str>, domain: &str) -> f64 {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for domain in domains {
        *counts.entry(domain).or_default() += 1;
    }
    let total: usize = counts.values().sum();
    let ratios = counts.iter().map(|(entry_domain, local)| {
        let (local_count, remote_count) = subset_sizes(*local, total - local);
        match *entry_domain == domain {
            true => local_count as f64 / *local as f64,
            false => remote_count as f64 / (total - local) as f64,
        }
    });
    ratios.sum::<f64>() / counts.len().max(1) as f64
}

/// Selects a cold target of the subset that gets a call although warm ones cost less, so that it
/// warms up.
pub fn select_cold_target(
    candidates: &[Candidate],
    rng: &mut impl Rng,
) -> Option<RegisteredTargetKey> {
    if candidates.iter().all(|candidate| candidate.cold != ColdAccess::Granted) {
        return None;
    }
    let mut subset = subset(candidates.to_vec());
    subset.retain(|candidate| {
        candidate.cold == ColdAccess::Granted && !candidate.excluded && !candidate.suspect
    });
    subset.choose(rng).map(|candidate| candidate.key)
}

/// Expected cost of a call from an entry in `domain` at a target, as a multiple of the call's
/// typical duration.
pub fn cost(target: &RegisteredTarget, sample: &LoadSample, domain: &str, now: Instant) -> f64 {
    // This entry may have sent calls since the target reported its load.
    let load = sample.load.map(|load| load.with_min_running(target.inflight));
    let mut cost = load.map_or(UNKNOWN_LOAD_COST, |load| load.duration_factor());
    if &*target.registration.domain != domain {
        cost *= REMOTE_FACTOR;
    }
    if target.warmup.is_cold(now) {
        cost *= WARMUP_FACTOR;
    }
    if !sample.healthy {
        cost *= UNHEALTHY_FACTOR;
    }
    cost
}
