//! Responses to duplicates, without a run of the call.

use super::key::Key;
use super::lookup::Lookup;
use super::record::CallResult;
use super::Claims;
use crate::prelude::*;

impl Claims {
    /// Builds the response to a duplicate from the cache or from the first call's result in the
    /// log.
    pub fn respond_to_duplicate(&self, key: &Key, digest: u64) -> Answer {
        let (outcome, response) = match self.lookup(key, digest) {
            Lookup::Ended(outcome) => ("recorded", recorded_response(outcome)),
            Lookup::OutcomeUnknown => ("unknown", Answer::own(Code::UnknownClaim)),
            Lookup::Cached(response) => ("kept", response),
            Lookup::Mismatch => ("mismatch", Answer::own(Code::RefusedMismatch)),
            Lookup::HeldByPeer(_) | Lookup::Running(_) | Lookup::Free => {
                ("in_use", Answer::own(Code::RefusedDuplicate))
            }
        };
        self.metrics.count_claim(outcome);
        response
    }
}

/// Builds a response without a body from a result in the log.
fn recorded_response(outcome: CallResult) -> Answer {
    match Code::from_number(outcome.code) {
        Some(Code::Answered) => {
            let mut response = Answer::own(Code::AnsweredBefore);
            if let Ok(status) = StatusCode::from_u16(outcome.status) {
                response.status = status;
            }
            response
        }
        Some(code) => Answer::own(code),
        None => Answer::own(Code::UnknownClaim),
    }
}
