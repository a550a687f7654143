//! Handles the messages and requests of peers.

use super::link::Link;
use super::message::{LoadBatch, Message, Reply, Request};
use crate::prelude::*;
use crate::process::entry::Entry;

/// Handles a message of a control stream.
pub fn handle_message(entry: &Entry, link: &Link, message: Message) {
    let now = Instant::now();
    match message {
        Message::Drain(addresses) => {
            for address in addresses {
                // The first drain signal of a target is queued in the scheduler's updates, so this
                // entry forwards it to its other peers.
                entry.scheduler.borrow_mut().mark_draining(address, now);
            }
        }
        // The session handles the hello message.
        Message::Hello(_) => {}
        Message::Interest { relay } => link.wants_relay.set(relay),
        Message::Members(records) => entry.peers.record_members(&records),
        Message::Revision(announcement) => link.announced.set(Some(announcement)),
    }
}

/// Records a batch of load reports and, if it comes from the same failure domain, relays the
/// reports to peers of other domains that requested them.
pub fn handle_load_batch(entry: &Entry, link: &Link, batch: &LoadBatch) {
    let peers = &entry.peers;
    let now = Instant::now();
    let is_local = link.hello.domain == entry.settings.domain;
    let links = peers.links();
    for load in &batch.loads {
        let Some(address) = peers.load_reports.address(batch.revision, load.target_index) else {
            entry.metrics.count("cornellink_peer_hints_stale_total");
            return;
        };
        entry.scheduler.borrow_mut().record_peer_load(address, load.report, load.age);
        let Some(at) = now.checked_sub(load.age) else { continue };
        peers.load_reports.record(load.target_index, load.report, at);
        for other in links.iter().filter(|_| is_local) {
            if other.hello.domain == entry.settings.domain {
                peers.load_reports.drop_obsolete(other, load.target_index, at);
            } else if other.wants_relay.get() {
                peers.load_reports.queue(other, load.target_index, load.report, at);
            }
        }
    }
}

/// Computes the reply to a request.
pub fn handle_request(entry: &Entry, request: Request) -> Reply {
    match request {
        Request::Claim(query) => entry.peers.answer_claim(&query),
        Request::Document { number } => document(entry, number),
    }
}

fn document(entry: &Entry, number: u64) -> Reply {
    let base = entry.configuration.base().filter(|base| base.number == number);
    base.map_or(Reply::Missing, Reply::Document)
}
