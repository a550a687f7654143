//! Finds a target for a call.

use rand::seq::SliceRandom;

use super::choice::{to_ask, used, Candidate};
use super::load_sample::LoadSample;
use super::overload::Decision;
use super::probing::{ask, judge, Best, ProbeResponse, Round};
use super::registered_target::RegisteredTargetKey;
use super::Gateway;
use crate::prelude::*;
use crate::process::pool::PooledConnection;
use crate::request::routed_call::RoutedCall;

/// Pause before targets are asked again.
const ROUND_PAUSE: Duration = Duration::from_millis(12);
/// Age up to which a reading tells a target's load when no probe may be sent.
const KNOWN_AGE: Duration = Duration::from_millis(300);
/// Longest wait for a connection to a target that was not probed.
const CONNECTION_TIME: Duration = Duration::from_millis(60);

/// How a target was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The call has probed it.
    Probed,
    /// No probe could be sent; it is the best by what is known.
    Known,
}

impl Source {
    /// The word for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Source::Probed => "probed",
            Source::Known => "known",
        }
    }
}

/// A target that was chosen, with a connection to it.
pub struct Choice {
    pub key: RegisteredTargetKey,
    pub pooled: PooledConnection,
    pub sample: LoadSample,
    pub source: Source,
    /// Targets that were asked in the last round, and those that answered.
    pub asked: usize,
    pub heard: usize,
    pub stats: SearchStats,
}

impl Choice {
    fn new(heard: ProbeResponse, source: Source, stats: SearchStats) -> Self {
        let ProbeResponse { key, sample, pooled } = heard;
        Self { key, pooled, sample, source, asked: 0, heard: 0, stats }
    }
}

/// What a search has spent: rounds of questions, and targets asked in all of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SearchStats {
    pub rounds: usize,
    pub probes: usize,
}

/// Why no target was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SearchError {
    /// The targets that answered have no room in time.
    Full,
    /// No target is registered that may get the call.
    NoTarget,
    /// No target answered.
    Silent,
    /// The deadline has passed.
    Expired,
}

/// Finds a target for a call that is not among `tried`.
pub async fn search(
    gateway: &Rc<Gateway>,
    routed: &RoutedCall,
    tried: &[RegisteredTargetKey],
    stats: &mut SearchStats,
) -> Result<Choice, SearchError> {
    let terms = routed.terms();
    let mut passed = tried.to_vec();
    let mut error = SearchError::NoTarget;
    loop {
        let now = Instant::now();
        let left = routed.deadline.left(now);
        if left.is_zero() {
            return Err(SearchError::Expired);
        }
        let candidates = candidates(gateway, &routed.service, &passed);
        if candidates.iter().all(|candidate| tried.contains(&candidate.key)) {
            return Err(error);
        }
        let mut keys = to_ask(candidates, &mut *gateway.rng.borrow_mut());
        if keys.is_empty() {
            // All targets are busy or were asked; one of them may be free by now.
            passed.truncate(tried.len());
        } else {
            keys.truncate(gateway.grant_probes(keys.len(), stats.rounds == 0, now));
        }
        if keys.is_empty() {
            if terms.situation(None, now).is_over() {
                let error = if error == SearchError::Silent { error } else { SearchError::Full };
                let choice = known(gateway, routed, tried, *stats).await.ok_or(error)?;
                gateway.metrics.count("cornellink_calls_unprobed_total");
                return Ok(choice);
            }
            monoio::time::sleep(gateway.jitter(ROUND_PAUSE).min(left)).await;
            continue;
        }
        stats.rounds += 1;
        stats.probes += keys.len();
        let Round { best, asked, heard } = ask(gateway, &keys, &routed.plan, left).await;
        if heard > 0 {
            error = SearchError::Full;
        } else if error == SearchError::NoTarget {
            error = SearchError::Silent;
        }
        let offer = best.as_ref().map(|best| best.offer);
        match terms.situation(offer, Instant::now()).decide() {
            Decision::Refuse => return Err(error),
            Decision::Look => passed.extend(keys),
            Decision::Send => {
                let Some(Best { heard: found, .. }) = best else { return Err(error) };
                let choice = Choice::new(found, Source::Probed, *stats);
                return Ok(Choice { asked, heard, ..choice });
            }
        }
    }
}

fn candidates(gateway: &Gateway, service: &str, passed: &[RegisteredTargetKey]) -> Vec<Candidate> {
    let now = Instant::now();
    let (registry, settings) = (gateway.registry.borrow(), gateway.settings.borrow());
    let targets = registry.service(service).filter(|(_, target)| target.is_eligible(now));
    let candidates = targets.map(|(key, target)| Candidate {
        asked: passed.contains(&key),
        ..Candidate::new(key, target, &settings.name, &settings.domain, now)
    });
    candidates.collect()
}

/// The best target by what is known, for a call that has waited for a probe in vain.
async fn known(
    gateway: &Gateway,
    routed: &RoutedCall,
    tried: &[RegisteredTargetKey],
    stats: SearchStats,
) -> Option<Choice> {
    let now = Instant::now();
    let mut candidates = used(candidates(gateway, &routed.service, tried));
    candidates.shuffle(&mut *gateway.rng.borrow_mut());
    let sound = candidates.iter().filter(|candidate| !candidate.asked && !candidate.doubtful);
    let offers = sound.filter_map(|candidate| {
        let sample = recent(gateway, candidate.key, now);
        judge(gateway, candidate.key, &sample).map(|offer| (candidate.key, sample, offer))
    });
    // Targets that tell no load differ only by the calls of this entry.
    let inflight = |key| gateway.registry.borrow().get(key).map_or(0, |target| target.inflight);
    let (key, sample, offer) = offers.min_by(|(a, _, first), (b, _, second)| {
        first.cost.total_cmp(&second.cost).then_with(|| inflight(*a).cmp(&inflight(*b)))
    })?;
    if routed.terms().situation(Some(offer), now).decide() != Decision::Send {
        return None;
    }
    let pool = gateway.registry.borrow().get(key)?.pool.clone();
    let wait = CONNECTION_TIME.min(routed.deadline.left(now));
    let pooled = monoio::time::timeout(wait, pool.take()).await.ok()?.ok()?;
    Some(Choice::new(ProbeResponse { key, sample, pooled }, Source::Known, stats))
}

/// What a target said lately; an old reading says nothing of its load.
fn recent(gateway: &Gateway, key: RegisteredTargetKey, now: Instant) -> LoadSample {
    let last = gateway.registry.borrow().get(key).and_then(|target| target.sample);
    let is_recent = |last: &LoadSample| now.saturating_duration_since(last.taken) <= KNOWN_AGE;
    last.filter(is_recent).unwrap_or(LoadSample { taken: now, load: None, healthy: true })
}
