//! Reads the stream `config` continuously and renews the revision in force.

use rand::Rng;

use super::entry::Entry;
use crate::edge::log::Log;
use crate::prelude::*;
use crate::version::record::{ConfigRecord, RenewRecord, STREAM};

/// Longest time that one read waits for a new record.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after a failed read.
const READ_BACKOFF: Duration = Duration::from_millis(200);
/// Bounds of the interval at which the entry checks whether a renewal is due.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(30);
/// Renewal checks in one retention, within the bounds of the interval.
const CHECKS_PER_RETENTION: u32 = 48;

/// Reads the stream and renews the revision until the task is dropped.
pub async fn follow(entry: Rc<Entry>, log: Rc<dyn Log>) {
    monoio::join!(read_stream(&entry, &*log), renew_when_due(&entry, &*log));
}

/// Puts a revision received from a peer in force; returns whether it was newer.
pub fn install(entry: &Entry, renewal: &RenewRecord) -> bool {
    let changed = entry.configuration.install(renewal);
    if changed {
        log::info!(revision = renewal.number; "revision `{}` received from a peer", renewal.number);
        activate_current(entry);
    }
    changed
}

async fn read_stream(entry: &Entry, log: &dyn Log) {
    loop {
        let next = entry.configuration.history().next();
        match log.read(STREAM, next, LONG_POLL_TIMEOUT).await {
            Ok(page) => {
                if entry.configuration.apply(&page) {
                    activate_current(entry);
                }
            }
            Err(error) => {
                if entry.configuration.set_log_fault(&error) {
                    log::warn!("cannot read the stream `config`: {error}");
                }
                monoio::time::sleep(READ_BACKOFF).await;
            }
        }
    }
}

/// Puts the current revision of the history in force if it is newer than the one in force.
fn activate_current(entry: &Entry) {
    let current = entry.configuration.history().current();
    let in_force = entry.revision().map_or(0, |revision| revision.number);
    if current.as_ref().is_some_and(|revision| revision.number > in_force) {
        entry.set_revision(current);
    }
}

async fn renew_when_due(entry: &Entry, log: &dyn Log) {
    let retention = entry.settings.retention();
    let interval = (retention / CHECKS_PER_RETENTION).clamp(MIN_CHECK_INTERVAL, MAX_CHECK_INTERVAL);
    loop {
        monoio::time::sleep(interval).await;
        if !entry.configuration.is_renewal_due(retention) {
            continue;
        }
        // All entries find the renewal due at about the same time, but one renewal is enough:
        // after the random delay, most of them have read another entry's renewal and append none.
        let jitter = rand::rng().random_range(Duration::ZERO..interval * 4);
        monoio::time::sleep(jitter).await;
        if entry.configuration.is_renewal_due(retention) {
            append_renewal(entry, log).await;
        }
    }
}

async fn append_renewal(entry: &Entry, log: &dyn Log) {
    let Some(base) = entry.configuration.base() else { return };
    let number = base.number;
    match log.append(STREAM, vec![ConfigRecord::Renew(base).encode()]).await {
        Ok(offset) => log::info!(offset, revision = number; "revision `{number}` renewed"),
        Err(error) => {
            log::debug!(revision = number; "cannot append the renewal: {error}")
        }
    }
}
