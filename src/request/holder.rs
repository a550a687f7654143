//! Duplicates of a call whose first one another entry runs.

use super::header;
use crate::prelude::*;
use crate::process::claims::admit::Request;
use crate::process::claims::lookup::Lookup;
use crate::process::claims::Claims;
use crate::process::entry::Entry;
use crate::process::peers::message::{ClaimQuery, ClaimReply};

/// Shortest and longest pause between two questions about a call that still runs.
const MIN_PAUSE: Duration = Duration::from_millis(5);
const MAX_PAUSE: Duration = Duration::from_millis(100);

/// Asks the holder of a claim for its response until the deadline; `answer` is what the caller is
/// told if the holder does not have it.
pub async fn ask(entry: &Entry, request: &Request, answer: Answer) -> Answer {
    let query = ClaimQuery { key: request.key, digest: request.digest };
    let mut pause = MIN_PAUSE;
    loop {
        let holder = match entry.claims.lookup(&request.key, request.digest) {
            Lookup::Held(holder) => holder,
            _ => return entry.claims.ask(&request.key, request.digest, request.deadline).await,
        };
        let left = request.deadline.left(Instant::now());
        match entry.peers.ask_claim(&holder.name, query, left).await {
            Some(ClaimReply::Done { code, answer }) => return passed_on(code, answer),
            Some(ClaimReply::Running) => {}
            Some(ClaimReply::Released | ClaimReply::Unknown) | None => return answer,
        }
        if pause >= request.deadline.left(Instant::now()) {
            return answer;
        }
        monoio::time::sleep(pause).await;
        pause = (pause * 2).min(MAX_PAUSE);
    }
}

/// What this entry, as the holder, tells a peer that asks.
pub fn reply(claims: &Claims, query: &ClaimQuery) -> ClaimReply {
    match claims.lookup(&query.key, query.digest) {
        Lookup::Kept(answer) => match code(&answer) {
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
    answer.set(header::CODE, &code.number().to_string());
    answer
}

fn code(answer: &Answer) -> Option<Code> {
    Code::from_number(answer.header(header::CODE)?.parse().ok()?)
}
