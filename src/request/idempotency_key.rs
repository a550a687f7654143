//! Non-idempotent calls: run at most once with a key, attempted once without.

use std::future::Future;

use super::header;
use super::holder;
use super::matched::Matched;
use crate::prelude::*;
use crate::process::claims::admit::{Admission, Request};
use crate::process::claims::key::{digest, Key};
use crate::process::entry::Entry;

/// The claim that a call needs.
pub enum Claim {
    /// None: the call is idempotent or has no key.
    Free,
    /// The time at which the key was issued is not a number.
    Invalid,
    /// The call runs only if it is the first with its key.
    Needed(Request),
}

/// The claim that a call needs.
pub fn claim(matched: &Matched, call: &Call) -> Claim {
    if matched.class().idempotent {
        return Claim::Free;
    }
    let Some(key) = call.headers.get(header::IDEMPOTENCY_KEY) else { return Claim::Free };
    let issued = match call.headers.get(header::KEY_ISSUED) {
        Some(value) => match value.to_str().ok().and_then(|text| text.parse().ok()) {
            Some(issued) => Some(issued),
            None => return Claim::Invalid,
        },
        None => None,
    };
    let names = (&matched.workspace().name, &matched.service().name);
    let key = Key::new(names.0, names.1, key.as_bytes());
    Claim::Needed(Request { key, digest: digest(call), issued, deadline: matched.deadline })
}

/// Runs a call if its claim allows it.
pub async fn run(entry: &Entry, claim: Claim, run: impl Future<Output = Answer>) -> Answer {
    let request = match claim {
        Claim::Free => return run.await,
        Claim::Invalid => return Answer::own(Code::RefusedWindow),
        Claim::Needed(request) => request,
    };
    match entry.claims.admit(request).await {
        Admission::Answer(answer) if is_incomplete(&answer) => holder::ask(entry, &request).await,
        Admission::Answer(answer) => answer,
        Admission::Run(grant) => grant.finish(run.await),
    }
}

/// Whether the holder of the claim may know more.
fn is_incomplete(answer: &Answer) -> bool {
    matches!(answer.code(), Some(Code::AnsweredBefore | Code::RefusedDuplicate))
}
