//! One attempt of a call.

use super::header;
use super::matched::Matched;
use crate::connection::fault::{ExchangeError, Fault};
use crate::connection::header_filter::filter_response_headers;
use crate::prelude::*;
use crate::process::entry::Entry;
use crate::process::outcome::{Outcome, TargetFeedback};
use crate::process::permit::{self, Permit};
use crate::process::service::RouteRequest;
use crate::process::target::{LoadReport, TargetKey};

/// How one attempt ended.
pub enum Attempt {
    /// A target answered.
    Answered(Answer),
    /// The call was not sent to any target, and further attempts would fare alike.
    NotSent(Code),
    /// A target could not be reached, or refused the call without running it.
    NotRun(Code),
    /// The call may have run.
    Unknown(Code),
}

/// Waits for a target and sends the call to it; the target is added to `tried`.
pub async fn attempt(
    entry: &Entry,
    matched: &Matched,
    call: &mut Call,
    tried: &mut Vec<TargetKey>,
) -> Attempt {
    let service = entry.scheduler.borrow().service_id(&matched.service().name);
    let Some(service) = service else { return Attempt::NotSent(Code::NotRunNoTarget) };
    let request = RouteRequest {
        service,
        flow: matched.flow,
        weight: f64::from(matched.workspace().weight.max(1)),
        shape: matched.shape,
        declared: matched.class().length,
        deadline: matched.deadline,
        avoid: tried.clone(),
    };
    let asked = Instant::now();
    let acquired = permit::acquire(&entry.scheduler, request).await;
    let (workspace, class) = (&matched.workspace().name, &matched.class().name);
    entry.metrics.record_wait(workspace, class, asked.elapsed());
    let grant = match acquired {
        Ok(grant) => grant,
        Err(code) => return Attempt::NotSent(code),
    };
    tried.push(grant.target());
    send(entry, matched, call, grant).await
}

async fn send(entry: &Entry, matched: &Matched, call: &mut Call, grant: Permit) -> Attempt {
    let Some(pool) = entry.scheduler.borrow().pool(grant.target()) else {
        return Attempt::NotSent(Code::NotRunNoTarget);
    };
    let left = matched.deadline.left(Instant::now());
    let mut pooled = match monoio::time::timeout(left, pool.take()).await {
        Ok(Ok(pooled)) => pooled,
        Ok(Err(_)) => {
            grant.end(Outcome::Failed(TargetFeedback::default()));
            return Attempt::NotRun(Code::NotRunConnect);
        }
        Err(_) => {
            grant.end(Outcome::Expired);
            return Attempt::NotSent(Code::NotRunDeadline);
        }
    };
    let left = matched.deadline.left(Instant::now());
    // A pause of the process can have used up the deadline; a claim may not be used after it.
    if left.is_zero() {
        drop(pooled);
        grant.end(Outcome::Expired);
        return Attempt::NotSent(Code::NotRunDeadline);
    }
    call.set(header::DEADLINE, &left.as_millis().to_string());
    let started = Instant::now();
    let result = monoio::time::timeout(left, pooled.connection().exchange(call)).await;
    let (workspace, class) = (&matched.workspace().name, &matched.class().name);
    entry.metrics.record_service(workspace, class, started.elapsed());
    let has_sent = pooled.connection().maybe_sent();
    // The connection goes back to its pool before the place at the target is free, so that the
    // next call finds it.
    drop(pooled);
    match result {
        Err(_) => {
            grant.end(Outcome::Expired);
            match has_sent {
                true => Attempt::Unknown(Code::UnknownDeadline),
                false => Attempt::NotSent(Code::NotRunDeadline),
            }
        }
        Ok(Err(lost)) => {
            grant.end(Outcome::Failed(TargetFeedback::default()));
            match lost {
                ExchangeError { maybe_sent: false, .. } => Attempt::NotRun(Code::NotRunConnect),
                ExchangeError { fault: Fault::Closed, .. } => {
                    Attempt::Unknown(Code::UnknownConnection)
                }
                ExchangeError { .. } => Attempt::Unknown(Code::UnknownAnswer),
            }
        }
        Ok(Ok(answer)) => judge(answer, grant),
    }
}

fn judge(mut answer: Answer, grant: Permit) -> Attempt {
    let signs = TargetFeedback {
        report: answer.header(header::LOAD).and_then(LoadReport::parse),
        draining: answer.header(header::DRAINING) == Some("1")
            || answer.header(header::REFUSED) == Some("draining"),
        duration_valid: answer.status.is_success(),
    };
    let is_refused = answer.status == StatusCode::SERVICE_UNAVAILABLE
        && answer.header(header::REFUSED).is_some();
    if is_refused {
        grant.end(Outcome::Refused(signs));
        return Attempt::NotRun(Code::NotRunRefused);
    }
    grant.end(match answer.status.is_server_error() {
        true => Outcome::Failed(signs),
        false => Outcome::Answered(signs),
    });
    filter_response_headers(&mut answer.headers);
    Attempt::Answered(answer)
}
