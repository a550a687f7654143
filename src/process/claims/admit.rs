//! The decision whether a keyed call may run.

use local_sync::oneshot;

use super::grant::{Grant, PendingClaim};
use super::key::Key;
use super::lookup::Lookup;
use super::pending_call::{ClaimOutcome, PendingCall};
use super::record::NewClaim;
use super::{unix_millis, Claims, CLAIM_LIMIT};
use crate::prelude::*;

/// A keyed call.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub key: Key,
    pub digest: u64,
    /// When the caller issued the key, in Unix milliseconds.
    pub issued: Option<u64>,
    pub deadline: Deadline,
}

/// What is to be done with a keyed call.
pub enum Admission {
    /// The call is not to be run; this is the response.
    Answer(Answer),
    /// The call may run once.
    Run(Grant),
}

impl Claims {
    /// Decides on a call, within `CLAIM_LIMIT` unless it waits for the first call of its key.
    pub async fn admit(self: &Rc<Self>, request: Request) -> Admission {
        let now = unix_millis();
        if request.issued.is_some_and(|issued| self.is_outside(issued, now)) {
            return self.refuse(Code::RefusedWindow);
        }
        match self.lookup(&request.key, request.digest) {
            Lookup::Kept(answer) => {
                self.count("kept");
                Admission::Answer(answer)
            }
            Lookup::Mismatch => self.refuse(Code::RefusedMismatch),
            Lookup::Running(Some(call)) => self.wait(&call, request.deadline).await,
            Lookup::Ended(_) | Lookup::Gone | Lookup::Held(_) | Lookup::Running(None) => {
                Admission::Answer(self.answer_duplicate(&request.key, request.digest))
            }
            Lookup::Free => self.claim(request).await,
        }
    }

    fn is_outside(&self, issued: u64, now: u64) -> bool {
        now.saturating_sub(issued) > self.limits.window.as_millis() as u64
    }

    fn refuse(&self, code: Code) -> Admission {
        self.count(match code {
            Code::RefusedDuplicate => "in_use",
            Code::RefusedMismatch => "mismatch",
            Code::RefusedWindow => "window",
            _ => "not_possible",
        });
        Admission::Answer(Answer::own(code))
    }

    /// Waits for the first call of the key, which runs at this entry.
    async fn wait(&self, call: &PendingCall, deadline: Deadline) -> Admission {
        let Some(receiver) = call.wait() else { return self.refuse(Code::RefusedDuplicate) };
        let left = deadline.left(Instant::now());
        match monoio::time::timeout(left, receiver).await {
            Ok(Ok(answer)) => {
                self.count("waited");
                Admission::Answer(answer)
            }
            Ok(Err(_)) | Err(_) => self.refuse(Code::RefusedDuplicate),
        }
    }

    async fn claim(self: &Rc<Self>, request: Request) -> Admission {
        let start = Instant::now();
        let left = request.deadline.left(start);
        if !self.can_claim(&request, left, start) {
            return self.refuse(Code::NotRunClaim);
        }
        let (mut pending, receiver) = self.send_claim(&request, left);
        let claim_outcome = monoio::time::timeout(CLAIM_LIMIT.min(left), receiver).await;
        // A pause of the process can make a verdict late that was read in time.
        let is_late = start.elapsed() >= CLAIM_LIMIT || request.deadline.has_passed(Instant::now());
        match claim_outcome {
            Ok(Ok(ClaimOutcome::Won)) if !is_late => {
                self.count("won");
                Admission::Run(pending.grant())
            }
            Ok(Ok(ClaimOutcome::Lost)) => {
                self.count("lost");
                let answer = self.answer_duplicate(&request.key, request.digest);
                pending.end(&answer);
                Admission::Answer(answer)
            }
            Ok(Ok(ClaimOutcome::Uncovered | ClaimOutcome::Won) | Err(_)) | Err(_) => {
                self.count("abandoned");
                let answer = Answer::own(Code::NotRunClaim);
                pending.end(&answer);
                Admission::Answer(answer)
            }
        }
    }

    /// Whether a claim can be expected to be confirmed in time and to mean what it says.
    fn can_claim(&self, request: &Request, left: Duration, now: Instant) -> bool {
        let state = self.state.borrow();
        state.health.is_open(CLAIM_LIMIT, now)
            && state.table.covers(unix_millis(), request.issued)
            // A call must end long before its claim does.
            && left <= self.limits.window / 2
    }

    fn send_claim(
        self: &Rc<Self>,
        request: &Request,
        left: Duration,
    ) -> (PendingClaim, oneshot::Receiver<ClaimOutcome>) {
        let (sender, receiver) = oneshot::channel();
        let nonce = rand::random();
        let call = Rc::new(PendingCall::new(request.digest, nonce, request.issued, sender));
        let mut state = self.state.borrow_mut();
        state.active.insert(request.key, call.clone());
        state.outbox.claim(NewClaim {
            key: request.key,
            digest: request.digest,
            holder: (*self.holder).clone(),
            nonce,
            span: left.as_millis() as u32,
        });
        self.work.notify();
        (PendingClaim::new(self.clone(), request.key, call), receiver)
    }

    fn count(&self, outcome: &'static str) {
        self.metrics.count_claim(outcome);
    }
}
