//! Follows the directory: what is believed, since when, and until when.
//!
//! A feed starts with a snapshot and goes on with the changes behind it. After a gap the snapshot
//! is read again, and entries that it does not hold are gone. While the directory is away, the
//! last routes and targets stay in force. After an outage, entries that are missing count as gone
//! only once their targets have had time to renew them.

use std::collections::HashSet;

use local_sync::semaphore::Semaphore;

use super::contact::Turn;
use super::roster::Effect;
use super::Gateway;
use crate::edge::directory::{Batch, Change, Directory, Feed, News, Read};
use crate::prelude::*;

/// Time between two reads of the targets' feed, in which a draining target may get calls.
const TARGETS_PAUSE: Duration = Duration::from_millis(800);
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Follows both feeds until the task is dropped.
pub async fn follow(gateway: Rc<Gateway>, directory: Rc<dyn Directory>) {
    let regained = Semaphore::new(0);
    let targets = follow_targets(&gateway, &*directory, &regained);
    let routes = follow_routes(&gateway, &*directory, &regained);
    monoio::join!(targets, routes);
}

async fn follow_targets(gateway: &Gateway, directory: &dyn Directory, regained: &Semaphore) {
    let mut next = None;
    loop {
        let start = Instant::now();
        let result = read(directory, Feed::Targets, next).await;
        let now = Instant::now();
        match result {
            Ok(result) => {
                if let Turn::Regained(away) = gateway.contact.borrow_mut().succeed(now) {
                    log::info!(feed = "targets", away_ms = away.as_millis() as u64; "directory regained");
                    regained.add_permits(1);
                }
                next = match result {
                    Read::Batch(batch) => Some(apply_targets(gateway, batch, next.is_none(), now)),
                    Read::Gap => note_gap(Feed::Targets, next),
                };
                purge(gateway, now);
                let is_behind = next.is_none();
                if !is_behind {
                    monoio::time::sleep(TARGETS_PAUSE.saturating_sub(start.elapsed())).await;
                }
            }
            Err(error) => {
                if gateway.contact.borrow_mut().fail() == Turn::Lost {
                    log::warn!(feed = "targets", error:% = error; "directory lost");
                    gateway.metrics.count("cornellink_directory_lost_total");
                }
                purge(gateway, now);
                monoio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn follow_routes(gateway: &Gateway, directory: &dyn Directory, regained: &Semaphore) {
    let mut next = None;
    let mut failing = false;
    loop {
        let result = monoio::select! {
            result = read(directory, Feed::Routes, next) => result,
            // The read may be one that the directory lost in its outage.
            permit = regained.acquire() => {
                if let Ok(permit) = permit {
                    permit.forget();
                }
                continue;
            }
        };
        match result {
            Ok(result) => {
                if std::mem::take(&mut failing) {
                    log::info!(feed = "routes"; "directory regained");
                }
                next = match result {
                    Read::Batch(batch) => Some(apply_routes(gateway, batch)),
                    Read::Gap => note_gap(Feed::Routes, next),
                };
            }
            Err(error) => {
                if !std::mem::replace(&mut failing, true) {
                    log::warn!(feed = "routes", error:% = error; "directory lost");
                }
                monoio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Reads what follows `next`, or a snapshot.
async fn read(
    directory: &dyn Directory,
    feed: Feed,
    next: Option<u64>,
) -> crate::edge::Result<Read> {
    match next {
        Some(next) => directory.changes(feed, next, feed.longest_wait()).await,
        None => directory.snapshot(feed).await.map(Read::Batch),
    }
}

fn note_gap(feed: Feed, next: Option<u64>) -> Option<u64> {
    log::info!(feed = feed.name(), from = next.unwrap_or_default(); "changes were dropped");
    None
}

fn apply_routes(gateway: &Gateway, batch: Batch) -> u64 {
    for change in &batch.changes {
        match &change.news {
            News::Routes(table) => {
                let in_force = gateway.set_table(table.clone());
                log::info!(
                    version = table.version, offset = change.offset, routes = table.len(),
                    in_force; "routes received"
                );
            }
            News::Unusable(reason) => {
                log::warn!(offset = change.offset, reason = reason.as_str(); "routes refused");
            }
            News::Target(_) | News::Removed => {}
        }
    }
    batch.next
}

fn apply_targets(gateway: &Gateway, batch: Batch, is_snapshot: bool, now: Instant) -> u64 {
    let absence = gateway.contact.borrow().absence(now);
    let mut roster = gateway.roster.borrow_mut();
    for change in &batch.changes {
        tell(change, &roster.apply(change, absence, now));
    }
    if is_snapshot {
        let held: HashSet<Rc<str>> =
            batch.changes.iter().map(|change| change.key.clone()).collect();
        for (id, effect) in roster.retain(&held, absence) {
            log::info!(target_id = &*id, effect:? = effect; "target missing");
        }
        gateway.set_filled();
    }
    gateway.metrics.gauge("cornellink_targets", roster.len() as f64);
    batch.next
}

fn tell(change: &Change, effect: &Effect) {
    match effect {
        Effect::Unchanged => {}
        Effect::Unusable(reason) => {
            log::warn!(target_id = &*change.key, offset = change.offset, reason = reason.as_str(); "target refused");
        }
        _ => {
            log::info!(target_id = &*change.key, offset = change.offset, effect:? = effect; "target changed");
        }
    }
}

fn purge(gateway: &Gateway, now: Instant) {
    for id in gateway.roster.borrow_mut().purge(now) {
        log::info!(target_id = &*id; "target did not return");
    }
}
