//! The tokens of one shard at its owner.

use std::collections::HashMap;

use super::history::History;
use super::limit::{Limit, MAX_EXPIRY};
use super::{WorkspaceId, MAX_SPAN, MAX_TRANSIT};
use crate::prelude::*;

/// Most refill that may be accepted at once: that of the longest span and the longest transit. More
/// would be refill of a time before these, or of entries that count too few entries.
const MAX_ALLOWANCE: Duration = MAX_SPAN.saturating_add(MAX_TRANSIT);
/// Time for which the last request of a sender is remembered. Only requests younger than
/// `MAX_TRANSIT` are accepted, so that older duplicates need no record.
const SENDER_MEMORY: Duration = Duration::from_secs(1);
/// Shortest wait that a refusal states.
const MIN_WAIT: Duration = Duration::from_millis(1);
/// Most senders that are remembered.
const MAX_SENDERS: usize = 4096;

/// An answer about the calls of one workspace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Grant {
    pub granted: u32,
    /// Time until the next token; zero if all calls got one.
    pub wait: Duration,
}

/// The tokens of a workspace.
#[derive(Debug)]
struct Bucket {
    tokens: f64,
    /// Total of the history at the last use.
    total: f64,
    used: Duration,
    /// Calls refused since the last report.
    refused: u64,
    is_refusing: bool,
}

#[derive(Clone, Copy, Debug)]
struct LastRequest {
    number: u64,
    received: Duration,
}

/// A workspace that began or ceased to be refused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RefusalChange {
    pub workspace: WorkspaceId,
    pub is_refusing: bool,
    pub refused: u64,
}

/// The pool of a shard. A workspace that nobody calls has no state in it.
#[derive(Debug)]
pub struct Pool {
    history: History,
    /// Refill that may still be accepted, in seconds.
    allowance: f64,
    updated: Duration,
    buckets: HashMap<WorkspaceId, Bucket>,
    senders: HashMap<u64, LastRequest>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(now: Duration) -> Self {
        Self {
            history: History::default(),
            allowance: MAX_ALLOWANCE.as_secs_f64(),
            updated: now,
            buckets: HashMap::new(),
            senders: HashMap::new(),
        }
    }

    /// Whether a request is newer than all earlier ones of the same process. Records it.
    pub fn is_new(&mut self, sender: u64, number: u64, now: Duration) -> bool {
        let known = self.senders.get(&sender).copied();
        if known.is_some_and(|last| number <= last.number) {
            return false;
        }
        if known.is_none() && self.senders.len() >= MAX_SENDERS {
            return false;
        }
        self.senders.insert(sender, LastRequest { number, received: now });
        true
    }

    /// Adds one entry's refill of a span of time.
    pub fn deposit(&mut self, span: Duration, entries: u32, now: Duration) {
        let passed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.allowance = (self.allowance + passed).min(MAX_ALLOWANCE.as_secs_f64());
        let share = span.min(MAX_SPAN).as_secs_f64() / f64::from(entries.max(1));
        let accepted = share.min(self.allowance);
        if accepted > 0.0 {
            self.allowance -= accepted;
            self.history.add(accepted, now);
        }
    }

    /// Takes up to `count` tokens of a workspace; the rest counts as refused.
    pub fn take(&mut self, id: WorkspaceId, count: u32, limit: &Limit, now: Duration) -> Grant {
        let bucket = self.refilled_bucket(id, limit, now);
        let granted = count.min(bucket.tokens as u32);
        bucket.tokens -= f64::from(granted);
        if granted == count {
            return Grant { granted, wait: Duration::ZERO };
        }
        bucket.refused += u64::from(count - granted);
        let missing = (1.0 - bucket.tokens).max(0.0);
        let wait = Duration::try_from_secs_f64(missing / limit.refill).unwrap_or(MAX_EXPIRY);
        // A wait of zero would mean that all calls got a token.
        Grant { granted, wait: wait.clamp(MIN_WAIT, MAX_EXPIRY) }
    }

    /// Takes a token of a workspace if there is one.
    pub fn take_one(&mut self, id: WorkspaceId, limit: &Limit, now: Duration) -> bool {
        let bucket = self.refilled_bucket(id, limit, now);
        let has_token = bucket.tokens >= 1.0;
        if has_token {
            bucket.tokens -= 1.0;
        }
        has_token
    }

    fn refilled_bucket(&mut self, id: WorkspaceId, limit: &Limit, now: Duration) -> &mut Bucket {
        let total = self.history.total();
        let max = limit.refill * self.history.since(limit.expiry, now);
        let bucket = self.buckets.entry(id).or_insert(Bucket {
            tokens: max,
            total,
            used: now,
            refused: 0,
            is_refusing: false,
        });
        bucket.tokens = (bucket.tokens + limit.refill * (total - bucket.total)).min(max);
        bucket.total = total;
        bucket.used = now;
        bucket
    }

    /// The refill accepted in the last `age`, in seconds.
    pub fn received(&self, age: Duration, now: Duration) -> f64 {
        self.history.since(age, now)
    }

    /// Number of processes whose requests were received lately.
    pub fn sender_count(&self) -> usize {
        self.senders.len()
    }

    /// Whether nothing is left that could be granted or must be remembered.
    pub fn is_idle(&self) -> bool {
        self.senders.is_empty() && self.buckets.is_empty() && self.history.is_empty()
    }

    /// Removes what has expired, and reports the workspaces that began or ceased to be refused since
    /// the last call. `max_expiry` is that of the limits in force.
    pub fn sweep(
        &mut self,
        max_expiry: Duration,
        now: Duration,
        report: &mut impl FnMut(RefusalChange),
    ) {
        self.history.forget(max_expiry, now);
        let is_recent = |time: Duration, age: Duration| now.saturating_sub(time) <= age;
        self.senders.retain(|_, last| is_recent(last.received, SENDER_MEMORY));
        self.buckets.retain(|workspace, bucket| {
            let refused = std::mem::take(&mut bucket.refused);
            let is_refusing = refused > 0;
            if is_refusing != bucket.is_refusing {
                bucket.is_refusing = is_refusing;
                report(RefusalChange { workspace: *workspace, is_refusing, refused });
            }
            // A bucket unused for the whole expiry is as full as a new one.
            bucket.is_refusing || is_recent(bucket.used, max_expiry)
        });
    }
}
