//! Admission of keyed calls: a call runs only if its claim is the first of its key.

use local_sync::oneshot;

use super::grant::{Grant, PendingClaim};
use super::key::Key;
use super::lookup::Lookup;
use super::pending_call::{ClaimOutcome, PendingCall};
use super::record::NewClaim;
use super::{unix_millis, Claims, CLAIM_TIMEOUT};
use crate::prelude::*;

/// A keyed call to admit.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub key: Key,
    /// Digest of method, path and body.
    pub digest: u64,
    /// When the caller issued the key, in Unix milliseconds.
    pub issued: Option<u64>,
    pub deadline: Deadline,
}

/// The decision on a keyed call.
pub enum Admission {
    /// The call must not run; the caller gets this response.
    Respond(Answer),
    /// The call may run once.
    Run(Grant),
}

impl Claims {
    /// Decides whether a call may run. The decision takes at most `CLAIM_TIMEOUT`, unless the
    /// first call of the key runs at this entry: the duplicate then waits for its response.
    pub async fn admit(self: &Rc<Self>, request: Request) -> Admission {
        let now = unix_millis();
        if request.issued.is_some_and(|issued| self.is_older_than_window(issued, now)) {
            return self.refuse(Code::RefusedWindow);
        }
        match self.lookup(&request.key, request.digest) {
            Lookup::Cached(response) => {
                self.count_outcome("kept");
                Admission::Respond(response)
            }
            Lookup::Mismatch => self.refuse(Code::RefusedMismatch),
            Lookup::Running(Some(call)) => self.wait_for_first_call(&call, request.deadline).await,
            Lookup::Ended(_)
            | Lookup::OutcomeUnknown
            | Lookup::HeldByPeer(_)
            | Lookup::Running(None) => {
                Admission::Respond(self.respond_to_duplicate(&request.key, request.digest))
            }
            Lookup::Free => self.claim_key(request).await,
        }
    }

    fn is_older_than_window(&self, issued: u64, now: u64) -> bool {
        now.saturating_sub(issued) > self.limits.window.as_millis() as u64
    }

    fn refuse(&self, code: Code) -> Admission {
        self.count_outcome(match code {
            Code::RefusedDuplicate => "in_use",
            Code::RefusedMismatch => "mismatch",
            Code::RefusedWindow => "window",
            _ => "not_possible",
        });
        Admission::Respond(Answer::own(code))
    }

    /// Waits for the response of the first call of the key, which runs at this entry.
    async fn wait_for_first_call(&self, call: &PendingCall, deadline: Deadline) -> Admission {
        let Some(receiver) = call.add_waiter() else { return self.refuse(Code::RefusedDuplicate) };
        let remaining = deadline.left(Instant::now());
        match monoio::time::timeout(remaining, receiver).await {
            Ok(Ok(response)) => {
                self.count_outcome("waited");
                Admission::Respond(response)
            }
            Ok(Err(_)) | Err(_) => self.refuse(Code::RefusedDuplicate),
        }
    }

    async fn claim_key(self: &Rc<Self>, request: Request) -> Admission {
        let start = Instant::now();
        let remaining = request.deadline.left(start);
        if !self.can_claim(&request, remaining, start) {
            return self.refuse(Code::NotRunClaim);
        }
        let (mut pending, receiver) = self.enqueue_claim(&request, remaining);
        let claim_outcome = monoio::time::timeout(CLAIM_TIMEOUT.min(remaining), receiver).await;
        // After a pause of the process, the receiver can return an outcome although the timeout
        // has passed.
        let is_late =
            start.elapsed() >= CLAIM_TIMEOUT || request.deadline.has_passed(Instant::now());
        match claim_outcome {
            Ok(Ok(ClaimOutcome::Won)) if !is_late => {
                self.count_outcome("won");
                Admission::Run(pending.grant())
            }
            Ok(Ok(ClaimOutcome::Lost)) => {
                self.count_outcome("lost");
                let response = self.respond_to_duplicate(&request.key, request.digest);
                pending.give_up(&response);
                Admission::Respond(response)
            }
            Ok(Ok(ClaimOutcome::Unverified | ClaimOutcome::Won) | Err(_)) | Err(_) => {
                self.count_outcome("abandoned");
                let response = Answer::own(Code::NotRunClaim);
                pending.give_up(&response);
                Admission::Respond(response)
            }
        }
    }

    /// Whether a claim can be expected to be confirmed in time, and the table is complete enough
    /// to tell whether it is the first of its key.
    fn can_claim(&self, request: &Request, remaining: Duration, now: Instant) -> bool {
        let state = self.state.borrow();
        state.health.can_confirm(CLAIM_TIMEOUT, now)
            && state.table.is_complete(unix_millis(), request.issued)
            // The call must end long before its claim expires and frees the key.
            && remaining <= self.limits.window / 2
    }

    fn enqueue_claim(
        self: &Rc<Self>,
        request: &Request,
        remaining: Duration,
    ) -> (PendingClaim, oneshot::Receiver<ClaimOutcome>) {
        let (sender, receiver) = oneshot::channel();
        let nonce = rand::random();
        let call = Rc::new(PendingCall::new(request.digest, nonce, request.issued, sender));
        let mut state = self.state.borrow_mut();
        state.pending_calls.insert(request.key, call.clone());
        state.outbox.push_claim(NewClaim {
            key: request.key,
            digest: request.digest,
            holder: (*self.holder).clone(),
            nonce,
            span: remaining.as_millis() as u32,
        });
        self.append_requested.notify();
        (PendingClaim::new(self.clone(), request.key, call), receiver)
    }

    fn count_outcome(&self, outcome: &'static str) {
        self.metrics.count_claim(outcome);
    }
}
