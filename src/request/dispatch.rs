//! Handles a caller's request whose service and targets come from the configuration document:
//! resolves, runs and records it.

use super::header;
use super::idempotency_key;
use super::resolved_call::ResolvedCall;
use super::retry;
use crate::prelude::*;
use crate::process::entry::Entry;
use crate::process::recorder::RecordedCall;

/// Resolves a call, runs it, and logs and counts its result. A call that cannot be resolved gets
/// neither an identifier nor a log record.
pub async fn dispatch(entry: &Entry, mut call: Call) -> Answer {
    let arrived = Instant::now();
    let resolved = match ResolvedCall::resolve(entry, &call, arrived) {
        Ok(resolved) => resolved,
        Err(code) => return Answer::own(code),
    };
    let id = entry.next_call_id();
    call.set_header(header::CALL_ID, &id);
    let recorded_call = entry.recorder.is_active(arrived).then(|| call.clone());
    let response = claim_and_attempt(entry, &resolved, call).await;
    if let Some(call) = recorded_call {
        add_to_trace(entry, &resolved, &call, arrived);
    }
    // A target's response got its code in `retry::run`.
    let code = response.code().unwrap_or(Code::Answered);
    let (workspace, class) = (&resolved.workspace().name, &resolved.class().name);
    entry.metrics.record_call(workspace, class, code, arrived.elapsed());
    log::debug!(
        call = id.as_str(), workspace = workspace.as_str(), class = class.as_str(),
        code = code.number(), micros = arrived.elapsed().as_micros() as u64;
        "call ended"
    );
    response
}

/// Claims the idempotency key if the call's class is not idempotent, and then makes the attempts.
async fn claim_and_attempt(entry: &Entry, resolved: &ResolvedCall, call: Call) -> Answer {
    let requirement = idempotency_key::claim_requirement(resolved, &call);
    idempotency_key::with_claim(entry, requirement, retry::run(entry, resolved, call)).await
}

fn add_to_trace(entry: &Entry, resolved: &ResolvedCall, call: &Call, arrived: Instant) {
    let recorded = RecordedCall {
        call,
        workspace: &resolved.workspace().name,
        service: &resolved.service().name,
        class: &resolved.class().name,
        key: call.header(header::IDEMPOTENCY_KEY),
        arrived,
    };
    entry.recorder.add(&recorded, Instant::now());
}
