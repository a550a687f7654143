//! Duplicates of a call that another entry runs: queries to the entry that holds the claim, and its
//! replies.

use crate::prelude::*;
use crate::process::claims::admit::Request;
use crate::process::claims::lookup::Lookup;
use crate::process::claims::Claims;
use crate::process::entry::Entry;
use crate::process::peers::message::{ClaimQuery, ClaimReply};

/// Delay between the first two queries for a call that is still running; it doubles each time.
const MIN_QUERY_DELAY: Duration = Duration::from_millis(5);
/// Longest delay between two queries for a call that is still running.
const MAX_QUERY_DELAY: Duration = Duration::from_millis(100);

/// Longest wait for the holder's reply to one query.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Queries the holder of a claim for the first call's response until the request's deadline. If the
/// holder does not reply or does not have the response, the response is derived from the log's
/// records.
pub async fn fetch_response(entry: &Entry, request: &Request) -> Answer {
    let query = ClaimQuery { key: request.key, digest: request.digest };
    let mut delay = MIN_QUERY_DELAY;
    while let Some(holder) = entry.claims.other_holder(&request.key) {
        let timeout = request.deadline.left(Instant::now()).min(QUERY_TIMEOUT);
        match entry.peers.query_claim(&holder.name, query, timeout).await {
            Some(ClaimReply::Done { code, answer }) => return with_code(code, answer),
            Some(ClaimReply::Running) => {}
            Some(ClaimReply::Released | ClaimReply::Unknown) | None => break,
        }
        if delay >= request.deadline.left(Instant::now()) {
            break;
        }
        monoio::time::sleep(delay).await;
        delay = (delay * 2).min(MAX_QUERY_DELAY);
    }
    entry.claims.respond_to_duplicate(&request.key, request.digest)
}

/// Builds this entry's reply to a peer that queries a claim held here.
pub fn reply(claims: &Claims, query: &ClaimQuery) -> ClaimReply {
    match claims.lookup(&query.key, query.digest) {
        Lookup::Cached(response) => match response.code() {
            Some(code) => ClaimReply::Done { code, answer: response },
            None => ClaimReply::Unknown,
        },
        Lookup::Running(Some(_)) => ClaimReply::Running,
        Lookup::Free => ClaimReply::Released,
        Lookup::Ended(_)
        | Lookup::OutcomeUnknown
        | Lookup::HeldByPeer(_)
        | Lookup::Mismatch
        | Lookup::Running(None) => ClaimReply::Unknown,
    }
}

fn with_code(code: Code, mut response: Answer) -> Answer {
    response.set_code(code);
    response
}
