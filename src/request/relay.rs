//! Answers a call along a route.

use super::attempt::Attempt;
use super::routed_call::{Ended, RoutedCall};
use crate::prelude::*;
use crate::process::gateway::registered_target::RegisteredTargetKey;
use crate::process::gateway::search::{search, Choice, SearchError, SearchStats};
use crate::process::gateway::Gateway;
use crate::request::relay_attempt::send;

/// Mean time after which a caller of an entry that is not ready should come back.
const NOT_READY_PAUSE: Duration = Duration::from_millis(300);
/// Part of a route's objective after which a refused caller should come back, on average.
const RETURN_PART: u32 = 3;

/// Answers one call.
pub async fn relay(gateway: Rc<Gateway>, call: Call) -> Answer {
    let mut routed = match RoutedCall::find(&gateway, &call, Instant::now()) {
        Ok(routed) => routed,
        Err(code) => return reject(&gateway, &call, code),
    };
    let mut answer = attempts(&gateway, &mut routed, call).await;
    if let Some(code) = answer.code() {
        mark(&gateway, &mut answer, &routed, code);
    }
    routed.end(Ended::Answered(answer.code().unwrap_or(Code::Answered), answer.status));
    answer
}

/// Refuses a call that no route takes.
fn reject(gateway: &Gateway, call: &Call, code: Code) -> Answer {
    let id = call.header(gateway.header_names.call_id).unwrap_or_default();
    let version = gateway.table().map_or(0, |table| table.version);
    log::info!(
        call = id, code = code.number(), version, host = call.header("host").unwrap_or_default(),
        path = call.uri.path();
        "call refused"
    );
    let mut answer = Answer::own(code);
    if !id.is_empty() {
        answer.set(gateway.header_names.call_id, id);
    }
    if code == Code::NotReady {
        answer.set_retry_after(gateway.jitter(NOT_READY_PAUSE));
    }
    answer
}

/// Completes an answer of the entry's own.
///
/// Every call that was not run is refused with 503, which tells the caller so; 502 and 504 make no
/// such promise.
fn mark(gateway: &Gateway, answer: &mut Answer, routed: &RoutedCall, code: Code) {
    answer.set(gateway.header_names.call_id, &routed.id);
    if code.is_not_run() {
        answer.status = StatusCode::SERVICE_UNAVAILABLE;
        answer.set_retry_after(gateway.jitter(routed.route.objective / RETURN_PART));
    }
}

/// Makes attempts until one answers or no further one is allowed.
async fn attempts(gateway: &Rc<Gateway>, routed: &mut RoutedCall, mut call: Call) -> Answer {
    gateway.retries.borrow_mut().record_call(&routed.service, routed.arrived);
    let mut tried: Vec<RegisteredTargetKey> = Vec::new();
    let mut last: Option<Answer> = None;
    loop {
        let choice = match find(gateway, routed, &tried).await {
            Ok(choice) => choice,
            Err(code) => return last.unwrap_or_else(|| Answer::own(code)),
        };
        // The first send is a call of its own; each further one is a repeat.
        let is_repeat = routed.sends > 0;
        let now = Instant::now();
        if is_repeat && !gateway.spend_retry(&routed.service, now) {
            routed.note_budget();
            return last.unwrap_or_else(|| Answer::own(Code::NotRunRefused));
        }
        tried.push(choice.key);
        let idempotent = routed.route.idempotent;
        match send(gateway, routed, &mut call, choice).await {
            Attempt::Answered(answer) if !idempotent || !answer.status.is_server_error() => {
                return answer;
            }
            Attempt::Answered(answer) => last = Some(answer),
            Attempt::Unknown(code) if !idempotent => return Answer::own(code),
            Attempt::Unknown(code) => last = Some(Answer::own(code)),
            // An earlier attempt may have run, which a refusal must not hide.
            Attempt::NotRun(code) | Attempt::NotSent(code) => {
                let has_run = last.as_ref().is_some_and(|last| !is_refusal(last));
                if !has_run {
                    last = Some(Answer::own(code));
                }
            }
        }
        if routed.sends >= routed.route.max_attempts || routed.deadline.has_passed(Instant::now()) {
            return last.unwrap_or_else(|| Answer::own(Code::NotRunDeadline));
        }
    }
}

fn is_refusal(answer: &Answer) -> bool {
    answer.code().is_some_and(Code::is_not_run)
}

async fn find(
    gateway: &Rc<Gateway>,
    routed: &mut RoutedCall,
    tried: &[RegisteredTargetKey],
) -> Result<Choice, Code> {
    let mut stats = SearchStats::default();
    let code = match search(gateway, routed, tried, &mut stats).await {
        Ok(choice) => return Ok(choice),
        Err(SearchError::Full) => Code::NotRunQueueFull,
        Err(SearchError::NoTarget) => Code::NotRunNoTarget,
        Err(SearchError::Silent) => Code::NotRunConnect,
        Err(SearchError::Expired) => Code::NotRunDeadline,
    };
    routed.note_search(code, tried.len(), stats);
    Err(code)
}
