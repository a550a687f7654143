//! One entry's part in the quotas: a state machine whose inputs are calls, datagrams and the time.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::limit::{Limit, MAX_EXPIRY};
use super::owner_order::{shard_count, shard_of, EntryIndex, OwnerOrder, ShardOwner};
use super::pool::{Pool, RefusalChange};
use super::shard::{Shard, Waiter};
use super::span::Span;
use super::stats::Stats;
use super::verdict::{Admission, Verdict};
use super::wallet::{Wallet, MAX_REFUSAL};
use super::wire::ShardKey;
use super::{Ticket, WorkspaceId};
use crate::edge::directory::EntryRecord;
use crate::prelude::*;

/// Interval at which refill is handed over if no request for tokens does it.
pub const HANDOVER_INTERVAL: Duration = Duration::from_millis(250);
/// Longest wait of a call for a reply.
const MAX_WAIT: Duration = Duration::from_millis(250);
/// Interval at which expired state is removed and refusals are logged.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// A datagram to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Datagram {
    pub address: SocketAddr,
    pub message: Vec<u8>,
}

/// A request to an entry that was left out.
#[derive(Clone, Copy, Debug)]
pub(super) struct Inquiry {
    pub owner: EntryIndex,
    pub sent: Duration,
}

/// Figures of the pools for the gauges.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OwnerFigures {
    /// Pools that hold refill.
    pub pools: usize,
    /// Entries that sent a request lately.
    pub senders: usize,
    /// Refill received in the last second, in seconds of the refill of all entries.
    pub received: f64,
}

/// State of one entry, both as a user and as an owner of tokens.
#[derive(Debug)]
pub struct Node {
    /// Random number that tells this process from others; also the zero point of its stamps, so that
    /// no stamp of an earlier process is taken for one of this.
    pub(super) id: u64,
    pub(super) next_number: u64,
    next_ticket: u64,
    pub(super) entries: Option<u32>,
    /// Whether the others count this entry among those, so that it has a part of the refill.
    is_counted: bool,
    pub(super) order: OwnerOrder,
    pub(super) shards: Vec<Shard>,
    pub(super) limits: HashMap<WorkspaceId, Limit>,
    pub(super) max_expiry: Duration,
    pub(super) pools: HashMap<ShardKey, Pool>,
    pub(super) wallet: Wallet,
    pub(super) inquiries: HashMap<u64, Inquiry>,
    pub(super) outbox: Vec<Datagram>,
    pub(super) verdicts: Vec<(Ticket, Verdict)>,
    pub(super) stats: Stats,
    next_sweep: Duration,
}

impl Node {
    /// Creates the state of a process; `id` is random.
    pub fn new(id: u64) -> Self {
        Self {
            id,
            // The upper half is left for the requests of this process.
            next_number: id >> 32,
            next_ticket: 0,
            entries: None,
            is_counted: true,
            order: OwnerOrder::default(),
            shards: Vec::new(),
            limits: HashMap::new(),
            max_expiry: Duration::ZERO,
            pools: HashMap::new(),
            wallet: Wallet::default(),
            inquiries: HashMap::new(),
            outbox: Vec::new(),
            verdicts: Vec::new(),
            stats: Stats::default(),
            next_sweep: Duration::ZERO,
        }
    }

    /// Whether the configuration has a workspace with a limit.
    pub fn is_active(&self) -> bool {
        !self.limits.is_empty()
    }

    /// Replaces the limits of the workspaces. Refill accrues from the first limit on.
    pub fn set_limits(&mut self, limits: impl Iterator<Item = Limit>, now: Duration) {
        let was_active = self.is_active();
        self.limits = limits.map(|limit| (WorkspaceId::new(&limit.name), limit)).collect();
        let longest = self.limits.values().map(|limit| limit.expiry).max();
        self.max_expiry = longest.unwrap_or_default().min(MAX_EXPIRY);
        if !was_active || !self.is_active() {
            self.restart_shards(now);
        }
        for index in 0..self.shards.len() {
            self.admit_unlimited(index);
        }
    }

    /// Replaces the list of entries.
    pub fn set_list(&mut self, own: &EntryRecord, records: &[EntryRecord]) {
        let count = shard_count(self.entries.unwrap_or_default());
        if !self.order.set_list(own, records, count) {
            return;
        }
        // Open requests refer to positions in the old list; the calls ask again.
        self.shards.iter_mut().for_each(|shard| shard.exchange = None);
        self.inquiries.clear();
    }

    /// Sets the number of entries, by which the refill is divided.
    pub fn set_entries(&mut self, entries: Option<u32>, now: Duration) {
        if entries == self.entries && !self.shards.is_empty() {
            return;
        }
        self.entries = entries;
        let count = shard_count(entries.unwrap_or_default());
        if self.shards.len() != count as usize {
            self.restart_shards(now);
        }
    }

    /// Sets whether the other entries count this one. Otherwise it has no part of the refill, and gets
    /// tokens from the owners only: the parts of the others make up the whole.
    pub fn set_counted(&mut self, is_counted: bool, now: Duration) {
        if is_counted && !self.is_counted {
            // What has accrued so far is part of the others' refill.
            self.shards.iter_mut().for_each(|shard| shard.span = Span::starting(now));
        }
        self.is_counted = is_counted;
    }

    /// The number of entries by which this one divides its refill; `None` if it has none.
    pub(super) fn refill_divisor(&self) -> Option<u32> {
        self.entries.filter(|_| self.is_counted)
    }

    /// Drops what has accrued and starts anew; waiting calls move to their shards.
    fn restart_shards(&mut self, now: Duration) {
        let count = shard_count(self.entries.unwrap_or_default());
        let mut waiters: Vec<Waiter> =
            self.shards.iter_mut().flat_map(|shard| shard.waiters.drain(..)).collect();
        // The waiting calls of a shard are in the order of their deadlines.
        waiters.sort_by_key(|waiter| waiter.deadline);
        self.order.set_shards(count);
        self.shards = (0..count).map(|shard| Shard::new(now, now + self.phase(shard))).collect();
        for waiter in waiters {
            self.shards[shard_of(waiter.workspace, count) as usize].waiters.push_back(waiter);
        }
    }

    /// A part of the interval that differs between entries, so that they do not all hand over at
    /// once.
    fn phase(&self, shard: u32) -> Duration {
        let hash = xxh3_64_with_seed(&self.id.to_le_bytes(), shard.into());
        HANDOVER_INTERVAL.mul_f64((hash >> 11) as f64 / (1u64 << 53) as f64)
    }

    /// Takes a token for a call of a workspace, or asks for one.
    pub fn admit(&mut self, id: WorkspaceId, now: Duration) -> Admission {
        let Some(limit) = self.limits.get(&id) else {
            return Admission::Decided(Verdict::Admitted);
        };
        if let Some(wait) = self.wallet.refusal(id, now) {
            return self.decided(Verdict::Refused(wait));
        }
        if self.wallet.take(id, now) {
            return self.decided(Verdict::Admitted);
        }
        let (limit, index) = (limit.clone(), self.shard_index(id));
        if self.owner(index) == ShardOwner::Own {
            let verdict = self.use_own_share(index, id, now);
            return self.decided(verdict);
        }
        let key = self.shard_key(index);
        if self.pools.get_mut(&key).is_some_and(|pool| pool.take_one(id, &limit, now)) {
            return self.decided(Verdict::Admitted);
        }
        Admission::Waiting(self.enqueue(index, id, now))
    }

    /// Whether a workspace uses all of its quota.
    pub fn is_limited(&self, id: WorkspaceId, now: Duration) -> bool {
        self.wallet.is_limited(id, now)
    }

    fn enqueue(&mut self, index: usize, workspace: WorkspaceId, now: Duration) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let waiter = Waiter { ticket, workspace, deadline: now + MAX_WAIT };
        self.shards[index].waiters.push_back(waiter);
        if self.shards[index].exchange.is_none() {
            self.start_exchange(index, now);
        }
        ticket
    }

    /// Forgets a call whose caller has left.
    pub fn cancel(&mut self, ticket: Ticket) {
        for shard in &mut self.shards {
            shard.waiters.retain(|waiter| waiter.ticket != ticket);
        }
    }

    /// Does what is due at `now`.
    pub fn poll(&mut self, now: Duration) {
        if !self.is_active() {
            return;
        }
        for index in 0..self.shards.len() {
            self.expire_waiters(index, now);
            self.step_exchange(index, now);
            self.hand_over(index, now);
        }
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_INTERVAL;
            self.sweep(now);
        }
    }

    /// The next time at which `poll` has something to do.
    pub fn next_due(&self) -> Option<Duration> {
        let due = self.shards.iter().map(Shard::next_due).fold(self.next_sweep, Duration::min);
        self.is_active().then_some(due)
    }

    /// The datagrams to send.
    pub fn take_outbox(&mut self) -> Vec<Datagram> {
        std::mem::take(&mut self.outbox)
    }

    /// The verdicts on waiting calls.
    pub fn take_verdicts(&mut self) -> Vec<(Ticket, Verdict)> {
        std::mem::take(&mut self.verdicts)
    }

    /// The counts since the last call.
    pub fn take_stats(&mut self) -> Stats {
        std::mem::take(&mut self.stats)
    }

    /// Counts a message that cannot be used.
    pub fn count_dropped(&mut self) {
        self.stats.dropped += 1;
    }

    /// Figures of the pools at `now`.
    pub fn owner_figures(&self, now: Duration) -> OwnerFigures {
        let pools = self.pools.values();
        OwnerFigures {
            pools: self.pools.len(),
            senders: pools.clone().map(Pool::sender_count).sum(),
            received: pools.map(|pool| pool.received(Duration::from_secs(1), now)).sum(),
        }
    }

    fn decided(&mut self, verdict: Verdict) -> Admission {
        self.count(verdict);
        Admission::Decided(verdict)
    }

    pub(super) fn decide(&mut self, ticket: Ticket, verdict: Verdict) {
        self.count(verdict);
        self.verdicts.push((ticket, verdict));
    }

    fn count(&mut self, verdict: Verdict) {
        match verdict {
            Verdict::Admitted => self.stats.granted += 1,
            Verdict::Refused(_) => self.stats.refused += 1,
        }
    }

    fn shard_index(&self, id: WorkspaceId) -> usize {
        shard_of(id, self.shards.len() as u32) as usize
    }

    /// The entry that is asked for the tokens of a shard.
    pub(super) fn owner(&self, index: usize) -> ShardOwner {
        let pool = self.pools.get(&self.shard_key(index));
        let has_senders = pool.is_some_and(|pool| pool.sender_count() > 0);
        self.order.first(index as u32, has_senders)
    }

    pub(super) fn shard_key(&self, index: usize) -> ShardKey {
        ShardKey { index: index as u32, count: self.shards.len() as u32 }
    }

    /// Moves this entry's own refill of a shard into its own pool, where it is used by the same rules
    /// as at any owner.
    pub(super) fn deposit_own(&mut self, index: usize, now: Duration) {
        let span = self.shards[index].span.take(now);
        let Some(entries) = self.refill_divisor() else { return };
        let key = self.shard_key(index);
        self.pools.entry(key).or_insert_with(|| Pool::new(now)).deposit(span, entries, now);
    }

    /// Decides about a call without asking another entry.
    pub(super) fn use_own_share(
        &mut self,
        index: usize,
        id: WorkspaceId,
        now: Duration,
    ) -> Verdict {
        let Some(limit) = self.limits.get(&id).cloned() else { return Verdict::Admitted };
        self.deposit_own(index, now);
        let key = self.shard_key(index);
        // An entry without refill has no pool, unless others hand theirs over to it.
        let Some(pool) = self.pools.get_mut(&key) else { return Verdict::Refused(MAX_REFUSAL) };
        let grant = pool.take(id, 1, &limit, now);
        if grant.granted > 0 {
            return Verdict::Admitted;
        }
        self.wallet.refuse(id, grant.wait, now);
        Verdict::Refused(grant.wait)
    }

    fn expire_waiters(&mut self, index: usize, now: Duration) {
        let waiters = &mut self.shards[index].waiters;
        let count = waiters.partition_point(|waiter| waiter.deadline <= now);
        let expired: Vec<Waiter> = waiters.drain(..count).collect();
        for waiter in expired {
            self.stats.unanswered += 1;
            let verdict = self.use_own_share(index, waiter.workspace, now);
            self.decide(waiter.ticket, verdict);
        }
    }

    /// Admits the waiting calls of workspaces that have no limit any more.
    fn admit_unlimited(&mut self, index: usize) {
        let waiters = std::mem::take(&mut self.shards[index].waiters);
        let (limited, unlimited): (Vec<_>, Vec<_>) =
            waiters.into_iter().partition(|waiter| self.limits.contains_key(&waiter.workspace));
        self.shards[index].waiters = limited.into();
        unlimited.iter().for_each(|waiter| self.decide(waiter.ticket, Verdict::Admitted));
    }

    fn sweep(&mut self, now: Duration) {
        self.wallet.sweep(now);
        self.inquiries.retain(|_, inquiry| now.saturating_sub(inquiry.sent) < SWEEP_INTERVAL);
        let (limits, max_expiry) = (&self.limits, self.max_expiry);
        self.pools.retain(|_, pool| {
            pool.sweep(max_expiry, now, &mut |change| log_refusals(limits, change));
            !pool.is_idle()
        });
    }
}

fn log_refusals(limits: &HashMap<WorkspaceId, Limit>, change: RefusalChange) {
    let Some(limit) = limits.get(&change.workspace) else { return };
    match change.is_refusing {
        true => log::info!(
            workspace = &*limit.name, refused = change.refused, refill = limit.refill;
            "workspace is being refused"
        ),
        false => log::info!(workspace = &*limit.name; "workspace is no longer refused"),
    }
}
