//! Answers a call.

use super::header;
use super::keyed;
use super::matched::Matched;
use super::retry;
use crate::prelude::*;
use crate::process::entry::Entry;
use crate::process::recorder::CompletedCall;

/// Answers one call.
pub async fn dispatch(entry: &Entry, mut call: Call) -> Answer {
    let start = Instant::now();
    let matched = match Matched::find(entry, &call, start) {
        Ok(matched) => matched,
        Err(code) => return Answer::own(code),
    };
    let id = entry.next_call_id();
    call.set(header::CALL_ID, &id);
    let recorded = entry.recorder.is_active(start).then(|| call.clone());
    let answer = answer(entry, &matched, call).await;
    if let Some(call) = recorded {
        record(entry, &matched, &call, start);
    }
    let code = answer.code().unwrap_or(Code::Answered);
    let (workspace, class) = (&matched.workspace().name, &matched.class().name);
    entry.metrics.record_call(workspace, class, code, start.elapsed());
    log::debug!(
        call = id.as_str(), workspace = workspace.as_str(), class = class.as_str(),
        code = code.number(), micros = start.elapsed().as_micros() as u64;
        "call ended"
    );
    answer
}

/// The call is matched, and no byte of it has been sent.
async fn answer(entry: &Entry, matched: &Matched, call: Call) -> Answer {
    let claim = keyed::claim(matched, &call);
    keyed::run(entry, claim, retry::run(entry, matched, call)).await
}

fn record(entry: &Entry, matched: &Matched, call: &Call, arrived: Instant) {
    let recorded = CompletedCall {
        call,
        workspace: &matched.workspace().name,
        service: &matched.service().name,
        class: &matched.class().name,
        key: call.header(header::IDEMPOTENCY_KEY),
        arrived,
    };
    entry.recorder.add(&recorded, Instant::now());
}
