//! Retries of a call within the attempt limit, the deadline and the workspace's retry budget.

use rand::Rng;

use super::attempt::{attempt, AttemptResult};
use super::header;
use super::resolved_call::ResolvedCall;
use crate::prelude::*;
use crate::process::entry::Entry;

/// Maximum number of attempts per call.
const MAX_ATTEMPTS: u32 = 3;
/// Upper limit of the random delay before a retry.
const MAX_BACKOFF: Duration = Duration::from_millis(50);
/// Half of the bound of the delay before the first retry; the bound doubles with each retry.
const BACKOFF_BASE: Duration = Duration::from_millis(2);

/// The response to the caller if no further attempt is made.
struct FallbackResponse {
    response: Answer,
    /// An attempt may have run, so the result may no longer be a "not run" code.
    may_have_run: bool,
}

impl FallbackResponse {
    fn new() -> Self {
        Self { response: Answer::own(Code::NotRunNoTarget), may_have_run: false }
    }

    fn record_response(&mut self, response: Answer) {
        self.response = response;
        self.may_have_run = true;
    }

    /// Records a failed attempt, without replacing a response or an unknown outcome by "not run".
    fn record_failure(&mut self, code: Code) {
        if code.is_unknown() || !self.may_have_run {
            self.response = Answer::own(code);
        }
        self.may_have_run |= code.is_unknown();
    }
}

/// Makes attempts until one succeeds or no further one is allowed. A call that the caller itself
/// retries, with an attempt number above 1, gets one attempt.
pub async fn run(entry: &Entry, resolved: &ResolvedCall, mut call: Call) -> Answer {
    call.set_header(header::CLASS, &resolved.class().name);
    entry
        .scheduler
        .borrow_mut()
        .retry_budget(resolved.flow)
        .earn(resolved.workspace().retry_percent);
    let (mut tried, mut fallback) = (Vec::new(), FallbackResponse::new());
    let max_attempts = max_attempts(resolved, &call);
    let mut number = resolved.attempt;
    loop {
        call.set_header(header::ATTEMPT, &number.to_string());
        match attempt(entry, resolved, &mut call, &mut tried).await {
            AttemptResult::Answered(mut response) => {
                response.set_code(Code::Answered);
                response.set_header(header::ATTEMPT, &number.to_string());
                if !resolved.class().idempotent || !is_transient(response.status) {
                    return response;
                }
                fallback.record_response(response);
            }
            // The result of an earlier attempt takes precedence over a refusal by this entry.
            AttemptResult::NotSent(_) if number > resolved.attempt => return fallback.response,
            AttemptResult::NotSent(code) => return Answer::own(code),
            AttemptResult::Unknown(code) => {
                fallback.record_failure(code);
                if !resolved.class().idempotent {
                    return fallback.response;
                }
            }
            AttemptResult::NotRun(code) => fallback.record_failure(code),
        }
        let backoff = random_backoff(number);
        if number >= max_attempts || resolved.attempt > 1 || backoff >= time_left(resolved) {
            return fallback.response;
        }
        if !entry.scheduler.borrow_mut().retry_budget(resolved.flow).spend() {
            entry.metrics.count("cornellink_retries_refused_total");
            return fallback.response;
        }
        entry.metrics.count("cornellink_retries_total");
        monoio::time::sleep(backoff).await;
        number += 1;
    }
}

/// Returns the maximum number of attempts. A non-idempotent call gets one unless it has an
/// idempotency key.
fn max_attempts(resolved: &ResolvedCall, call: &Call) -> u32 {
    let has_key = call.headers.contains_key(header::IDEMPOTENCY_KEY);
    if resolved.class().idempotent || has_key {
        MAX_ATTEMPTS
    } else {
        1
    }
}

/// Whether another target may respond with a different status.
fn is_transient(status: StatusCode) -> bool {
    matches!(status.as_u16(), 500 | 502..=504)
}

fn time_left(resolved: &ResolvedCall) -> Duration {
    resolved.deadline.left(Instant::now())
}

/// Returns a random delay between zero and a bound that doubles with each attempt.
fn random_backoff(attempt: u32) -> Duration {
    let bound = (BACKOFF_BASE * 2u32.saturating_pow(attempt)).min(MAX_BACKOFF);
    bound.mul_f64(rand::rng().random())
}
