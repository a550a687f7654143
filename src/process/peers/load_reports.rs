//! Sends load reports of targets to peers in batches: only changed reports, newest first, within a
//! limit of bytes per second.

use std::collections::HashMap;

use super::budget::Budget;
use super::frame::MAX_DATAGRAM_BYTES;
use super::link::Link;
use super::message::{Load, LoadBatch};
use crate::prelude::*;
use crate::process::target::LoadReport;
use crate::version::revision::Revision;

/// Maximum rate of load reports to all peers together, with the overhead of their packets.
/// At 3500, an entry's socket carried 9976 of the 10,000 bytes per second allowed for all control
/// traffic.
const MAX_BYTES_PER_SECOND: u32 = 3000;
/// Bytes that QUIC, UDP and IPv4 add to a batch, with its share of the acknowledgements.
const BATCH_OVERHEAD_BYTES: usize = 80;
/// Maximum number of reports in a batch, so that it fits one datagram: 14 bytes or less for
/// each, and 32 for the rest of the frame.
const MAX_BATCH_REPORTS: usize = (MAX_DATAGRAM_BYTES - 32) / 14;
/// Minimum interval between two batches to one peer.
const MIN_BATCH_INTERVAL: Duration = Duration::from_millis(20);
/// Interval after which an unchanged report is sent again.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);

/// Load reports received from peers, and the batches to send under a budget.
pub struct LoadReports {
    budget: RefCell<Budget>,
    /// Reports from peers by the index of the target.
    received: RefCell<HashMap<u32, (LoadReport, Instant)>>,
    table: RefCell<TargetTable>,
}

/// The targets of the revision in force, in the order of its document.
#[derive(Default)]
struct TargetTable {
    addresses: Vec<SocketAddr>,
    indices: HashMap<SocketAddr, u32>,
    revision: u64,
}

impl LoadReports {
    /// Creates the state of an entry without a revision.
    pub fn new(now: Instant) -> Self {
        let budget = RefCell::new(Budget::new(MAX_BYTES_PER_SECOND, now));
        Self { budget, received: RefCell::default(), table: RefCell::default() }
    }

    /// Switches to a revision and drops the reports queued under the previous one, whose indices
    /// may name other targets.
    pub fn apply(&self, revision: &Revision, links: &[Rc<Link>]) {
        let services = revision.document.services.iter();
        let targets = services.flat_map(|service| service.targets.iter());
        let addresses: Vec<SocketAddr> = targets.map(|target| target.address).collect();
        let indexed = addresses.iter().enumerate();
        let indices = indexed.map(|(index, address)| (*address, index as u32)).collect();
        self.received.borrow_mut().clear();
        self.table.replace(TargetTable { addresses, indices, revision: revision.number });
        for link in links {
            link.pending_loads.borrow_mut().clear();
            link.sent_loads.borrow_mut().clear();
        }
    }

    /// Index of a target in the document.
    pub fn index_of(&self, address: SocketAddr) -> Option<u32> {
        self.table.borrow().indices.get(&address).copied()
    }

    /// The target of a peer's load report, if both sides have the same revision in force.
    pub fn address(&self, revision: u64, index: u32) -> Option<SocketAddr> {
        let table = self.table.borrow();
        if table.revision != revision {
            return None;
        }
        table.addresses.get(index as usize).copied()
    }

    /// Records a load report from a peer unless a later one is known.
    pub fn record(&self, index: u32, report: LoadReport, at: Instant) {
        let mut received = self.received.borrow_mut();
        if received.get(&index).is_none_or(|(_, known)| *known < at) {
            received.insert(index, (report, at));
        }
    }

    /// The latest load report that peers sent of a target, and when the target sent it.
    pub fn last_received(&self, address: SocketAddr) -> Option<(LoadReport, Instant)> {
        self.received.borrow().get(&self.index_of(address)?).copied()
    }

    /// Queues a report for a peer, unless the same report was sent to the peer recently or a peer
    /// has sent this entry a later one.
    pub fn queue(&self, link: &Link, index: u32, report: LoadReport, at: Instant) {
        let is_duplicate = link.sent_loads.borrow().get(&index).is_some_and(|(sent, time)| {
            *sent == report && at.saturating_duration_since(*time) < RESEND_INTERVAL
        });
        let is_outdated =
            self.received.borrow().get(&index).is_some_and(|(_, received)| *received > at);
        if !is_duplicate && !is_outdated {
            link.pending_loads.borrow_mut().insert(index, (report, at));
        }
    }

    /// Drops a queued report that is not later than one received from another peer.
    pub fn drop_obsolete(&self, link: &Link, index: u32, at: Instant) {
        let mut loads = link.pending_loads.borrow_mut();
        if loads.get(&index).is_some_and(|(_, queued_at)| *queued_at <= at) {
            loads.remove(&index);
        }
    }

    /// Sends batches until the budget is spent, first to the peer whose last batch is the oldest.
    ///
    /// Returns the number of reports sent.
    pub fn flush(&self, links: &[Rc<Link>], now: Instant) -> u64 {
        let is_due = |link: &&Rc<Link>| {
            let waited = now.saturating_duration_since(link.last_flush.get());
            waited >= MIN_BATCH_INTERVAL && !link.pending_loads.borrow().is_empty()
        };
        let mut due: Vec<&Rc<Link>> = links.iter().filter(is_due).collect();
        due.sort_by_key(|link| link.last_flush.get());
        let mut count = 0;
        for link in due {
            let batch = self.batch(link, now);
            let frame = batch.encode();
            if !self.budget.borrow_mut().try_take(frame.payload.len() + BATCH_OVERHEAD_BYTES, now) {
                break;
            }
            count += batch.loads.len() as u64;
            link.outbox.send_load_batch(&frame);
            link.last_flush.set(now);
            record_sent(link, &batch, now);
        }
        count
    }

    /// The newest reports queued for a peer, as many as fit one batch.
    fn batch(&self, link: &Link, now: Instant) -> LoadBatch {
        let pending = link.pending_loads.borrow();
        let age = |at: Instant| now.saturating_duration_since(at);
        let loads = pending.iter().map(|(index, (report, at))| Load {
            target_index: *index,
            report: *report,
            age: age(*at),
        });
        let mut loads: Vec<Load> = loads.collect();
        loads.sort_by_key(|load| (load.age, load.target_index));
        loads.truncate(MAX_BATCH_REPORTS);
        LoadBatch { revision: self.table.borrow().revision, loads }
    }
}

/// Records the reports sent to a peer and drops the older ones that did not fit the batch.
fn record_sent(link: &Link, batch: &LoadBatch, now: Instant) {
    link.pending_loads.borrow_mut().clear();
    let mut sent = link.sent_loads.borrow_mut();
    for load in &batch.loads {
        sent.insert(load.target_index, (load.report, now));
    }
}
