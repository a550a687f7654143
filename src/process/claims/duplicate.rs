//! The response to a duplicate whose first call another entry claimed.

use super::key::Key;
use super::lookup::Lookup;
use super::record::Outcome;
use super::Claims;
use crate::prelude::*;

impl Claims {
    /// Responds to a duplicate without running it, with what the log tells of the first call.
    pub fn answer_duplicate(&self, key: &Key, digest: u64) -> Answer {
        let (outcome, answer) = match self.lookup(key, digest) {
            Lookup::Ended(outcome) => ("recorded", recorded(outcome)),
            Lookup::Gone => ("unknown", Answer::own(Code::UnknownClaim)),
            Lookup::Kept(answer) => ("kept", answer),
            Lookup::Mismatch => ("mismatch", Answer::own(Code::RefusedMismatch)),
            Lookup::Held(_) | Lookup::Running(_) | Lookup::Free => {
                ("in_use", Answer::own(Code::RefusedDuplicate))
            }
        };
        self.metrics.count_claim(outcome);
        answer
    }
}

/// A response from the result in the log, which has no body.
fn recorded(outcome: Outcome) -> Answer {
    match Code::from_number(outcome.code) {
        Some(Code::Answered) => {
            let mut answer = Answer::own(Code::AnsweredBefore);
            if let Ok(status) = StatusCode::from_u16(outcome.status) {
                answer.status = status;
            }
            answer
        }
        Some(code) => Answer::own(code),
        None => Answer::own(Code::UnknownClaim),
    }
}
