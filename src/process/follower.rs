//! Follows the stream `config` and renews the revision in force.

use rand::Rng;

use super::entry::Entry;
use crate::edge::log::Log;
use crate::prelude::*;
use crate::version::record::{ConfigRecord, RenewRecord, STREAM};

/// Longest wait of one read.
const READ_WAIT: Duration = Duration::from_secs(1);
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Bounds of the time between two looks whether a renewal is due.
const MIN_LOOK: Duration = Duration::from_millis(20);
const MAX_LOOK: Duration = Duration::from_secs(30);
/// Looks in one retention.
const LOOKS: u32 = 48;

/// Follows and renews until the task is dropped.
pub async fn follow(entry: Rc<Entry>, log: Rc<dyn Log>) {
    monoio::join!(read(&entry, &*log), renew(&entry, &*log));
}

/// Puts a revision in force that a peer offers; returns whether it was newer.
pub fn install(entry: &Entry, offer: &RenewRecord) -> bool {
    let changed = entry.configuration.install(offer);
    if changed {
        log::info!(revision = offer.number; "revision `{}` comes from a peer", offer.number);
        take_over(entry);
    }
    changed
}

async fn read(entry: &Entry, log: &dyn Log) {
    loop {
        let next = entry.configuration.history().next();
        match log.read(STREAM, next, READ_WAIT).await {
            Ok(page) => {
                if entry.configuration.apply(&page) {
                    take_over(entry);
                }
            }
            Err(error) => {
                if entry.configuration.set_fault(&error) {
                    log::warn!("cannot read the stream `config`: {error}");
                }
                monoio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

fn take_over(entry: &Entry) {
    let current = entry.configuration.history().current();
    let in_force = entry.revision().map_or(0, |revision| revision.number);
    if current.as_ref().is_some_and(|revision| revision.number > in_force) {
        entry.set_revision(current);
    }
}

async fn renew(entry: &Entry, log: &dyn Log) {
    let retention = entry.settings.retention();
    let interval = (retention / LOOKS).clamp(MIN_LOOK, MAX_LOOK);
    loop {
        monoio::time::sleep(interval).await;
        if !entry.configuration.is_renewal_due(retention) {
            continue;
        }
        // Entries find a renewal due at about the same time; one of them is enough.
        let pause = rand::rng().random_range(Duration::ZERO..interval * 4);
        monoio::time::sleep(pause).await;
        if entry.configuration.is_renewal_due(retention) {
            append(entry, log).await;
        }
    }
}

async fn append(entry: &Entry, log: &dyn Log) {
    let Some(base) = entry.configuration.base() else { return };
    let number = base.number;
    match log.append(STREAM, vec![ConfigRecord::Renew(base).encode()]).await {
        Ok(offset) => log::info!(offset, revision = number; "revision `{number}` renewed"),
        Err(error) => log::debug!(revision = number; "cannot renew yet: {error}"),
    }
}
