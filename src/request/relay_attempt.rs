//! A single attempt to send a routed call to a target.

use super::attempt::AttemptResult;
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

/// Sends a call to the chosen target and records the target's health, load and durations.
///
/// Returns `None` if the target is cold and other calls have taken the tokens for it, or if the call's
/// key was moved to another workspace, which must admit the call first. The call may still go to the
/// target later.
pub async fn send(
    gateway: &Rc<Gateway>,
    routed: &mut RoutedCall,
    call: &mut Call,
    choice: Choice,
) -> Option<AttemptResult> {
    let Some(guard) = InflightGuard::acquire(gateway, choice.key) else {
        return Some(AttemptResult::NotSent(Code::NotRunNoTarget));
    };
    routed.log_choice(&choice, &guard.target_id);
    let duration_factor = choice.sample.load.map_or(1.0, |load| load.duration_factor());
    let time_left = routed.left(Instant::now());
    if time_left.is_zero() {
        return Some(AttemptResult::NotSent(Code::NotRunDeadline));
    }
    let start = Instant::now();
    let connected = monoio::select! {
        biased;
        pooled = reuse_or_reconnect(choice.pooled, time_left) => pooled,
        () = gateway.domain_closes(guard.key) => {
            return Some(AttemptResult::NotSent(Code::NotRunNoTarget));
        }
    };
    let Some(mut pooled) = connected else {
        guard.record_failure();
        routed.log_attempt(&guard.target_id, "no connection", start);
        return Some(AttemptResult::NotRun(Code::NotRunConnect));
    };
    if !gateway.is_target_eligible(guard.key) {
        // The target has left or turned calls away, or its domain was evacuated, while the call
        // waited for a connection.
        return Some(AttemptResult::NotSent(Code::NotRunNoTarget));
    }
    if !routed.may_be_sent() {
        return Some(AttemptResult::NotSent(Code::NotReadyStopping));
    }
    match routed.refresh_workspace(call) {
        // The key was taken away while the call waited for a target.
        Err(code) => return Some(AttemptResult::NotSent(code)),
        Ok(true) => return None,
        Ok(false) => {}
    }
    // Nothing is awaited between here and the write.
    let Some(permit) = gateway.take_cold_permit(guard.key, Instant::now()) else {
        gateway.count_cold_deferral();
        routed.log_attempt(&guard.target_id, "deferred", start);
        return None;
    };
    routed.set_workspace_header(call);
    let time_left = routed.left(Instant::now());
    call.set_header(gateway.header_names.expected_target, &guard.target_id);
    call.set_header(gateway.header_names.deadline, &time_left.as_millis().max(1).to_string());
    let (names, id) = (&gateway.header_names, routed.id.clone());
    // A late copy of another call's response must not decide about this call, even if it lacks the
    // identifier: a refusal would have the call run at a second target as well.
    let belongs_to_call =
        |response: &Answer| response.header(names.call_id).unwrap_or_default() == id;
    // Counted before the exchange, since a call that is cancelled during it may have been sent.
    routed.sent_attempts += 1;
    if let Some(load) = choice.sample.load {
        // Publishes the added load to other entries before the target reports it.
        let sample =
            LoadSample { taken: start, load: Some(load.with_added_call()), ..choice.sample };
        record_sample(gateway, guard.key, sample);
    }
    let asked_at = Instant::now();
    let exchange = pooled.connection().exchange_matching(call, belongs_to_call);
    let result = monoio::time::timeout(time_left, exchange).await;
    let maybe_sent = pooled.connection().maybe_sent();
    drop(pooled);
    gateway.settle_cold_permit(guard.key, permit, maybe_sent);
    let body_bytes = match &result {
        Ok(Ok(response)) => response.body.len(),
        Ok(Err(_)) | Err(_) => 0,
    };
    gateway.count_exchange(guard.key, call.body.len() + body_bytes);
    let sample = match &result {
        Ok(Ok(response)) => reported_load(gateway, response),
        Ok(Err(_)) | Err(_) => None,
    };
    if let Ok(Ok(response)) = &result {
        // A misdirected call was answered by another target at the same address.
        if response.status != StatusCode::MISDIRECTED_REQUEST {
            gateway.record_notice(guard.key, response);
            gateway.record_warmup(guard.key, response, asked_at);
        }
    }
    let attempt = match result {
        Err(_) => {
            guard.record_failure();
            AttemptResult::Unknown(Code::UnknownDeadline)
        }
        Ok(Err(ExchangeError { fault, maybe_sent })) => classify_failure(&guard, fault, maybe_sent),
        Ok(Ok(response)) => classify_response(gateway, routed, &guard, response),
    };
    if matches!(&attempt, AttemptResult::Answered(response) if response.status.is_success()) {
        gateway.durations.borrow_mut().add(&routed.route.name, start.elapsed(), duration_factor);
        gateway.response_sizes.borrow_mut().add(&routed.route.name, body_bytes as f64);
    }
    if !maybe_sent {
        routed.sent_attempts -= 1;
    }
    routed.log_attempt(&guard.target_id, outcome_text(&attempt), start);
    if let Some(sample) = sample {
        record_sample(gateway, guard.key, sample);
    }
    Some(attempt)
}

/// Returns the load that a target reported in its response, if any.
fn reported_load(gateway: &Gateway, response: &Answer) -> Option<LoadSample> {
    let load = response.header(gateway.header_names.load).and_then(Load::parse)?;
    Some(LoadSample {
        taken: Instant::now(),
        load: Some(load),
        healthy: !response.status.is_server_error(),
    })
}

/// Returns the probe's connection, or another one of the pool if the target has closed it.
async fn reuse_or_reconnect(
    pooled: PooledConnection,
    time_left: Duration,
) -> Option<PooledConnection> {
    if pooled.is_open() {
        return Some(pooled);
    }
    let pool = pooled.pool();
    drop(pooled);
    monoio::time::timeout(time_left, pool.take()).await.ok()?.ok()
}

fn classify_failure(guard: &InflightGuard, fault: Fault, maybe_sent: bool) -> AttemptResult {
    guard.record_failure();
    match (maybe_sent, fault) {
        (false, _) => AttemptResult::NotRun(Code::NotRunConnect),
        (true, Fault::Closed) => AttemptResult::Unknown(Code::UnknownConnection),
        (true, _) => AttemptResult::Unknown(Code::UnknownAnswer),
    }
}

/// Derives the result of an attempt from the target's response, and records failures and refusals.
fn classify_response(
    gateway: &Gateway,
    routed: &RoutedCall,
    guard: &InflightGuard,
    mut response: Answer,
) -> AttemptResult {
    let names = &gateway.header_names;
    if names.is_not_run(&response) {
        match response.status {
            StatusCode::MISDIRECTED_REQUEST => guard.record_failure(),
            _ => guard.record_refusal(),
        }
        return AttemptResult::NotRun(Code::NotRunRefused);
    }
    if response.status.is_success() && !is_valid_success(gateway, routed, &response) {
        guard.record_failure();
        return AttemptResult::Unknown(Code::UnknownAnswer);
    }
    if response.status.is_server_error() {
        guard.record_failure();
    }
    // These statuses would assure the caller that the call was not run, but the target has not
    // sent the header that confirms it.
    let implies_not_run = matches!(response.status.as_u16(), 408 | 421 | 429 | 503);
    if implies_not_run && !routed.route.idempotent {
        return AttemptResult::Unknown(Code::UnknownAnswer);
    }
    filter_response_headers(&mut response.headers);
    AttemptResult::Answered(response)
}

/// Whether a successful response is complete and belongs to this call: it has the seal and the
/// call's identifier, and no content encoding.
fn is_valid_success(gateway: &Gateway, routed: &RoutedCall, response: &Answer) -> bool {
    let names = &gateway.header_names;
    response.headers.contains_key(names.seal)
        && response.header(names.call_id).unwrap_or_default() == routed.id
        && !response.headers.contains_key(http::header::CONTENT_ENCODING)
}

/// The `outcome` of an attempt in the log.
fn outcome_text(attempt: &AttemptResult) -> &'static str {
    match attempt {
        AttemptResult::Answered(_) => "answered",
        AttemptResult::NotSent(code)
        | AttemptResult::NotRun(code)
        | AttemptResult::Unknown(code) => code.text(),
    }
}

/// Counts a call as in flight at a target until the value is dropped.
struct InflightGuard {
    gateway: Rc<Gateway>,
    key: RegisteredTargetKey,
    target_id: Rc<str>,
}

impl InflightGuard {
    /// Counts the call, or returns `None` if the target is no longer eligible.
    fn acquire(gateway: &Rc<Gateway>, key: RegisteredTargetKey) -> Option<Self> {
        let mut registry = gateway.registry.borrow_mut();
        let target = registry.get_mut(key).filter(|target| target.is_eligible(Instant::now()))?;
        target.inflight += 1;
        let target_id = target.registration.id.clone();
        Some(Self { gateway: gateway.clone(), key, target_id })
    }

    fn record_failure(&self) {
        if let Some(target) = self.gateway.registry.borrow_mut().get_mut(self.key) {
            target.failures.record_failure(Instant::now());
        }
    }

    fn record_refusal(&self) {
        if let Some(target) = self.gateway.registry.borrow_mut().get_mut(self.key) {
            target.failures.record_refusal(Instant::now());
        }
    }
}

impl Drop for InflightGuard {
    fn drop(&mut self) {
        if let Some(target) = self.gateway.registry.borrow_mut().get_mut(self.key) {
            target.inflight -= 1;
        }
    }
}
