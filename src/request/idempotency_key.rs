//! Idempotency keys: a non-idempotent call runs at most once per key. Without a key, it is
//! attempted once.

use std::future::Future;

use super::claim_query;
use super::header;
use super::resolved_call::ResolvedCall;
use crate::prelude::*;
use crate::process::claims::admit::{Admission, Request};
use crate::process::claims::key::{digest, Key};
use crate::process::entry::Entry;

/// Whether a call must claim its idempotency key before it runs.
pub enum ClaimRequirement {
    /// The call is idempotent or has no key.
    NotRequired,
    /// The time at which the key was issued is not a number.
    InvalidTime,
    /// The call runs only if it is the first one with its key.
    Required(Request),
}

/// Determines from a call's class and headers whether it must claim its key.
pub fn claim_requirement(resolved: &ResolvedCall, call: &Call) -> ClaimRequirement {
    if resolved.class().idempotent {
        return ClaimRequirement::NotRequired;
    }
    let Some(key) = call.headers.get(header::IDEMPOTENCY_KEY) else {
        return ClaimRequirement::NotRequired;
    };
    let issued = match call.headers.get(header::KEY_ISSUED) {
        Some(value) => match value.to_str().ok().and_then(|text| text.parse().ok()) {
            Some(issued) => Some(issued),
            None => return ClaimRequirement::InvalidTime,
        },
        None => None,
    };
    let scope = (&resolved.workspace().name, &resolved.service().name);
    let key = Key::new(scope.0, scope.1, key.as_bytes());
    ClaimRequirement::Required(Request {
        key,
        digest: digest(call),
        issued,
        deadline: resolved.deadline,
    })
}

/// Runs `attempts` if the call needs no claim or wins it. Otherwise returns the response to the
/// first call with the key, or a refusal.
pub async fn with_claim(
    entry: &Entry,
    requirement: ClaimRequirement,
    attempts: impl Future<Output = Answer>,
) -> Answer {
    let request = match requirement {
        ClaimRequirement::NotRequired => return attempts.await,
        ClaimRequirement::InvalidTime => return Answer::own(Code::RefusedWindow),
        ClaimRequirement::Required(request) => request,
    };
    match entry.claims.admit(request).await {
        Admission::Respond(response) if is_incomplete(&response) => {
            claim_query::fetch_response(entry, &request).await
        }
        Admission::Respond(response) => response,
        Admission::Run(claim) => claim.finish(attempts.await),
    }
}

/// Whether the entry that holds the claim may have a more complete response.
fn is_incomplete(response: &Answer) -> bool {
    matches!(response.code(), Some(Code::AnsweredBefore | Code::RefusedDuplicate))
}
