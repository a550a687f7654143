//! The lease of one failure domain, as one entry sees it.

use super::record::{Debt, LeaseRecord, NewLease};
use crate::prelude::*;
use crate::process::claims::record::Holder;

/// Time for which the holder uses a lease, counted from before it sent the record.
pub const TERM: Duration = Duration::from_secs(6);
/// Time for which others respect a lease, counted from when they read the record. It exceeds the
/// term, so that clocks may differ in speed by an eighth.
const RESPECT: Duration = Duration::from_millis(6750);
/// Time left of a lease at which the holder renews it.
const RENEW_BEFORE: Duration = Duration::from_secs(4);
/// Shortest time between two records of one entry.
const RETRY: Duration = Duration::from_secs(1);
/// Time between a takeover and the first probe: the budget's window, so that no window holds
/// probes of two holders, and some time for a probe to arrive.
const SETTLE: Duration = Duration::from_millis(1250);
/// Time after which a debt is dropped. A connection on which an entry paused for longer no longer
/// exists at the target.
const DEBT_AGE: Duration = Duration::from_secs(3600);

/// What an entry knows of the lease and whether it holds it.
pub struct Lease {
    own: Rc<Holder>,
    domain: String,
    /// Longest extra wait before the entry asks for a free lease.
    spread: Duration,
    /// Offset and writer of the newest lease record read without a gap since.
    last: Option<(u64, Holder)>,
    /// No lease may be asked for before this time.
    free_from: Instant,
    sent: Vec<(u64, Instant)>,
    granted: Option<Granted>,
    debts: Vec<(Debt, Instant)>,
    next_try: Instant,
}

#[derive(Clone, Copy)]
struct Granted {
    until: Instant,
    probes_from: Instant,
}

impl Lease {
    /// Creates the view of an entry that has read nothing yet. Leases that the log no longer
    /// shows may still be in use, so the entry waits for one term.
    pub fn new(own: Rc<Holder>, domain: &str, spread: Duration, now: Instant) -> Self {
        let mut lease = Self {
            own,
            domain: domain.into(),
            spread,
            last: None,
            free_from: now,
            sent: Vec::new(),
            granted: None,
            debts: Vec::new(),
            next_try: now,
        };
        lease.lose_track(now);
        lease
    }

    /// Records may have been missed: what was sent before counts for nothing.
    pub fn lose_track(&mut self, now: Instant) {
        self.last = None;
        self.sent.clear();
        self.granted = None;
        self.respect(now);
    }

    /// Applies the record at `offset`, read at `now`.
    pub fn apply(&mut self, offset: u64, record: LeaseRecord, now: Instant) {
        match record {
            LeaseRecord::Lease(lease) => self.apply_lease(offset, lease, now),
            LeaseRecord::Paid { debt, .. } => self.debts.retain(|(known, _)| *known != debt),
        }
    }

    /// The records to append at `now`. `is_idle` tells whether no probe of this entry in the
    /// domain is between its check of the lease and its response.
    pub fn wishes(&mut self, is_idle: bool, now: Instant) -> Vec<LeaseRecord> {
        if now < self.next_try {
            return Vec::new();
        }
        let mut records = Vec::new();
        if is_idle {
            records.extend(self.payments());
        }
        if self.wants_lease(now) {
            records.push(self.ask(now));
        }
        if !records.is_empty() {
            self.next_try = now + RETRY;
        }
        records
    }

    /// Whether the entry holds the lease at `now`.
    pub fn is_held(&self, now: Instant) -> bool {
        self.granted.is_some_and(|granted| now < granted.until)
    }

    /// Most probes in any window for each target whose budget is `budget`; 0 without a lease.
    ///
    /// One probe of the budget stays in reserve for each earlier holder that may have paused
    /// between its check of the clock and its probe, and at least one.
    pub fn allowance(&self, budget: u32, now: Instant) -> u32 {
        let may_probe = |granted: Granted| now < granted.until && now >= granted.probes_from;
        if !self.granted.is_some_and(may_probe) {
            return 0;
        }
        budget.saturating_sub(self.debtors(now).max(1))
    }

    fn apply_lease(&mut self, offset: u64, lease: NewLease, now: Instant) {
        let seen = self.last.as_ref().map(|(offset, _)| *offset);
        let is_own = lease.writer == *self.own;
        let sent = self.sent.iter().find(|(nonce, _)| *nonce == lease.nonce).map(|(_, at)| *at);
        if let Some((_, writer)) = self.last.replace((offset, lease.writer.clone())) {
            if writer != lease.writer {
                self.owe(Debt { holder: writer, nonce: lease.nonce }, now);
            }
        }
        for debt in lease.debts {
            self.owe(debt, now);
        }
        if !is_own {
            self.granted = None;
            return self.respect(now);
        }
        let Some(sent) = sent.filter(|_| lease.seen == seen) else { return self.respect(now) };
        let held = self.granted.filter(|granted| sent < granted.until);
        let probes_from = held.map_or(sent + SETTLE, |granted| granted.probes_from);
        self.granted = Some(Granted { until: sent + TERM, probes_from });
    }

    fn respect(&mut self, now: Instant) {
        self.free_from = now + RESPECT + self.spread.mul_f64(rand::random());
    }

    fn owe(&mut self, debt: Debt, now: Instant) {
        if self.debts.iter().all(|(known, _)| *known != debt) {
            self.debts.push((debt, now));
        }
    }

    fn debtors(&self, now: Instant) -> u32 {
        let mut debtors: Vec<&Holder> = Vec::new();
        for (debt, since) in &self.debts {
            let is_old = now.saturating_duration_since(*since) >= DEBT_AGE;
            if !is_old && !debtors.contains(&&debt.holder) {
                debtors.push(&debt.holder);
            }
        }
        debtors.len() as u32
    }

    /// Pays the entry's own debts and those of ended processes of its name.
    fn payments(&self) -> Vec<LeaseRecord> {
        let own = self.debts.iter().filter(|(debt, _)| debt.holder.name == self.own.name);
        let domain = &self.domain;
        own.map(|(debt, _)| LeaseRecord::Paid { domain: domain.clone(), debt: debt.clone() })
            .collect()
    }

    fn wants_lease(&self, now: Instant) -> bool {
        match self.granted.filter(|granted| now < granted.until) {
            Some(granted) => granted.until - now <= RENEW_BEFORE,
            None => now >= self.free_from,
        }
    }

    fn ask(&mut self, now: Instant) -> LeaseRecord {
        self.sent.retain(|(_, at)| now.saturating_duration_since(*at) < TERM);
        self.debts.retain(|(_, since)| now.saturating_duration_since(*since) < DEBT_AGE);
        let nonce = rand::random();
        self.sent.push((nonce, now));
        LeaseRecord::Lease(NewLease {
            domain: self.domain.clone(),
            writer: (*self.own).clone(),
            nonce,
            seen: self.last.as_ref().map(|(offset, _)| *offset),
            debts: self.debts.iter().map(|(debt, _)| debt.clone()).collect(),
        })
    }
}
