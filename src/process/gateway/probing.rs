//! Probes targets for their load and records the samples.

use local_sync::mpsc::unbounded::{self, Tx};

use super::choice::cost;
use super::cold_targets::ColdAccess;
use super::load_sample::{Load, LoadSample};
use super::overload::TargetScore;
use super::registered_target::{RegisteredTarget, RegisteredTargetKey};
use super::sharing::loads::TargetSample;
use super::Gateway;
use crate::prelude::*;
use crate::process::pool::{Pool, PooledConnection};
use crate::version::route_table::ServicePlan;

/// Time from the start of a round after which the best response so far is used without waiting for
/// further ones.
const COMPARE_TIMEOUT: Duration = Duration::from_millis(10);
/// Longest wait of a round for a usable response, and of a probe for a connection and then for the
/// response on it.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(60);
/// Longest further wait for the first response on a new connection.
const NEW_CONNECTION_TIMEOUT: Duration = Duration::from_millis(900);
/// Cost up to which a target is used without waiting for further responses.
const EARLY_ACCEPT_COST: f64 = 1.25;

/// A target's response to a probe, with the connection that carried it.
///
/// The call is sent on the same connection. As it has just carried a response, the target has not
/// closed it and the network is not blocking it, so a call that must not be retried is not lost.
pub struct ProbeResponse {
    pub key: RegisteredTargetKey,
    pub sample: LoadSample,
    pub pooled: PooledConnection,
}

/// The response with the lowest cost in a round.
pub struct BestResponse {
    pub score: TargetScore,
    pub response: ProbeResponse,
}

/// The result of a round of probes.
#[derive(Default)]
pub struct RoundResult {
    pub best: Option<BestResponse>,
    pub probed: usize,
    pub responded: usize,
}

/// Probes the targets concurrently and returns the best of those that respond in time.
pub async fn probe_targets(
    gateway: &Rc<Gateway>,
    keys: &[RegisteredTargetKey],
    plan: &ServicePlan,
    left: Duration,
) -> RoundResult {
    let (sender, mut receiver) = unbounded::channel();
    for key in keys {
        gateway.probe_tasks.spawn(probe(gateway.clone(), *key, plan.clone(), sender.clone()));
    }
    drop(sender);
    let start = Instant::now();
    let limit = RESPONSE_TIMEOUT.min(left);
    let mut round = RoundResult { probed: keys.len(), ..RoundResult::default() };
    loop {
        let wait = if round.best.is_some() { COMPARE_TIMEOUT } else { limit };
        let wait = wait.saturating_sub(start.elapsed());
        let Ok(Some(response)) = monoio::time::timeout(wait, receiver.recv()).await else { break };
        round.responded += 1;
        let Some(score) = score_target(gateway, response.key, &response.sample) else { continue };
        if round.best.as_ref().is_none_or(|best| score.cost < best.score.cost) {
            round.best = Some(BestResponse { score, response });
        }
        if score.cost <= EARLY_ACCEPT_COST {
            break;
        }
    }
    round
}

/// Scores a target; `None` if it may not get new calls, or is cold and this entry has no token.
pub fn score_target(
    gateway: &Gateway,
    key: RegisteredTargetKey,
    sample: &LoadSample,
) -> Option<TargetScore> {
    let now = Instant::now();
    if gateway.cold_access(key, now) == ColdAccess::Deferred {
        return None;
    }
    let registry = gateway.registry.borrow();
    let target = registry.get(key).filter(|target| gateway.may_use(target, now))?;
    Some(TargetScore {
        cost: cost(target, sample, &gateway.settings.borrow().domain, now),
        queue_ratio: sample.load.map_or(0.0, |load| load.queue_ratio()),
    })
}

/// Records a target's load and publishes it to other entries.
pub fn record_sample(gateway: &Gateway, key: RegisteredTargetKey, sample: LoadSample) {
    let mut registry = gateway.registry.borrow_mut();
    let Some(target) = registry.get_mut(key) else { return };
    target.sample = Some(sample);
    let (id, born) = (target.registration.id.clone(), target.registration.born);
    gateway.sharing.loads.enqueue(TargetSample { id, born, sample, leaving: false });
}

/// Records a sample received from another entry, unless there is a newer one or it is of another
/// incarnation of the target.
pub fn record_peer_sample(gateway: &Gateway, received: &TargetSample) {
    let mut registry = gateway.registry.borrow_mut();
    let Some(key) = registry.key(&received.id) else { return };
    let Some(target) = registry.get_mut(key) else { return };
    if target.registration.born != received.born {
        return;
    }
    if received.leaving {
        target.availability.record_reported_leaving(Instant::now());
        log::info!(target_id = &*received.id; "another entry reported a target as leaving");
        return;
    }
    if target.sample.is_none_or(|last| last.taken < received.sample.taken) {
        target.sample = Some(received.sample);
    }
}

/// Probes one target. The connection goes back to its pool if the call no longer waits for the
/// response.
async fn probe(
    gateway: Rc<Gateway>,
    key: RegisteredTargetKey,
    plan: ServicePlan,
    sender: Tx<ProbeResponse>,
) {
    let Some((pool, id)) = find_pool(&gateway, key) else { return };
    pool.set_limit(gateway.connection_limit(plan.connections));
    let asked_at = Instant::now();
    let outcome = exchange(&gateway, key, &pool, &plan.probe_path).await;
    let now = Instant::now();
    let own = outcome.filter(|(response, _)| is_from_target(&gateway, response, &id));
    let Some((response, pooled)) = own else {
        // No probe is sent to a target that began to turn calls away, or whose domain was closed,
        // during the wait.
        let mut registry = gateway.registry.borrow_mut();
        let may_use = |target: &&mut RegisteredTarget| gateway.may_use(target, now);
        if let Some(target) = registry.get_mut(key).filter(may_use) {
            target.failures.record_failure(now);
        }
        gateway.metrics.count_probe("failed");
        log::debug!(target_id = &*id; "probe failed");
        return;
    };
    gateway.record_notice(key, &response);
    gateway.record_warmup(key, &response, asked_at);
    if gateway.header_names.is_not_run(&response) {
        // The target would refuse a call as well.
        if let Some(target) = gateway.registry.borrow_mut().get_mut(key) {
            target.failures.record_refusal(now);
        }
        gateway.metrics.count_probe("refused");
        return;
    }
    gateway.metrics.count_probe("answered");
    let load = response.header(gateway.header_names.load).and_then(Load::parse);
    let sample = LoadSample { taken: now, load, healthy: response.status.is_success() };
    record_sample(&gateway, key, sample);
    // If the round is over, the channel is closed and the connection returns to its pool.
    let _ = sender.send(ProbeResponse { key, sample, pooled });
}

fn find_pool(gateway: &Gateway, key: RegisteredTargetKey) -> Option<(Rc<Pool>, Rc<str>)> {
    let registry = gateway.registry.borrow();
    let target = registry.get(key)?;
    Some((target.pool.clone(), target.registration.id.clone()))
}

/// Exchanges the probe on an idle connection or a new one.
///
/// A full target responds at once on an established connection, but accepts a new one only when a
/// slot is free. The probe therefore waits longer on a new connection: if it were closed, the
/// target would soon have to accept another one.
async fn exchange(
    gateway: &Gateway,
    key: RegisteredTargetKey,
    pool: &Rc<Pool>,
    path: &str,
) -> Option<(Answer, PooledConnection)> {
    let request = Call::new(Method::GET, path.parse().ok()?);
    let mut pooled = monoio::time::timeout(RESPONSE_TIMEOUT, pool.take()).await.ok()?.ok()?;
    if !gateway.is_target_eligible(key) {
        return None;
    }
    let is_new = pooled.is_new();
    // A response with the id of a call is a late response to that call.
    let is_own = |response: &Answer| !response.headers.contains_key(gateway.header_names.call_id);
    let mut pending = Box::pin(pooled.connection().exchange_matching(&request, is_own));
    let response = match monoio::time::timeout(RESPONSE_TIMEOUT, &mut pending).await {
        Ok(response) => response,
        Err(_) if is_new => {
            if let Some(target) = gateway.registry.borrow_mut().get_mut(key) {
                target.failures.record_refusal(Instant::now());
            }
            gateway.metrics.count_probe("late");
            monoio::time::timeout(NEW_CONNECTION_TIMEOUT, &mut pending).await.ok()?
        }
        Err(_) => return None,
    };
    drop(pending);
    Some((response.ok()?, pooled))
}

/// Whether the response to a probe names no other target than the one with this id.
fn is_from_target(gateway: &Gateway, response: &Answer, id: &str) -> bool {
    response.header(gateway.header_names.target_id).is_none_or(|named| named == id)
}
