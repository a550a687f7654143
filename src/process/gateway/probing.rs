//! Asks targets for their load directly before a call is sent.

use local_sync::mpsc::unbounded::{self, Tx};

use super::choice::{cost, to_ask, Candidate};
use super::member::MemberKey;
use super::reading::{Load, Reading};
use super::Gateway;
use crate::prelude::*;
use crate::process::pool::{Lease, Pool};
use crate::request::deadline::Deadline;

/// Wait for further answers once a usable one has come.
const PATIENCE: Duration = Duration::from_millis(10);
/// Longest wait for a target's answer.
const ANSWER_TIME: Duration = Duration::from_millis(60);
/// Rounds of questions for one call.
const ROUNDS: u32 = 3;
/// Cost at which no better target is looked for.
const GOOD_COST: f64 = 1.25;

/// A target that was chosen, with the connection on which it has just answered.
///
/// A connection that has carried an answer a moment ago is neither forgotten by the target nor
/// blocked on the way, so that a call which may not be repeated is not lost on it.
pub struct Choice {
    pub key: MemberKey,
    pub lease: Lease,
    pub reading: Reading,
    /// Targets that were asked, and those that answered.
    pub asked: usize,
    pub heard: usize,
}

/// Why no target was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Miss {
    /// All targets that answered are full.
    Full,
    /// No target is registered that may get the call.
    NoTarget,
    /// No target answered.
    Silent,
    /// The deadline has passed.
    Expired,
}

struct Heard {
    key: MemberKey,
    reading: Reading,
    lease: Lease,
}

/// Finds a target of a service that is not among `tried`.
pub async fn search(
    gateway: &Rc<Gateway>,
    service: &str,
    probe_path: &str,
    tried: &[MemberKey],
    deadline: Deadline,
) -> Result<Choice, Miss> {
    let mut passed = tried.to_vec();
    let mut miss = Miss::NoTarget;
    for _ in 0..ROUNDS {
        let keys = candidates(gateway, service, &passed);
        if keys.is_empty() {
            return Err(miss);
        }
        let left = deadline.left(Instant::now());
        if left.is_zero() {
            return Err(Miss::Expired);
        }
        miss = match ask(gateway, &keys, probe_path, left).await {
            Ok(choice) => return Ok(choice),
            Err(miss) => miss,
        };
        passed.extend(keys);
    }
    Err(miss)
}

fn candidates(gateway: &Gateway, service: &str, passed: &[MemberKey]) -> Vec<MemberKey> {
    let now = Instant::now();
    let (roster, settings) = (gateway.roster.borrow(), gateway.settings.borrow());
    let members = roster
        .service(service)
        .filter(|(key, member)| member.is_eligible(now) && !passed.contains(key));
    let candidates = members
        .map(|(key, member)| Candidate::new(key, member, &settings.name, &settings.domain, now));
    to_ask(candidates.collect(), &mut *gateway.rng.borrow_mut())
}

/// Asks targets and takes the best of those that answer in time.
async fn ask(
    gateway: &Rc<Gateway>,
    keys: &[MemberKey],
    path: &str,
    left: Duration,
) -> Result<Choice, Miss> {
    let (sender, mut receiver) = unbounded::channel();
    for key in keys {
        gateway.probes.spawn(probe(gateway.clone(), *key, path.to_owned(), sender.clone()));
    }
    drop(sender);
    let start = Instant::now();
    let limit = ANSWER_TIME.min(left);
    let mut best: Option<(f64, Heard)> = None;
    let mut heard = 0;
    loop {
        let wait = if best.is_some() { PATIENCE } else { limit };
        let wait = wait.saturating_sub(start.elapsed());
        let Ok(Some(answer)) = monoio::time::timeout(wait, receiver.recv()).await else { break };
        heard += 1;
        let Some(cost) = judge(gateway, &answer) else { continue };
        if best.as_ref().is_none_or(|(lowest, _)| cost < *lowest) {
            best = Some((cost, answer));
        }
        if cost <= GOOD_COST {
            break;
        }
    }
    match best {
        Some((_, Heard { key, reading, lease })) => {
            Ok(Choice { key, lease, reading, asked: keys.len(), heard })
        }
        None if heard > 0 => Err(Miss::Full),
        None => Err(Miss::Silent),
    }
}

/// The cost of a target that may be used.
fn judge(gateway: &Gateway, heard: &Heard) -> Option<f64> {
    if heard.reading.load.is_some_and(|load| load.is_full()) {
        return None;
    }
    let now = Instant::now();
    let roster = gateway.roster.borrow();
    let member = roster.get(heard.key).filter(|member| member.is_eligible(now))?;
    Some(cost(member, &heard.reading, &gateway.settings.borrow().domain, now))
}

/// Asks one target; the connection is kept even if nobody waits for the answer any more.
async fn probe(gateway: Rc<Gateway>, key: MemberKey, path: String, sender: Tx<Heard>) {
    let Some((pool, id)) = find(&gateway, key) else { return };
    let asked = monoio::time::timeout(ANSWER_TIME, exchange(&gateway, &pool, &path)).await;
    let now = Instant::now();
    let outcome = match asked {
        Ok(Some((answer, lease))) => {
            read(&gateway, &answer, &id, now).map(|reading| (reading, lease))
        }
        Ok(None) | Err(_) => None,
    };
    let mut roster = gateway.roster.borrow_mut();
    let Some(member) = roster.get_mut(key) else { return };
    let Some((reading, lease)) = outcome else {
        member.trouble.fail(now);
        gateway.metrics.probe("failed");
        log::debug!(target_id = &*id; "probe failed");
        return;
    };
    member.reading = Some(reading);
    gateway.metrics.probe("answered");
    drop(roster);
    // A caller that has left no longer receives; the lease then returns to its pool.
    let _ = sender.send(Heard { key, reading, lease });
}

fn find(gateway: &Gateway, key: MemberKey) -> Option<(Rc<Pool>, Rc<str>)> {
    let roster = gateway.roster.borrow();
    let member = roster.get(key)?;
    Some((member.pool.clone(), member.registration.id.clone()))
}

async fn exchange(gateway: &Gateway, pool: &Rc<Pool>, path: &str) -> Option<(Answer, Lease)> {
    let call = Call::new(Method::GET, path.parse().ok()?);
    let mut lease = pool.take().await.ok()?;
    // A response with a call's identifier is one that came late.
    let is_own = |answer: &Answer| !answer.headers.contains_key(gateway.naming.call_id);
    let answer = lease.connection().exchange_own(&call, is_own).await.ok()?;
    Some((answer, lease))
}

/// Reads a target's answer; one of another target is none.
fn read(gateway: &Gateway, answer: &Answer, id: &str, now: Instant) -> Option<Reading> {
    let names = &gateway.naming;
    if answer.header(names.target_id).is_some_and(|named| named != id) {
        return None;
    }
    let load = answer.header(names.load).and_then(Load::parse);
    Some(Reading { taken: now, load, healthy: answer.status.is_success() })
}
