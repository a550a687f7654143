//! A single attempt to run a call on a target.

use super::header;
use super::resolved_call::ResolvedCall;
use crate::connection::fault::{ExchangeError, Fault};
use crate::connection::header_filter::filter_response_headers;
use crate::prelude::*;
use crate::process::entry::Entry;
use crate::process::outcome::{Outcome, TargetFeedback};
use crate::process::permit::{self, Permit};
use crate::process::service::RouteRequest;
use crate::process::target::{LoadReport, TargetKey};

/// Result of one attempt.
pub enum AttemptResult {
    /// The target sent a response.
    Answered(Answer),
    /// The call was not sent, for a reason that another attempt would not change.
    NotSent(Code),
    /// The call was not run: the target could not be reached, or refused the call.
    NotRun(Code),
    /// The outcome is unknown: the call may have run.
    Unknown(Code),
}

/// Waits until the scheduler assigns a target, adds the target to `tried` and sends the call to it.
pub async fn attempt(
    entry: &Entry,
    resolved: &ResolvedCall,
    call: &mut Call,
    tried: &mut Vec<TargetKey>,
) -> AttemptResult {
    let service = entry.scheduler.borrow().service_id(&resolved.service().name);
    let Some(service) = service else { return AttemptResult::NotSent(Code::NotRunNoTarget) };
    let request = RouteRequest {
        service,
        flow: resolved.flow,
        weight: f64::from(resolved.workspace().weight.max(1)),
        shape: resolved.shape,
        declared: resolved.class().length,
        deadline: resolved.deadline,
        avoid: tried.clone(),
    };
    let wait_start = Instant::now();
    let acquired = monoio::select! {
        biased;
        () = entry.shutdown.refuses(resolved.deadline) => Err(Code::NotReadyStopping),
        acquired = permit::acquire(&entry.scheduler, request) => acquired,
    };
    let (workspace, class) = (&resolved.workspace().name, &resolved.class().name);
    entry.metrics.record_wait(workspace, class, wait_start.elapsed());
    let permit = match acquired {
        Ok(permit) => permit,
        Err(code) => return AttemptResult::NotSent(code),
    };
    tried.push(permit.target());
    send(entry, resolved, call, permit).await
}

async fn send(
    entry: &Entry,
    resolved: &ResolvedCall,
    call: &mut Call,
    permit: Permit,
) -> AttemptResult {
    let Some(pool) = entry.scheduler.borrow().pool(permit.target()) else {
        return AttemptResult::NotSent(Code::NotRunNoTarget);
    };
    let time_left = resolved.deadline.left(Instant::now());
    let mut pooled = match monoio::time::timeout(time_left, pool.take()).await {
        Ok(Ok(pooled)) => pooled,
        Ok(Err(_)) => {
            permit.end(Outcome::Failed(TargetFeedback::default()));
            return AttemptResult::NotRun(Code::NotRunConnect);
        }
        Err(_) => {
            permit.end(Outcome::Expired);
            return AttemptResult::NotSent(Code::NotRunDeadline);
        }
    };
    let time_left = resolved.deadline.left(Instant::now());
    // The deadline can have passed while the process was paused. A claim must not be used after
    // its call's deadline.
    if time_left.is_zero() {
        drop(pooled);
        permit.end(Outcome::Expired);
        return AttemptResult::NotSent(Code::NotRunDeadline);
    }
    if !entry.shutdown.may_send(resolved.deadline, permit.expected()) {
        drop(pooled);
        permit.end(Outcome::Expired);
        return AttemptResult::NotSent(Code::NotReadyStopping);
    }
    call.set_header(header::DEADLINE, &time_left.as_millis().to_string());
    let send_start = Instant::now();
    let result = monoio::time::timeout(time_left, pooled.connection().exchange(call)).await;
    let (workspace, class) = (&resolved.workspace().name, &resolved.class().name);
    entry.metrics.record_service(workspace, class, send_start.elapsed());
    let maybe_sent = pooled.connection().maybe_sent();
    // Returns the connection to its pool before the permit frees the target's slot, so that the
    // next call in the slot can reuse it.
    drop(pooled);
    match result {
        Err(_) => {
            permit.end(Outcome::Expired);
            match maybe_sent {
                true => AttemptResult::Unknown(Code::UnknownDeadline),
                false => AttemptResult::NotSent(Code::NotRunDeadline),
            }
        }
        Ok(Err(error)) => {
            permit.end(Outcome::Failed(TargetFeedback::default()));
            match error {
                ExchangeError { maybe_sent: false, .. } => {
                    AttemptResult::NotRun(Code::NotRunConnect)
                }
                ExchangeError { fault: Fault::Closed, .. } => {
                    AttemptResult::Unknown(Code::UnknownConnection)
                }
                ExchangeError { .. } => AttemptResult::Unknown(Code::UnknownAnswer),
            }
        }
        Ok(Ok(response)) => classify_response(response, permit),
    }
}

/// Ends the permit with the outcome that the response shows.
fn classify_response(mut response: Answer, permit: Permit) -> AttemptResult {
    let feedback = TargetFeedback {
        report: response.header(header::LOAD).and_then(LoadReport::parse),
        draining: response.header(header::DRAINING) == Some("1")
            || response.header(header::REFUSED) == Some("draining"),
        duration_valid: response.status.is_success(),
    };
    let is_refused = response.status == StatusCode::SERVICE_UNAVAILABLE
        && response.header(header::REFUSED).is_some();
    if is_refused {
        permit.end(Outcome::Refused(feedback));
        return AttemptResult::NotRun(Code::NotRunRefused);
    }
    permit.end(match response.status.is_server_error() {
        true => Outcome::Failed(feedback),
        false => Outcome::Answered(feedback),
    });
    filter_response_headers(&mut response.headers);
    AttemptResult::Answered(response)
}
