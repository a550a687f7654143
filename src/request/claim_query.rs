//! Duplicates of a call whose first one another entry runs.

use crate::prelude::*;
use crate::process::claims::admit::Request;
use crate::process::claims::lookup::Lookup;
use crate::process::claims::Claims;
use crate::process::entry::Entry;
use crate::process::peers::message::{ClaimQuery, ClaimReply};

/// Shortest and longest pause between two questions about a call that still runs.
const MIN_PAUSE: Duration = Duration::from_millis(5);
const MAX_PAUSE: Duration = Duration::from_millis(100);

/// Longest wait for the holder's reply to one question.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// Asks the holder of a claim for its response until the deadline. A holder that does not reply
/// leaves the caller with what the log tells.
pub async fn ask(entry: &Entry, request: &Request) -> Answer {
    let query = ClaimQuery { key: request.key, digest: request.digest };
    let mut pause = MIN_PAUSE;
    while let Some(holder) = entry.claims.other_holder(&request.key) {
        let wait = request.deadline.left(Instant::now()).min(ASK_TIMEOUT);
        match entry.peers.ask_claim(&holder.name, query, wait).await {
            Some(ClaimReply::Done { code, answer }) => return passed_on(code, answer),
            Some(ClaimReply::Running) => {}
            Some(ClaimReply::Released | ClaimReply::Unknown) | None => break,
        }
        if pause >= request.deadline.left(Instant::now()) {
            break;
        }
        monoio::time::sleep(pause).await;
        pause = (pause * 2).min(MAX_PAUSE);
    }
    entry.claims.answer_duplicate(&request.key, request.digest)
}

/// What this entry, as the holder, tells a peer that asks.
pub fn reply(claims: &Claims, query: &ClaimQuery) -> ClaimReply {
    match claims.lookup(&query.key, query.digest) {
        Lookup::Kept(answer) => match answer.code() {
            Some(code) => ClaimReply::Done { code, answer },
            None => ClaimReply::Unknown,
        },
        Lookup::Running(Some(_)) => ClaimReply::Running,
        Lookup::Free => ClaimReply::Released,
        Lookup::Ended(_)
        | Lookup::Gone
        | Lookup::Held(_)
        | Lookup::Mismatch
        | Lookup::Running(None) => ClaimReply::Unknown,
    }
}

fn passed_on(code: Code, mut answer: Answer) -> Answer {
    answer.set_code(code);
    answer
}
