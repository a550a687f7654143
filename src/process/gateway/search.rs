//! Searches for a target that can take a call, in rounds of probes.

use rand::seq::SliceRandom;
use rand::Rng;

use super::choice::{select_cold_target, select_probe_targets, subset, Candidate, WARMUP_FACTOR};
use super::cold_targets::ColdAccess;
use super::load_sample::LoadSample;
use super::overload::{Decision, TargetScore};
use super::probing::{probe_targets, score_target, BestResponse, ProbeResponse, RoundResult};
use super::registered_target::RegisteredTargetKey;
use super::Gateway;
use crate::prelude::*;
use crate::process::pool::PooledConnection;
use crate::request::routed_call::RoutedCall;

/// Mean delay before the next round when there was no target to probe or no probe was granted.
const ROUND_DELAY: Duration = Duration::from_millis(12);
/// Oldest sample that counts when a target is chosen without a probe.
const MAX_SAMPLE_AGE: Duration = Duration::from_millis(300);
/// Longest wait for a connection to a target that was not probed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(60);

/// How a target was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// By a probe of this call.
    Probed,
    /// By the cached samples, because no probe could be sent.
    Cached,
}

impl Source {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Source::Probed => "probed",
            Source::Cached => "known",
        }
    }
}

/// A target that was chosen, with a connection to it.
pub struct Choice {
    pub key: RegisteredTargetKey,
    pub pooled: PooledConnection,
    pub sample: LoadSample,
    pub source: Source,
    /// Targets probed in the last round, and those that responded by the time of the choice.
    pub probed: usize,
    pub responded: usize,
    pub stats: SearchStats,
}

impl Choice {
    fn new(response: ProbeResponse, source: Source, stats: SearchStats) -> Self {
        let ProbeResponse { key, sample, pooled } = response;
        Self { key, pooled, sample, source, probed: 0, responded: 0, stats }
    }
}

/// Rounds of probes in a search, and probes in all of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SearchStats {
    pub rounds: usize,
    pub probes: usize,
}

/// Why no target was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SearchError {
    /// No target has capacity for the call in time.
    Full,
    /// No target that may get the call is registered.
    NoTarget,
    /// No target responded to its probe.
    Silent,
    /// The deadline has passed.
    Expired,
    /// The entry is shutting down and the call might not end in time.
    Stopping,
}

/// Finds a target for a call, other than those in `tried`; counts rounds and probes in `stats`.
pub async fn search(
    gateway: &Rc<Gateway>,
    routed: &RoutedCall,
    tried: &[RegisteredTargetKey],
    stats: &mut SearchStats,
) -> Result<Choice, SearchError> {
    let requirements = routed.requirements();
    let mut excluded = tried.to_vec();
    let mut error = SearchError::NoTarget;
    let draw = draw(gateway);
    loop {
        let now = Instant::now();
        let left = routed.left(now);
        if left.is_zero() {
            return Err(SearchError::Expired);
        }
        let candidates = candidates(gateway, &routed.service, &excluded, tried.len(), draw);
        if candidates.is_empty() {
            return Err(SearchError::NoTarget);
        }
        if candidates.iter().all(|candidate| tried.contains(&candidate.key)) {
            return Err(error);
        }
        let cold = match stats.rounds == 0 {
            true => select_cold_target(&candidates, &mut *gateway.rng.borrow_mut()),
            false => None,
        };
        let is_deferred = candidates.iter().any(|candidate| candidate.cold == ColdAccess::Deferred);
        let mut keys = match cold {
            Some(key) => vec![key],
            None => {
                select_probe_targets(candidates, routed.reach(now), &mut *gateway.rng.borrow_mut())
            }
        };
        if keys.is_empty() {
            if is_deferred {
                gateway.count_cold_deferral();
            }
            // All targets are busy or were probed. One of them may have become free, so the next
            // round may probe them again.
            excluded.truncate(tried.len());
        } else {
            keys.truncate(gateway.grant_probes(keys.len(), stats.rounds == 0, now));
        }
        if keys.is_empty() {
            if requirements.decision_input(None, now).is_search_over() {
                let error = if error == SearchError::Silent { error } else { SearchError::Full };
                let choice =
                    choose_by_samples(gateway, routed, tried, draw, *stats).await.ok_or(error)?;
                gateway.metrics.count("cornellink_calls_unprobed_total");
                return Ok(choice);
            }
            monoio::time::sleep(gateway.jitter(ROUND_DELAY).min(left)).await;
            continue;
        }
        stats.rounds += 1;
        stats.probes += keys.len();
        let RoundResult { best, probed, responded } =
            probe_targets(gateway, &keys, &routed.plan, left).await;
        if responded > 0 {
            error = SearchError::Full;
        } else if error == SearchError::NoTarget {
            error = SearchError::Silent;
        }
        let score = best.as_ref().map(|best| match cold {
            Some(_) => score_without_warmup(best.score),
            None => best.score,
        });
        match requirements.decision_input(score, Instant::now()).decide() {
            Decision::Refuse => return Err(error),
            Decision::Continue => excluded.extend(keys),
            Decision::Send => {
                let Some(BestResponse { response: found, .. }) = best else { return Err(error) };
                let choice = Choice::new(found, Source::Probed, *stats);
                return Ok(Choice { probed, responded, ..choice });
            }
        }
    }
}

/// Draws the number by which a call may use the domains whose evacuation begins or has just ended:
/// those with a larger share.
fn draw(gateway: &Gateway) -> f64 {
    match gateway.evacuations.borrow().is_empty() {
        true => 0.0,
        false => gateway.rng.borrow_mut().random(),
    }
}

/// The targets that a call may use. The first `tried_count` of the excluded ones cannot be used
/// again in the search.
///
/// If the draw leaves only those, or none, the call may use all domains that are not closed.
fn candidates(
    gateway: &Gateway,
    service: &str,
    excluded: &[RegisteredTargetKey],
    tried_count: usize,
    draw: f64,
) -> Vec<Candidate> {
    let now = Instant::now();
    let (registry, settings) = (gateway.registry.borrow(), gateway.settings.borrow());
    let targets = registry.service(service).filter(|(_, target)| gateway.may_use(target, now));
    let candidates = targets.map(|(key, target)| {
        let is_drawn = draw < gateway.domain_share(target, now);
        let candidate = Candidate {
            excluded: excluded.contains(&key),
            ..Candidate::new(key, target, &settings.name, &settings.domain, now)
        };
        // Only these need the second lookup in `cold_access`.
        let may_be_limited = target.warmup.is_cold(now) || target.cold_share.is_some();
        (candidate, is_drawn, may_be_limited)
    });
    let mut candidates: Vec<(Candidate, bool, bool)> = candidates.collect();
    drop((registry, settings));
    let tried = &excluded[..tried_count];
    if candidates.iter().any(|(one, is_drawn, _)| *is_drawn && !tried.contains(&one.key)) {
        candidates.retain(|(_, is_drawn, _)| *is_drawn);
    }
    let candidates = candidates.into_iter().map(|(candidate, _, may_be_limited)| {
        let cold = match may_be_limited {
            true => gateway.cold_access(candidate.key, now),
            false => ColdAccess::Unlimited,
        };
        Candidate { cold, ..candidate }
    });
    candidates.collect()
}

/// The score by which a cold target with a token gets a call that it is to have: its warm-up does
/// not count, but its queue and its load do.
fn score_without_warmup(score: TargetScore) -> TargetScore {
    TargetScore { cost: score.cost / WARMUP_FACTOR, ..score }
}

/// Chooses the best target by cached samples, for a call that can send no probe at the end of its
/// search.
async fn choose_by_samples(
    gateway: &Gateway,
    routed: &RoutedCall,
    tried: &[RegisteredTargetKey],
    draw: f64,
    stats: SearchStats,
) -> Option<Choice> {
    let now = Instant::now();
    let mut candidates = subset(candidates(gateway, &routed.service, tried, tried.len(), draw));
    candidates.shuffle(&mut *gateway.rng.borrow_mut());
    let usable = candidates.iter().filter(|candidate| candidate.is_usable() && !candidate.suspect);
    let scores = usable.filter_map(|candidate| {
        let sample = recent_sample(gateway, candidate.key, now);
        score_target(gateway, candidate.key, &sample).map(|score| (candidate.key, sample, score))
    });
    // Targets of equal cost, such as those that report no load, are compared by the calls that this
    // entry has in flight there.
    let inflight = |key| gateway.registry.borrow().get(key).map_or(0, |target| target.inflight);
    let (key, sample, score) = scores.min_by(|(a, _, first), (b, _, second)| {
        first.cost.total_cmp(&second.cost).then_with(|| inflight(*a).cmp(&inflight(*b)))
    })?;
    if routed.requirements().decision_input(Some(score), now).decide() != Decision::Send {
        return None;
    }
    let pool = gateway.registry.borrow().get(key)?.pool.clone();
    let wait = CONNECT_TIMEOUT.min(routed.left(now));
    let pooled = monoio::time::timeout(wait, pool.take()).await.ok()?.ok()?;
    Some(Choice::new(ProbeResponse { key, sample, pooled }, Source::Cached, stats))
}

/// A target's last sample, or one without a load if there is none or it is too old.
fn recent_sample(gateway: &Gateway, key: RegisteredTargetKey, now: Instant) -> LoadSample {
    let last = gateway.registry.borrow().get(key).and_then(|target| target.sample);
    let is_recent = |last: &LoadSample| now.saturating_duration_since(last.taken) <= MAX_SAMPLE_AGE;
    last.filter(is_recent).unwrap_or(LoadSample { taken: now, load: None, healthy: true })
}
