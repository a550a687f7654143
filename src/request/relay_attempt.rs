//! One attempt of a relayed call.

use super::attempt::Attempt;
use super::routed_call::RoutedCall;
use crate::connection::fault::{ExchangeError, Fault};
use crate::connection::header_filter::filter_response_headers;
use crate::prelude::*;
use crate::process::gateway::load_sample::{Load, LoadSample};
use crate::process::gateway::probing::record_sample;
use crate::process::gateway::registered_target::RegisteredTargetKey;
use crate::process::gateway::search::Choice;
use crate::process::gateway::Gateway;
use crate::process::pool::PooledConnection;

/// Sends a call to the chosen target.
pub async fn send(
    gateway: &Rc<Gateway>,
    routed: &mut RoutedCall,
    call: &mut Call,
    choice: Choice,
) -> Attempt {
    let Some(place) = Place::take(gateway, choice.key) else {
        return Attempt::NotSent(Code::NotRunNoTarget);
    };
    routed.note_choice(&choice, &place.id);
    let stretch = choice.sample.load.map_or(1.0, |load| load.duration_factor());
    let left = routed.deadline.left(Instant::now());
    if left.is_zero() {
        return Attempt::NotSent(Code::NotRunDeadline);
    }
    let start = Instant::now();
    let Some(mut pooled) = usable(choice.pooled, left).await else {
        place.fail();
        routed.note_attempt(&place.id, "no connection", start);
        return Attempt::NotRun(Code::NotRunConnect);
    };
    let left = routed.deadline.left(Instant::now());
    call.set(gateway.header_names.expected, &place.id);
    call.set(gateway.header_names.deadline, &left.as_millis().max(1).to_string());
    let (names, id) = (&gateway.header_names, routed.id.clone());
    let is_own = |answer: &Answer| answer.header(names.call_id).is_none_or(|named| named == id);
    routed.sends += 1;
    if let Some(load) = choice.sample.load {
        // Others know of the call before the target tells it.
        let sample =
            LoadSample { taken: start, load: Some(load.with_added_call()), ..choice.sample };
        record_sample(gateway, place.key, sample);
    }
    let exchange = pooled.connection().exchange_matching(call, is_own);
    let result = monoio::time::timeout(left, exchange).await;
    let has_sent = pooled.connection().maybe_sent();
    drop(pooled);
    let sample = match &result {
        Ok(Ok(answer)) => told(gateway, answer),
        Ok(Err(_)) | Err(_) => None,
    };
    let attempt = match result {
        Err(_) => {
            place.fail();
            Attempt::Unknown(Code::UnknownDeadline)
        }
        Ok(Err(ExchangeError { fault, maybe_sent })) => lost(&place, fault, maybe_sent),
        Ok(Ok(answer)) => judge(gateway, routed, &place, answer),
    };
    if matches!(&attempt, Attempt::Answered(answer) if answer.status.is_success()) {
        gateway.durations.borrow_mut().add(&routed.route.name, start.elapsed(), stretch);
    }
    if !has_sent {
        routed.sends -= 1;
    }
    routed.note_attempt(&place.id, outcome(&attempt), start);
    if let Some(sample) = sample {
        record_sample(gateway, place.key, sample);
    }
    attempt
}

/// The load that a target told with its answer.
fn told(gateway: &Gateway, answer: &Answer) -> Option<LoadSample> {
    let load = answer.header(gateway.header_names.load).and_then(Load::parse)?;
    Some(LoadSample {
        taken: Instant::now(),
        load: Some(load),
        healthy: !answer.status.is_server_error(),
    })
}

/// The connection of the probe, or another one if the target has ended that one.
async fn usable(pooled: PooledConnection, left: Duration) -> Option<PooledConnection> {
    if pooled.is_open() {
        return Some(pooled);
    }
    let pool = pooled.pool();
    drop(pooled);
    monoio::time::timeout(left, pool.take()).await.ok()?.ok()
}

fn lost(place: &Place, fault: Fault, sent: bool) -> Attempt {
    place.fail();
    match (sent, fault) {
        (false, _) => Attempt::NotRun(Code::NotRunConnect),
        (true, Fault::Closed) => Attempt::Unknown(Code::UnknownConnection),
        (true, _) => Attempt::Unknown(Code::UnknownAnswer),
    }
}

/// Reads a target's answer.
fn judge(gateway: &Gateway, routed: &RoutedCall, place: &Place, mut answer: Answer) -> Attempt {
    let names = &gateway.header_names;
    if names.is_not_run(&answer) {
        match answer.status {
            StatusCode::MISDIRECTED_REQUEST => place.fail(),
            _ => place.refuse(),
        }
        return Attempt::NotRun(Code::NotRunRefused);
    }
    if answer.status.is_success() && !is_whole(gateway, routed, &answer) {
        place.fail();
        return Attempt::Unknown(Code::UnknownAnswer);
    }
    if answer.status.is_server_error() {
        place.fail();
    }
    // The status would promise that the call was not run, which the target has not said.
    let promises = matches!(answer.status.as_u16(), 408 | 421 | 429 | 503);
    if promises && !routed.route.idempotent {
        return Attempt::Unknown(Code::UnknownAnswer);
    }
    filter_response_headers(&mut answer.headers);
    Attempt::Answered(answer)
}

/// Whether a success is the target's response to this call.
fn is_whole(gateway: &Gateway, routed: &RoutedCall, answer: &Answer) -> bool {
    let names = &gateway.header_names;
    answer.headers.contains_key(names.seal)
        && answer.header(names.call_id).unwrap_or_default() == routed.id
        && !answer.headers.contains_key(http::header::CONTENT_ENCODING)
}

fn outcome(attempt: &Attempt) -> &'static str {
    match attempt {
        Attempt::Answered(_) => "answered",
        Attempt::NotSent(code) | Attempt::NotRun(code) | Attempt::Unknown(code) => code.text(),
    }
}

/// A call's place at a target until the value is dropped.
struct Place {
    gateway: Rc<Gateway>,
    key: RegisteredTargetKey,
    id: Rc<str>,
}

impl Place {
    fn take(gateway: &Rc<Gateway>, key: RegisteredTargetKey) -> Option<Self> {
        let mut registry = gateway.registry.borrow_mut();
        let target = registry.get_mut(key).filter(|target| target.is_eligible(Instant::now()))?;
        target.inflight += 1;
        let id = target.registration.id.clone();
        Some(Self { gateway: gateway.clone(), key, id })
    }

    fn fail(&self) {
        if let Some(target) = self.gateway.registry.borrow_mut().get_mut(self.key) {
            target.failures.fail(Instant::now());
        }
    }

    fn refuse(&self) {
        if let Some(target) = self.gateway.registry.borrow_mut().get_mut(self.key) {
            target.failures.refuse(Instant::now());
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if let Some(target) = self.gateway.registry.borrow_mut().get_mut(self.key) {
            target.inflight -= 1;
        }
    }
}
