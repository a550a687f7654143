//! Queue of records to append to the log.

use std::collections::{HashSet, VecDeque};

use super::record::{ClaimRecord, Mark, NewClaim};
use crate::prelude::*;

/// Limit on the records of one append.
const MAX_BATCH_RECORDS: usize = 500;
/// Limit on queued records other than claims; beyond it the oldest are dropped. During an outage
/// of the log, only calls that already run add to them.
const MAX_QUEUED_RECORDS: usize = 50_000;

/// Records queued for the next append, and those of the append in flight.
///
/// Results, releases and marks are idempotent, so they are sent again until an append is
/// confirmed. A claim is sent only once: a second copy that arrives after the claim's release
/// would claim the key again, although no call runs, and block it until the claim expires.
#[derive(Default)]
pub struct Outbox {
    claims: VecDeque<NewClaim>,
    queued: VecDeque<ClaimRecord>,
    /// Results, releases and marks in the append in flight, to be queued again if it fails.
    unconfirmed: Vec<ClaimRecord>,
    /// Claim nonces of the records in the append in flight.
    inflight_nonces: HashSet<u64>,
}

impl Outbox {
    /// Whether a claim is queued.
    pub fn has_claims(&self) -> bool {
        !self.claims.is_empty()
    }

    /// Whether nothing is queued, and no result, release or mark in flight waits for confirmation.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty() && self.queued.is_empty() && self.unconfirmed.is_empty()
    }

    /// Whether a result, a release or a mark is queued.
    pub fn has_records(&self) -> bool {
        !self.queued.is_empty()
    }

    pub fn push_claim(&mut self, claim: NewClaim) {
        self.claims.push_back(claim);
    }

    /// Removes a claim that has not been sent; `false` if it has.
    pub fn withdraw(&mut self, nonce: u64) -> bool {
        let count = self.claims.len();
        self.claims.retain(|claim| claim.nonce != nonce);
        self.claims.len() < count
    }

    /// Queues a result or a release.
    pub fn push_record(&mut self, record: ClaimRecord) {
        if self.queued.len() >= MAX_QUEUED_RECORDS {
            self.queued.pop_front();
        }
        self.queued.push_back(record);
    }

    /// Queues a mark, in place of an older one that is still queued.
    pub fn push_mark(&mut self, mark: Mark) {
        let is_mark = |record: &ClaimRecord| matches!(record, ClaimRecord::Mark(_));
        self.queued.retain(|record| !is_mark(record));
        self.push_record(ClaimRecord::Mark(mark));
    }

    /// Takes the records of the next append. Claims come last, because a release must precede a
    /// new claim of its key.
    pub fn take_batch(&mut self) -> Vec<Bytes> {
        let count = self.queued.len().min(MAX_BATCH_RECORDS);
        self.unconfirmed = self.queued.drain(..count).collect();
        let count = self.claims.len().min(MAX_BATCH_RECORDS - count);
        let claims = self.claims.drain(..count).map(ClaimRecord::Claim);
        let claims: Vec<ClaimRecord> = claims.collect();
        self.inflight_nonces =
            self.unconfirmed.iter().chain(&claims).filter_map(ClaimRecord::nonce).collect();
        self.unconfirmed.iter().chain(&claims).map(ClaimRecord::encode).collect()
    }

    /// Whether the append in flight contains a record of the claim with this nonce.
    pub fn is_in_flight(&self, nonce: u64) -> bool {
        self.inflight_nonces.contains(&nonce)
    }

    /// Ends the append in flight. If it was not confirmed, its records other than claims are
    /// queued again.
    pub fn finish_append(&mut self, confirmed: bool) {
        self.inflight_nonces.clear();
        for record in std::mem::take(&mut self.unconfirmed).into_iter().rev() {
            if !confirmed {
                self.queued.push_front(record);
            }
        }
    }
}
