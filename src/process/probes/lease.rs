//! The lease to probe one failure domain, as seen by one entry.

use super::record::{LateProbe, LeaseRecord, NewLease};
use crate::prelude::*;
use crate::process::claims::record::Holder;

/// Time for which the holder uses a lease, counted from just before it sends the record.
pub const LEASE_TERM: Duration = Duration::from_secs(6);
/// Time for which other entries request no lease, counted from when they read the record. It is
/// longer than `LEASE_TERM`, so that clocks may differ in speed by an eighth.
const FOREIGN_LEASE_TERM: Duration = Duration::from_millis(6750);
/// Remaining time of a lease at which the holder starts to renew it.
const RENEWAL_MARGIN: Duration = Duration::from_secs(4);
/// Shortest time between two appends of one entry.
const APPEND_INTERVAL: Duration = Duration::from_secs(1);
/// Time between taking over a lease and the first probe: the window of the budget, so that no
/// window holds probes of two holders, and a margin for a probe in transit.
const TAKEOVER_DELAY: Duration = Duration::from_millis(1250);
/// Time after which a late probe is no longer expected. The target has closed the connection of an
/// entry that paused for longer.
const MAX_LATENESS: Duration = Duration::from_secs(3600);

/// An entry's view of the lease, and whether it holds the lease.
pub struct Lease {
    own: Rc<Holder>,
    domain: String,
    /// Longest random delay before the entry requests a free lease.
    max_jitter: Duration,
    /// Offset and writer of the newest lease record; `None` after a gap in the records.
    last_lease: Option<(u64, Holder)>,
    /// An entry that does not hold the lease may not request it before this time.
    free_from: Instant,
    /// Nonces of the pending lease requests, and when each was sent.
    pending: Vec<(u64, Instant)>,
    granted: Option<Granted>,
    /// Probes that may still be sent, and when this entry learned of each.
    late_probes: Vec<(LateProbe, Instant)>,
    next_append: Instant,
}

/// A lease of this entry: the time until which it is held, and from which probes may be sent.
#[derive(Clone, Copy)]
struct Granted {
    until: Instant,
    probes_from: Instant,
}

impl Lease {
    /// Creates the view of an entry that has read no records. A lease whose record is no longer in
    /// the log may still be in use, so the entry waits for one term before it requests one.
    pub fn new(own: Rc<Holder>, domain: &str, max_jitter: Duration, now: Instant) -> Self {
        let mut lease = Self {
            own,
            domain: domain.into(),
            max_jitter,
            last_lease: None,
            free_from: now,
            pending: Vec::new(),
            granted: None,
            late_probes: Vec::new(),
            next_append: now,
        };
        lease.reset(now);
        lease
    }

    /// Resets the view after a gap in the records: gives up the lease and all pending requests.
    pub fn reset(&mut self, now: Instant) {
        self.last_lease = None;
        self.pending.clear();
        self.granted = None;
        self.defer(now);
    }

    /// Applies the record at `offset`, read at `now`.
    pub fn apply(&mut self, offset: u64, record: LeaseRecord, now: Instant) {
        match record {
            LeaseRecord::Lease(lease) => self.apply_lease(offset, lease, now),
            LeaseRecord::Paid { debt, .. } => self.late_probes.retain(|(known, _)| *known != debt),
        }
    }

    /// Returns the records to append at `now`. `is_idle` is whether this entry has no probe in the
    /// domain between the check of the lease and the response.
    pub fn records_to_append(&mut self, is_idle: bool, now: Instant) -> Vec<LeaseRecord> {
        if now < self.next_append {
            return Vec::new();
        }
        let mut records = Vec::new();
        if is_idle {
            records.extend(self.cleared_probe_records());
        }
        if self.needs_lease(now) {
            records.push(self.request_lease(now));
        }
        if !records.is_empty() {
            self.next_append = now + APPEND_INTERVAL;
        }
        records
    }

    /// Whether the entry holds the lease at `now`.
    pub fn is_held(&self, now: Instant) -> bool {
        self.granted.is_some_and(|granted| now < granted.until)
    }

    /// Most probes in any window to a target whose budget is `budget`; 0 without a lease.
    ///
    /// One probe of the budget is reserved for each earlier holder that may have paused between
    /// checking the clock and sending its probe, and at least one in any case.
    pub fn probe_limit(&self, budget: u32, now: Instant) -> u32 {
        let may_probe = |granted: Granted| now < granted.until && now >= granted.probes_from;
        if !self.granted.is_some_and(may_probe) {
            return 0;
        }
        budget.saturating_sub(self.count_late_holders(now).max(1))
    }

    fn apply_lease(&mut self, offset: u64, lease: NewLease, now: Instant) {
        let last_offset = self.last_lease.as_ref().map(|(offset, _)| *offset);
        let is_own = lease.writer == *self.own;
        let sent = self.pending.iter().find(|(nonce, _)| *nonce == lease.nonce).map(|(_, at)| *at);
        if let Some((_, writer)) = self.last_lease.replace((offset, lease.writer.clone())) {
            // The previous holder may resume from a pause and still send one probe.
            if writer != lease.writer {
                self.add_late_probe(LateProbe { holder: writer, nonce: lease.nonce }, now);
            }
        }
        for probe in lease.debts {
            self.add_late_probe(probe, now);
        }
        if !is_own {
            self.granted = None;
            return self.defer(now);
        }
        let Some(sent) = sent.filter(|_| lease.seen == last_offset) else { return self.defer(now) };
        // A lease that is renewed in time may be used for probes without a new delay.
        let held = self.granted.filter(|granted| sent < granted.until);
        let probes_from = held.map_or(sent + TAKEOVER_DELAY, |granted| granted.probes_from);
        self.granted = Some(Granted { until: sent + LEASE_TERM, probes_from });
    }

    /// Requests no lease while another entry may be using it, and for a random time after that.
    fn defer(&mut self, now: Instant) {
        self.free_from = now + FOREIGN_LEASE_TERM + self.max_jitter.mul_f64(rand::random());
    }

    fn add_late_probe(&mut self, probe: LateProbe, now: Instant) {
        if self.late_probes.iter().all(|(known, _)| *known != probe) {
            self.late_probes.push((probe, now));
        }
    }

    /// Number of holders that may still send a probe.
    fn count_late_holders(&self, now: Instant) -> u32 {
        let mut holders: Vec<&Holder> = Vec::new();
        for (probe, since) in &self.late_probes {
            let is_expired = now.saturating_duration_since(*since) >= MAX_LATENESS;
            if !is_expired && !holders.contains(&&probe.holder) {
                holders.push(&probe.holder);
            }
        }
        holders.len() as u32
    }

    /// Records that clear the late probes of this entry and of earlier processes of its name.
    fn cleared_probe_records(&self) -> Vec<LeaseRecord> {
        let own = self.late_probes.iter().filter(|(probe, _)| probe.holder.name == self.own.name);
        let domain = &self.domain;
        own.map(|(probe, _)| LeaseRecord::Paid { domain: domain.clone(), debt: probe.clone() })
            .collect()
    }

    fn needs_lease(&self, now: Instant) -> bool {
        match self.granted.filter(|granted| now < granted.until) {
            Some(granted) => granted.until - now <= RENEWAL_MARGIN,
            None => now >= self.free_from,
        }
    }

    fn request_lease(&mut self, now: Instant) -> LeaseRecord {
        self.pending.retain(|(_, at)| now.saturating_duration_since(*at) < LEASE_TERM);
        self.late_probes.retain(|(_, since)| now.saturating_duration_since(*since) < MAX_LATENESS);
        let nonce = rand::random();
        self.pending.push((nonce, now));
        LeaseRecord::Lease(NewLease {
            domain: self.domain.clone(),
            writer: (*self.own).clone(),
            nonce,
            seen: self.last_lease.as_ref().map(|(offset, _)| *offset),
            debts: self.late_probes.iter().map(|(probe, _)| probe.clone()).collect(),
        })
    }
}
