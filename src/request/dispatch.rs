//! Handles calls whose services and targets come from the configuration document.

use super::header;
use super::idempotency_key;
use super::resolved_call::ResolvedCall;
use super::retry;
use crate::prelude::*;
use crate::process::entry::Entry;
use crate::process::recorder::CompletedCall;

/// Resolves a call, runs it, and logs and counts its result. A call that cannot be resolved gets
/// neither an identifier nor a log record.
pub async fn dispatch(entry: &Entry, mut call: Call) -> Answer {
    let start = Instant::now();
    let resolved = match ResolvedCall::resolve(entry, &call, start) {
        Ok(resolved) => resolved,
        Err(code) => return Answer::own(code),
    };
    let id = entry.next_call_id();
    call.set(header::CALL_ID, &id);
    let traced = entry.recorder.is_active(start).then(|| call.clone());
    let response = run(entry, &resolved, call).await;
    if let Some(call) = traced {
        add_to_trace(entry, &resolved, &call, start);
    }
    let code = response.code().unwrap_or(Code::Answered);
    let (workspace, class) = (&resolved.workspace().name, &resolved.class().name);
    entry.metrics.record_call(workspace, class, code, start.elapsed());
    log::debug!(
        call = id.as_str(), workspace = workspace.as_str(), class = class.as_str(),
        code = code.number(), micros = start.elapsed().as_micros() as u64;
        "call ended"
    );
    response
}

/// Claims the call's idempotency key, if the call needs it, and then makes the attempts.
async fn run(entry: &Entry, resolved: &ResolvedCall, call: Call) -> Answer {
    let requirement = idempotency_key::claim_requirement(resolved, &call);
    idempotency_key::run(entry, requirement, retry::run(entry, resolved, call)).await
}

fn add_to_trace(entry: &Entry, resolved: &ResolvedCall, call: &Call, arrived: Instant) {
    let completed = CompletedCall {
        call,
        workspace: &resolved.workspace().name,
        service: &resolved.service().name,
        class: &resolved.class().name,
        key: call.header(header::IDEMPOTENCY_KEY),
        arrived,
    };
    entry.recorder.add(&completed, Instant::now());
}
