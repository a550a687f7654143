//! A keyed call in progress at this entry.

use local_sync::oneshot;

use crate::prelude::*;

/// Limit on the duplicates that wait for the response of one call.
const MAX_WAITERS: usize = 64;

/// The outcome of a claim, once it has been read from the stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// Another claim of the key was first, or may have been if an earlier one is missing.
    Lost,
    /// The first claim in the table, but an earlier one may be missing from it.
    Unverified,
    /// The first claim of the key.
    Won,
}

/// A keyed call between its claim and its response, with the duplicates that wait for it.
pub struct PendingCall {
    pub digest: u64,
    /// Nonce of the claim.
    pub nonce: u64,
    /// Earliest time at which the key can have been used, in Unix milliseconds.
    pub issued: Option<u64>,
    claim_outcome: Cell<Option<ClaimOutcome>>,
    outcome_sender: RefCell<Option<oneshot::Sender<ClaimOutcome>>>,
    waiters: RefCell<Vec<oneshot::Sender<Answer>>>,
}

impl PendingCall {
    /// Creates a call that sends the outcome of its claim to `outcome_sender`.
    pub fn new(
        digest: u64,
        nonce: u64,
        issued: Option<u64>,
        outcome_sender: oneshot::Sender<ClaimOutcome>,
    ) -> Self {
        let outcome_sender = RefCell::new(Some(outcome_sender));
        let waiters = RefCell::default();
        Self { digest, nonce, issued, claim_outcome: Cell::new(None), outcome_sender, waiters }
    }

    /// The outcome of the claim, or `None` until the claim has been read from the stream.
    pub fn claim_outcome(&self) -> Option<ClaimOutcome> {
        self.claim_outcome.get()
    }

    /// Records the outcome of the claim and reports it to the task that admits the call.
    pub fn set_outcome(&self, claim_outcome: ClaimOutcome) {
        self.claim_outcome.set(Some(claim_outcome));
        if let Some(outcome_sender) = self.outcome_sender.take() {
            let _ = outcome_sender.send(claim_outcome);
        }
    }

    /// Adds a duplicate that waits for the response; `None` if `MAX_WAITERS` already wait.
    pub fn add_waiter(&self) -> Option<oneshot::Receiver<Answer>> {
        let mut waiters = self.waiters.borrow_mut();
        if waiters.len() >= MAX_WAITERS {
            return None;
        }
        let (sender, receiver) = oneshot::channel();
        waiters.push(sender);
        Some(receiver)
    }

    /// Sends the response to all waiting duplicates.
    pub fn respond(&self, response: &Answer) {
        for waiter in self.waiters.take() {
            let _ = waiter.send(response.clone());
        }
    }
}
