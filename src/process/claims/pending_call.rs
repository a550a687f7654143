//! A keyed call under way at this entry.

use local_sync::oneshot;

use crate::prelude::*;

/// Most duplicates that wait for one call.
const MAX_WAITERS: usize = 64;

/// How a claim ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// Another claim was first.
    Lost,
    /// The first claim, but an earlier one may be missing from the table.
    Uncovered,
    /// The first claim.
    Won,
}

/// A call from its claim to its response.
pub struct PendingCall {
    pub digest: u64,
    pub nonce: u64,
    /// Earliest time at which the key can have been used, in Unix milliseconds.
    pub issued: Option<u64>,
    claim_outcome: Cell<Option<ClaimOutcome>>,
    claimant: RefCell<Option<oneshot::Sender<ClaimOutcome>>>,
    waiters: RefCell<Vec<oneshot::Sender<Answer>>>,
}

impl PendingCall {
    /// Creates a flight whose verdict goes to `claimant`.
    pub fn new(
        digest: u64,
        nonce: u64,
        issued: Option<u64>,
        claimant: oneshot::Sender<ClaimOutcome>,
    ) -> Self {
        let claimant = RefCell::new(Some(claimant));
        let waiters = RefCell::default();
        Self { digest, nonce, issued, claim_outcome: Cell::new(None), claimant, waiters }
    }

    /// The verdict, once the claim has been read back.
    pub fn claim_outcome(&self) -> Option<ClaimOutcome> {
        self.claim_outcome.get()
    }

    /// Records the verdict.
    pub fn decide(&self, claim_outcome: ClaimOutcome) {
        self.claim_outcome.set(Some(claim_outcome));
        if let Some(claimant) = self.claimant.take() {
            let _ = claimant.send(claim_outcome);
        }
    }

    /// Waits for the response of the call; `None` if too many wait already.
    pub fn wait(&self) -> Option<oneshot::Receiver<Answer>> {
        let mut waiters = self.waiters.borrow_mut();
        if waiters.len() >= MAX_WAITERS {
            return None;
        }
        let (sender, receiver) = oneshot::channel();
        waiters.push(sender);
        Some(receiver)
    }

    /// Hands the response to all who wait.
    pub fn end(&self, answer: &Answer) {
        for waiter in self.waiters.take() {
            let _ = waiter.send(answer.clone());
        }
    }
}
