//! The right to run a call, from its claim to its end.

use super::key::Key;
use super::pending_call::{ClaimOutcome, PendingCall};
use super::record::{ClaimRecord, Outcome};
use super::Claims;
use crate::prelude::*;

/// A claim that is not confirmed yet; dropping it gives the claim up.
pub struct PendingClaim {
    claims: Rc<Claims>,
    key: Key,
    call: Option<Rc<PendingCall>>,
}

impl PendingClaim {
    /// Creates the guard of a claim.
    pub fn new(claims: Rc<Claims>, key: Key, call: Rc<PendingCall>) -> Self {
        Self { claims, key, call: Some(call) }
    }

    /// Turns a claim that won into the right to run.
    pub fn grant(&mut self) -> Grant {
        Grant { claims: self.claims.clone(), key: self.key, call: self.call.take() }
    }

    /// Gives the claim up and hands the response to duplicates.
    pub fn end(&mut self, answer: &Answer) {
        let Some(call) = self.call.take() else { return };
        let is_withdrawn = {
            let mut state = self.claims.state.borrow_mut();
            state.active.remove(&self.key);
            state.outbox.withdraw(call.nonce)
        };
        match call.claim_outcome() {
            _ if is_withdrawn => {}
            None => self.claims.abandon(call.nonce),
            Some(ClaimOutcome::Lost) => {}
            Some(ClaimOutcome::Uncovered | ClaimOutcome::Won) => {
                self.claims.release(self.key, call.nonce);
            }
        }
        call.end(answer);
    }
}

impl Drop for PendingClaim {
    fn drop(&mut self) {
        self.end(&Answer::own(Code::NotRunCancelled));
    }
}

/// The right to run a call once; dropping it records that the outcome is unknown.
pub struct Grant {
    claims: Rc<Claims>,
    key: Key,
    call: Option<Rc<PendingCall>>,
}

impl Grant {
    /// Records the end of the call and hands the response to duplicates.
    pub fn finish(mut self, answer: Answer) -> Answer {
        self.end(&answer);
        answer
    }

    fn end(&mut self, answer: &Answer) {
        let Some(call) = self.call.take() else { return };
        let code = answer.code().unwrap_or(Code::UnknownAnswer);
        self.claims.state.borrow_mut().active.remove(&self.key);
        if code.is_not_run() {
            self.claims.release(self.key, call.nonce);
        } else {
            self.claims.keep(self.key, &call, code, answer);
        }
        call.end(answer);
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        self.end(&Answer::own(Code::UnknownCancelled));
    }
}

impl Claims {
    fn keep(&self, key: Key, call: &PendingCall, code: Code, answer: &Answer) {
        let outcome = Outcome { code: code.number(), status: answer.status.as_u16() };
        let mut state = self.state.borrow_mut();
        state.responses.insert(key, call.digest, answer.clone(), Instant::now());
        state.outbox.push(ClaimRecord::Result { key, nonce: call.nonce, outcome });
        self.metrics.set_gauge("cornellink_claim_response_bytes", state.responses.bytes() as f64);
        self.work.notify();
    }
}
