//! Guards of a keyed call: one for its claim, one for its run.

use super::key::Key;
use super::pending_call::{ClaimOutcome, PendingCall};
use super::record::{CallResult, ClaimRecord};
use super::Claims;
use crate::prelude::*;

/// A claim that is not confirmed yet. Dropping it abandons or releases the claim.
pub struct PendingClaim {
    claims: Rc<Claims>,
    key: Key,
    call: Option<Rc<PendingCall>>,
}

impl PendingClaim {
    /// Creates the guard of a queued claim.
    pub fn new(claims: Rc<Claims>, key: Key, call: Rc<PendingCall>) -> Self {
        Self { claims, key, call: Some(call) }
    }

    /// Turns a claim that won into the right to run the call.
    pub fn grant(&mut self) -> Grant {
        Grant { claims: self.claims.clone(), key: self.key, call: self.call.take() }
    }

    /// Gives the claim up and sends the response to waiting duplicates.
    pub fn give_up(&mut self, response: &Answer) {
        let Some(call) = self.call.take() else { return };
        let is_withdrawn = {
            let mut state = self.claims.state.borrow_mut();
            state.pending_calls.remove(&self.key);
            state.outbox.withdraw(call.nonce)
        };
        match call.claim_outcome() {
            _ if is_withdrawn => {}
            None => self.claims.record_abandoned(call.nonce),
            Some(ClaimOutcome::Lost) => {}
            Some(ClaimOutcome::Unverified | ClaimOutcome::Won) => {
                self.claims.release(self.key, call.nonce);
            }
        }
        call.respond(response);
    }
}

impl Drop for PendingClaim {
    fn drop(&mut self) {
        self.give_up(&Answer::own(Code::NotRunCancelled));
    }
}

/// The right to run a call once. Dropping it before `finish` records an unknown outcome.
pub struct Grant {
    claims: Rc<Claims>,
    key: Key,
    call: Option<Rc<PendingCall>>,
}

impl Grant {
    /// Records the result of the call and sends the response to waiting duplicates.
    pub fn finish(mut self, response: Answer) -> Answer {
        self.complete(&response);
        response
    }

    fn complete(&mut self, response: &Answer) {
        let Some(call) = self.call.take() else { return };
        let code = response.code().unwrap_or(Code::UnknownAnswer);
        self.claims.state.borrow_mut().pending_calls.remove(&self.key);
        if code.is_not_run() {
            self.claims.release(self.key, call.nonce);
        } else {
            self.claims.record_result(self.key, &call, code, response);
        }
        call.respond(response);
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        self.complete(&Answer::own(Code::UnknownCancelled));
    }
}

impl Claims {
    /// Caches the response and queues the result for the log.
    fn record_result(&self, key: Key, call: &PendingCall, code: Code, response: &Answer) {
        let outcome = CallResult { code: code.number(), status: response.status.as_u16() };
        let mut state = self.state.borrow_mut();
        state.responses.insert(key, call.digest, response.clone(), Instant::now());
        state.outbox.push_record(ClaimRecord::Result { key, nonce: call.nonce, outcome });
        self.metrics.set_gauge("cornellink_claim_response_bytes", state.responses.bytes() as f64);
        self.append_requested.notify();
    }
}
