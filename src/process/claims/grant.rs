//! The right to run a call, from its claim to its end.

use super::flight::{Flight, Verdict};
use super::key::Key;
use super::record::{ClaimRecord, Outcome};
use super::Claims;
use crate::prelude::*;

/// A claim that is not confirmed yet; dropping it gives the claim up.
pub struct Pending {
    claims: Rc<Claims>,
    key: Key,
    flight: Option<Rc<Flight>>,
}

impl Pending {
    /// Creates the guard of a claim.
    pub fn new(claims: Rc<Claims>, key: Key, flight: Rc<Flight>) -> Self {
        Self { claims, key, flight: Some(flight) }
    }

    /// Turns a claim that won into the right to run.
    pub fn grant(&mut self) -> Grant {
        Grant { claims: self.claims.clone(), key: self.key, flight: self.flight.take() }
    }

    /// Gives the claim up and hands the response to duplicates.
    pub fn end(&mut self, answer: &Answer) {
        let Some(flight) = self.flight.take() else { return };
        let is_withdrawn = {
            let mut state = self.claims.state.borrow_mut();
            state.active.remove(&self.key);
            state.outbox.withdraw(flight.nonce)
        };
        match flight.verdict() {
            _ if is_withdrawn => {}
            None => self.claims.abandon(flight.nonce),
            Some(Verdict::Lost) => {}
            Some(Verdict::Uncovered | Verdict::Won) => {
                self.claims.release(self.key, flight.nonce);
            }
        }
        flight.end(answer);
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        self.end(&Answer::own(Code::NotRunCancelled));
    }
}

/// The right to run a call once; dropping it records that the outcome is unknown.
pub struct Grant {
    claims: Rc<Claims>,
    key: Key,
    flight: Option<Rc<Flight>>,
}

impl Grant {
    /// Records the end of the call and hands the response to duplicates.
    pub fn finish(mut self, answer: Answer) -> Answer {
        self.end(&answer);
        answer
    }

    fn end(&mut self, answer: &Answer) {
        let Some(flight) = self.flight.take() else { return };
        let code = answer.code().unwrap_or(Code::UnknownAnswer);
        self.claims.state.borrow_mut().active.remove(&self.key);
        if code.is_not_run() {
            self.claims.release(self.key, flight.nonce);
        } else {
            self.claims.keep(self.key, &flight, code, answer);
        }
        flight.end(answer);
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        self.end(&Answer::own(Code::UnknownCancelled));
    }
}

impl Claims {
    fn keep(&self, key: Key, flight: &Flight, code: Code, answer: &Answer) {
        let outcome = Outcome { code: code.number(), status: answer.status.as_u16() };
        let mut state = self.state.borrow_mut();
        state.kept.insert(key, flight.digest, answer.clone(), Instant::now());
        state.outbox.push(ClaimRecord::Result { key, nonce: flight.nonce, outcome });
        self.metrics.gauge("cornellink_claim_response_bytes", state.kept.bytes() as f64);
        self.work.notify();
    }
}
