//! Follows the directory: what is believed, since when, and until when.
//!
//! A feed starts with a snapshot and goes on with the changes behind it. After a gap the snapshot
//! is read again, and entries that it does not hold are gone. While the directory is away, the
//! last routes and targets stay in force. After an outage, entries that are missing count as gone
//! only once their targets have had time to renew them.
//!
//! An entry to which another one tells all this does not read as long as it hears fresh news.

use super::contact::Turn;
use super::Gateway;
use crate::edge::directory::{Directory, Feed, Read};
use crate::prelude::*;

/// Shortest time between two reads of the targets' feed when it changes all the time. A draining
/// target may get calls for as long.
const TARGETS_PAUSE: Duration = Duration::from_millis(400);
/// Pause after a failed read; each further failure doubles it.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Longest such pause of an entry that others wait for, or that cannot serve yet.
const READER_PAUSE: Duration = Duration::from_millis(500);
/// Longest such pause of an entry to which another one will tell the directory's return.
const OTHER_PAUSE: Duration = Duration::from_secs(3);
/// Time between two looks whether the news that another entry tells are still fresh.
const REST_LOOK: Duration = Duration::from_millis(25);

/// Follows both feeds until the task is dropped.
pub async fn follow(gateway: Rc<Gateway>, directory: Rc<dyn Directory>) {
    let regained = Cell::new(0);
    let targets = follow_targets(&gateway, &*directory, &regained);
    let routes = follow_routes(&gateway, &*directory, &regained);
    monoio::join!(targets, routes);
}

async fn follow_targets(gateway: &Gateway, directory: &dyn Directory, regained: &Cell<u32>) {
    let mut failures = 0;
    loop {
        rest(gateway).await;
        let start = Instant::now();
        let next = gateway.next_targets.get();
        match read(directory, Feed::Targets, next).await {
            Ok(result) => {
                failures = 0;
                // An answer that waited for a change tells the state at its end.
                let now = Instant::now();
                let turn = gateway.contact.borrow_mut().succeed(now);
                if let Turn::Regained(away) = turn {
                    log::info!(feed = "targets", away_ms = away.as_millis() as u64; "directory regained");
                    regained.set(regained.get() + 1);
                }
                gateway.read.set(Some(now));
                gateway.sharing.knowledge.borrow_mut().learn(Feed::Targets, now);
                match result {
                    Read::Batch(batch) => {
                        gateway.apply_targets(directory, batch, next.is_none());
                        gateway.purge();
                        monoio::time::sleep(TARGETS_PAUSE.saturating_sub(start.elapsed())).await;
                    }
                    Read::Gap => {
                        note_gap(Feed::Targets, next);
                        gateway.next_targets.set(None);
                    }
                }
            }
            Err(error) => {
                if gateway.contact.borrow_mut().fail() == Turn::Lost {
                    log::warn!(feed = "targets", error:% = error; "directory lost");
                    gateway.metrics.count("cornellink_directory_lost_total");
                }
                gateway.purge();
                gateway.tell_age();
                back_off(gateway, &mut failures).await;
            }
        }
    }
}

async fn follow_routes(gateway: &Gateway, directory: &dyn Directory, regained: &Cell<u32>) {
    let mut failures = 0;
    loop {
        rest(gateway).await;
        let next = gateway.next_routes.get();
        let result = monoio::select! {
            result = read(directory, Feed::Routes, next) => result,
            // The read may be one that the directory lost in its outage.
            () = changes_of(regained) => continue,
        };
        match result {
            Ok(result) => {
                if std::mem::take(&mut failures) > 0 {
                    log::info!(feed = "routes"; "directory regained");
                }
                gateway.sharing.knowledge.borrow_mut().learn(Feed::Routes, Instant::now());
                match result {
                    Read::Batch(batch) => gateway.apply_routes(directory, batch),
                    Read::Gap => {
                        note_gap(Feed::Routes, next);
                        gateway.next_routes.set(None);
                    }
                }
            }
            Err(error) => {
                if failures == 0 {
                    log::warn!(feed = "routes", error:% = error; "directory lost");
                }
                back_off(gateway, &mut failures).await;
            }
        }
    }
}

/// Resolves when the count has changed. A semaphore panicked here when a wait that it had just
/// served was dropped.
async fn changes_of(count: &Cell<u32>) {
    let before = count.get();
    while count.get() == before {
        monoio::time::sleep(REST_LOOK).await;
    }
}

/// Pauses after a failed read, longer after each, unless another entry tells fresh news.
///
/// Without it, all entries of a domain would press on a directory that is away.
async fn back_off(gateway: &Gateway, failures: &mut u32) {
    let longest = match gateway.sharing.is_own_reader() || !gateway.is_ready() {
        true => READER_PAUSE,
        false => OTHER_PAUSE,
    };
    let pause = RETRY_PAUSE.saturating_mul(1 << (*failures).min(8)).min(longest);
    *failures += 1;
    monoio::time::sleep(gateway.spread(pause)).await;
}

/// Waits as long as another entry tells fresh news.
async fn rest(gateway: &Gateway) {
    loop {
        let rest = gateway.sharing.rest(Instant::now());
        if rest.is_zero() {
            return;
        }
        // The reader may change meanwhile, which is seen soon only while nothing is known.
        let is_ready = gateway.is_ready();
        monoio::time::sleep(if is_ready { rest.max(REST_LOOK) } else { REST_LOOK }).await;
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

fn note_gap(feed: Feed, next: Option<u64>) {
    log::info!(feed = feed.name(), from = next.unwrap_or_default(); "changes were dropped");
}
