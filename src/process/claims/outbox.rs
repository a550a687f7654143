//! Records on their way to the log.

use std::collections::{HashSet, VecDeque};

use super::record::{ClaimRecord, Mark, NewClaim};
use crate::prelude::*;

/// Most records in one append.
const MAX_BATCH: usize = 500;
/// Most results and releases that wait; only calls under way add to them during an outage.
const MAX_WAITING: usize = 50_000;

/// Records that wait for an append, and those of the append under way.
///
/// Results, releases and marks can be appended twice without harm, so they are kept until an
/// append is confirmed. A claim is sent once only: a second copy could follow its own release
/// and hold the key for nobody.
#[derive(Default)]
pub struct Outbox {
    claims: VecDeque<NewClaim>,
    waiting: VecDeque<ClaimRecord>,
    sent: Vec<ClaimRecord>,
    /// Numbers of the claims, results and releases in the append under way.
    nonces: HashSet<u64>,
}

impl Outbox {
    /// Whether a claim waits.
    pub fn has_claims(&self) -> bool {
        !self.claims.is_empty()
    }

    /// Whether nothing waits and nothing is under way.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty() && self.waiting.is_empty() && self.sent.is_empty()
    }

    /// Whether a result, a release or a mark waits.
    pub fn has_records(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Adds a claim.
    pub fn claim(&mut self, claim: NewClaim) {
        self.claims.push_back(claim);
    }

    /// Takes back a claim that has not been sent.
    pub fn withdraw(&mut self, nonce: u64) -> bool {
        let count = self.claims.len();
        self.claims.retain(|claim| claim.nonce != nonce);
        self.claims.len() < count
    }

    /// Adds a result or a release.
    pub fn push(&mut self, record: ClaimRecord) {
        if self.waiting.len() >= MAX_WAITING {
            self.waiting.pop_front();
        }
        self.waiting.push_back(record);
    }

    /// Adds a mark; a newer one replaces an older one that waits.
    pub fn mark(&mut self, mark: Mark) {
        let is_mark = |record: &ClaimRecord| matches!(record, ClaimRecord::Mark(_));
        self.waiting.retain(|record| !is_mark(record));
        self.push(ClaimRecord::Mark(mark));
    }

    /// The records of the next append, those in `waiting` first: a release must precede a new
    /// claim of its key.
    pub fn batch(&mut self) -> Vec<Bytes> {
        let count = self.waiting.len().min(MAX_BATCH);
        self.sent = self.waiting.drain(..count).collect();
        let count = self.claims.len().min(MAX_BATCH - count);
        let claims = self.claims.drain(..count).map(ClaimRecord::Claim);
        let claims: Vec<ClaimRecord> = claims.collect();
        self.nonces = self.sent.iter().chain(&claims).filter_map(ClaimRecord::nonce).collect();
        self.sent.iter().chain(&claims).map(ClaimRecord::encode).collect()
    }

    /// Whether the append under way has carried this number.
    pub fn is_under_way(&self, nonce: u64) -> bool {
        self.nonces.contains(&nonce)
    }

    /// Records whether the append under way was confirmed.
    pub fn settle(&mut self, confirmed: bool) {
        self.nonces.clear();
        for record in std::mem::take(&mut self.sent).into_iter().rev() {
            if !confirmed {
                self.waiting.push_front(record);
            }
        }
    }
}
