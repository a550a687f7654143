//! Batches of load hints: only changes, newest first, within a bound of bytes per second.

use std::collections::HashMap;

use super::budget::Budget;
use super::frame::DATAGRAM_BYTES;
use super::link::Link;
use super::message::{Load, Loads};
use crate::prelude::*;
use crate::process::target::LoadReport;
use crate::version::revision::Revision;

/// Bytes per second for load hints to all peers, with the overhead of their packets.
///
/// 3500 brought an entry's socket to 9976 of the 10,000 bytes per second of all control work.
const BYTES_PER_SECOND: u32 = 3000;
/// Bytes that QUIC, UDP and IPv4 add to a batch, and its part of the acknowledgements.
const BATCH_OVERHEAD: usize = 80;
/// Most reports in one batch, so that it fits one packet: 14 bytes each at the most.
const BATCH_REPORTS: usize = (DATAGRAM_BYTES - 32) / 14;
/// Shortest time between two batches to one peer.
const BATCH_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which an unchanged report is sent again.
const REPEAT_TIME: Duration = Duration::from_secs(1);

/// Targets by place, and batches under a budget.
pub struct LoadReports {
    budget: RefCell<Budget>,
    heard: RefCell<HashMap<u32, (LoadReport, Instant)>>,
    table: RefCell<Table>,
}

#[derive(Default)]
struct Table {
    addresses: Vec<SocketAddr>,
    places: HashMap<SocketAddr, u32>,
    revision: u64,
}

impl LoadReports {
    /// Creates an empty table of targets.
    pub fn new(now: Instant) -> Self {
        let budget = RefCell::new(Budget::new(BYTES_PER_SECOND, now));
        Self { budget, heard: RefCell::default(), table: RefCell::default() }
    }

    /// Takes over a revision; reports that wait under the old one are dropped.
    pub fn apply(&self, revision: &Revision, links: &[Rc<Link>]) {
        let services = revision.document.services.iter();
        let targets = services.flat_map(|service| service.targets.iter());
        let addresses: Vec<SocketAddr> = targets.map(|target| target.address).collect();
        let places = addresses.iter().enumerate();
        let places = places.map(|(place, address)| (*address, place as u32)).collect();
        self.heard.borrow_mut().clear();
        self.table.replace(Table { addresses, places, revision: revision.number });
        for link in links {
            link.loads.borrow_mut().clear();
            link.sent.borrow_mut().clear();
        }
    }

    /// Place of a target in the document.
    pub fn place(&self, address: SocketAddr) -> Option<u32> {
        self.table.borrow().places.get(&address).copied()
    }

    /// The target of a peer's load hint, if both sides have the same revision in force.
    pub fn address(&self, revision: u64, place: u32) -> Option<SocketAddr> {
        let table = self.table.borrow();
        if table.revision != revision {
            return None;
        }
        table.addresses.get(place as usize).copied()
    }

    /// Notes a peer's load hint.
    pub fn hear(&self, place: u32, report: LoadReport, at: Instant) {
        let mut heard = self.heard.borrow_mut();
        if heard.get(&place).is_none_or(|(_, known)| *known < at) {
            heard.insert(place, (report, at));
        }
    }

    /// The newest load hint of a target and when the target sent it.
    pub fn last_heard(&self, address: SocketAddr) -> Option<(LoadReport, Instant)> {
        self.heard.borrow().get(&self.place(address)?).copied()
    }

    /// Queues a report for a peer unless the peer has it already or another peer has told a later one.
    pub fn queue(&self, link: &Link, place: u32, report: LoadReport, at: Instant) {
        let is_known = link.sent.borrow().get(&place).is_some_and(|(sent, time)| {
            *sent == report && at.saturating_duration_since(*time) < REPEAT_TIME
        });
        let is_old = self.heard.borrow().get(&place).is_some_and(|(_, heard)| *heard > at);
        if !is_known && !is_old {
            link.loads.borrow_mut().insert(place, (report, at));
        }
    }

    /// Drops a waiting report that another peer has made obsolete.
    pub fn supersede(&self, link: &Link, place: u32, at: Instant) {
        let mut loads = link.loads.borrow_mut();
        if loads.get(&place).is_some_and(|(_, own)| *own <= at) {
            loads.remove(&place);
        }
    }

    /// Sends batches to the peers that have waited longest, as far as the budget goes.
    ///
    /// Returns the number of reports sent.
    pub fn flush(&self, links: &[Rc<Link>], now: Instant) -> u64 {
        let is_due = |link: &&Rc<Link>| {
            let waited = now.saturating_duration_since(link.flushed.get());
            waited >= BATCH_INTERVAL && !link.loads.borrow().is_empty()
        };
        let mut due: Vec<&Rc<Link>> = links.iter().filter(is_due).collect();
        due.sort_by_key(|link| link.flushed.get());
        let mut count = 0;
        for link in due {
            let batch = self.batch(link, now);
            let frame = batch.encode();
            if !self.budget.borrow_mut().take(frame.payload.len() + BATCH_OVERHEAD, now) {
                break;
            }
            count += batch.loads.len() as u64;
            link.outbox.send_hints(&frame);
            link.flushed.set(now);
            settle(link, &batch, now);
        }
        count
    }

    fn batch(&self, link: &Link, now: Instant) -> Loads {
        let loads = link.loads.borrow();
        let age = |at: Instant| now.saturating_duration_since(at);
        let loads = loads.iter().map(|(target, (report, at))| Load {
            target: *target,
            report: *report,
            age: age(*at),
        });
        let mut loads: Vec<Load> = loads.collect();
        loads.sort_by_key(|load| (load.age, load.target));
        loads.truncate(BATCH_REPORTS);
        Loads { revision: self.table.borrow().revision, loads }
    }
}

/// Notes what the peer has now; older reports that did not fit are dropped.
fn settle(link: &Link, batch: &Loads, now: Instant) {
    link.loads.borrow_mut().clear();
    let mut sent = link.sent.borrow_mut();
    for load in &batch.loads {
        sent.insert(load.target, (load.report, now));
    }
}
