//! Asks targets for their load.

use local_sync::mpsc::unbounded::{self, Tx};

use super::choice::cost;
use super::load_sample::{Load, LoadSample};
use super::overload::Offer;
use super::registered_target::RegisteredTargetKey;
use super::sharing::loads::TargetSample;
use super::Gateway;
use crate::prelude::*;
use crate::process::pool::{Pool, PooledConnection};
use crate::version::route_table::ServicePlan;

/// Time from the questions until a usable answer is taken without waiting for further ones.
const COMPARE_TIME: Duration = Duration::from_millis(10);
/// Longest wait for a target's answer.
const ANSWER_TIME: Duration = Duration::from_millis(60);
/// Longest further wait for the first answer on a new connection.
const OPENING_TIME: Duration = Duration::from_millis(900);
/// Cost at which the answers of other targets are not waited for.
const BEST_COST: f64 = 1.25;

/// A target that has told its load, with the connection on which it did.
///
/// A connection that has carried an answer a moment ago is neither forgotten by the target nor
/// blocked on the way, so that a call which may not be repeated is not lost on it.
pub struct ProbeResponse {
    pub key: RegisteredTargetKey,
    pub sample: LoadSample,
    pub pooled: PooledConnection,
}

/// A target with its cost.
pub struct Best {
    pub offer: Offer,
    pub heard: ProbeResponse,
}

/// What a round of questions found.
#[derive(Default)]
pub struct Round {
    pub best: Option<Best>,
    pub asked: usize,
    pub heard: usize,
}

/// Asks targets and takes the best of those that answer in time.
pub async fn ask(
    gateway: &Rc<Gateway>,
    keys: &[RegisteredTargetKey],
    plan: &ServicePlan,
    left: Duration,
) -> Round {
    let (sender, mut receiver) = unbounded::channel();
    for key in keys {
        gateway.probe_tasks.spawn(probe(gateway.clone(), *key, plan.clone(), sender.clone()));
    }
    drop(sender);
    let start = Instant::now();
    let limit = ANSWER_TIME.min(left);
    let mut round = Round { asked: keys.len(), ..Round::default() };
    loop {
        let wait = if round.best.is_some() { COMPARE_TIME } else { limit };
        let wait = wait.saturating_sub(start.elapsed());
        let Ok(Some(heard)) = monoio::time::timeout(wait, receiver.recv()).await else { break };
        round.heard += 1;
        let Some(offer) = judge(gateway, heard.key, &heard.sample) else { continue };
        if round.best.as_ref().is_none_or(|best| offer.cost < best.offer.cost) {
            round.best = Some(Best { offer, heard });
        }
        if offer.cost <= BEST_COST {
            break;
        }
    }
    round
}

/// What a target offers that may be used.
pub fn judge(gateway: &Gateway, key: RegisteredTargetKey, sample: &LoadSample) -> Option<Offer> {
    let now = Instant::now();
    let registry = gateway.registry.borrow();
    let target = registry.get(key).filter(|target| target.is_eligible(now))?;
    Some(Offer {
        cost: cost(target, sample, &gateway.settings.borrow().domain, now),
        queue: sample.load.map_or(0.0, |load| load.queue()),
    })
}

/// Takes note of a target's load and tells other entries.
pub fn learn(gateway: &Gateway, key: RegisteredTargetKey, sample: LoadSample) {
    let mut registry = gateway.registry.borrow_mut();
    let Some(target) = registry.get_mut(key) else { return };
    target.sample = Some(sample);
    gateway.sharing.loads.tell(&target.registration.id, sample);
}

/// Takes note of what a target has told another entry.
pub fn hear(gateway: &Gateway, received: &TargetSample) {
    let mut registry = gateway.registry.borrow_mut();
    let Some(key) = registry.key(&received.id) else { return };
    let Some(target) = registry.get_mut(key) else { return };
    if target.sample.is_none_or(|last| last.taken < received.sample.taken) {
        target.sample = Some(received.sample);
    }
}

/// Asks one target; the connection is kept even if nobody waits for the answer any more.
async fn probe(
    gateway: Rc<Gateway>,
    key: RegisteredTargetKey,
    plan: ServicePlan,
    sender: Tx<ProbeResponse>,
) {
    let Some((pool, id)) = find(&gateway, key) else { return };
    pool.set_limit(gateway.connection_limit(plan.connections));
    let outcome = exchange(&gateway, key, &pool, &plan.probe_path).await;
    let now = Instant::now();
    let outcome = outcome.and_then(|(answer, pooled)| {
        read(&gateway, &answer, &id, now).map(|sample| (sample, pooled))
    });
    let Some((sample, pooled)) = outcome else {
        if let Some(target) = gateway.registry.borrow_mut().get_mut(key) {
            target.failures.record_failure(now);
        }
        gateway.metrics.probe("failed");
        log::debug!(target_id = &*id; "probe failed");
        return;
    };
    gateway.metrics.probe("answered");
    learn(&gateway, key, sample);
    // A caller that has left no longer receives; the lease then returns to its pool.
    let _ = sender.send(ProbeResponse { key, sample, pooled });
}

fn find(gateway: &Gateway, key: RegisteredTargetKey) -> Option<(Rc<Pool>, Rc<str>)> {
    let registry = gateway.registry.borrow();
    let target = registry.get(key)?;
    Some((target.pool.clone(), target.registration.id.clone()))
}

/// Exchanges the probe on an idle connection or a new one.
///
/// A full target answers at once on a connection that it knows, but takes a new one only when a
/// slot is free. Giving that connection up would cost the target another one soon.
async fn exchange(
    gateway: &Gateway,
    key: RegisteredTargetKey,
    pool: &Rc<Pool>,
    path: &str,
) -> Option<(Answer, PooledConnection)> {
    let call = Call::new(Method::GET, path.parse().ok()?);
    let mut pooled = monoio::time::timeout(ANSWER_TIME, pool.take()).await.ok()?.ok()?;
    let is_new = pooled.is_new();
    // A response with a call's identifier is one that came late.
    let is_own = |answer: &Answer| !answer.headers.contains_key(gateway.header_names.call_id);
    let mut answering = Box::pin(pooled.connection().exchange_own(&call, is_own));
    let answer = match monoio::time::timeout(ANSWER_TIME, &mut answering).await {
        Ok(answer) => answer,
        Err(_) if is_new => {
            if let Some(target) = gateway.registry.borrow_mut().get_mut(key) {
                target.failures.record_refusal(Instant::now());
            }
            gateway.metrics.probe("late");
            monoio::time::timeout(OPENING_TIME, &mut answering).await.ok()?
        }
        Err(_) => return None,
    };
    drop(answering);
    Some((answer.ok()?, pooled))
}

/// Reads a target's answer; one of another target is none.
fn read(gateway: &Gateway, answer: &Answer, id: &str, now: Instant) -> Option<LoadSample> {
    let names = &gateway.header_names;
    if answer.header(names.target_id).is_some_and(|named| named != id) {
        return None;
    }
    let load = answer.header(names.load).and_then(Load::parse);
    Some(LoadSample { taken: now, load, healthy: answer.status.is_success() })
}
