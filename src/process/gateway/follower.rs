//! Follows the directory: what is believed, since when, and until when.
//!
//! A feed starts with a snapshot and goes on with the changes behind it. After a gap the snapshot
//! is read again, and entries that it does not hold are gone. While the directory is away, the
//! last routes and targets stay in force. After an outage, entries that are missing count as gone
//! only once their targets have had time to renew them.
//!
//! An entry to which another one tells all this does not read as long as it hears fresh news.

use super::back_off::BackOff;
use super::directory_health::Turn;
use super::pace::Pace;
use super::{overdue, Gateway};
use crate::edge;
use crate::edge::directory::{Directory, Feed, Read};
use crate::prelude::*;

/// Shortest time between two reads of the targets' feed when it changes all the time. A draining
/// target may get calls for as long.
const TARGETS_PAUSE: Duration = Duration::from_millis(400);
/// Wait of a read of the routes after one that failed, so that a lost one is noticed soon.
const PROOF_WAIT: Duration = Duration::from_millis(100);
/// Pause of the routes' feed while the targets' feed fails as well, whose return ends it.
const ROUTES_PAUSE: Duration = Duration::from_secs(3);
/// Shortest and longest time between two looks whether the news that another entry tells are still
/// fresh, and whether it is still the one that reads.
const REST_LOOK: Duration = Duration::from_millis(25);
const REST_LONG: Duration = Duration::from_millis(200);

/// Follows both feeds until the task is dropped.
pub async fn follow(gateway: Rc<Gateway>, directory: Rc<dyn Directory>) {
    let regained = Cell::new(0);
    let targets = follow_targets(&gateway, &*directory, &regained);
    let routes = follow_routes(&gateway, &*directory, &regained);
    monoio::join!(targets, routes);
}

async fn follow_targets(gateway: &Gateway, directory: &dyn Directory, regained: &Cell<u32>) {
    let mut back_off = BackOff::default();
    let mut pace = Pace::default();
    loop {
        rest(gateway).await;
        let start = Instant::now();
        let next = gateway.next_targets.get();
        let wait = pace.wait(gateway.read.get().map(|read| read.elapsed()));
        let result = match next {
            // In an outage, second reads would only be lost as well.
            Some(next) if !back_off.is_failing() => {
                overdue::read(directory, Feed::Targets, next, wait, pace.slack()).await
            }
            Some(_) | None => read(directory, Feed::Targets, next, wait).await,
        };
        count(gateway, Feed::Targets, &result);
        match result {
            Ok(result) => {
                back_off.succeed();
                // An answer that waited for a change tells the state at its end.
                let now = Instant::now();
                let turn = gateway.directory_health.borrow_mut().succeed(now);
                if let Turn::Regained(away) = turn {
                    log::info!(feed = "targets", away_ms = away.as_millis() as u64; "directory regained");
                    regained.set(regained.get() + 1);
                }
                gateway.read.set(Some(now));
                gateway.sharing.freshness.borrow_mut().learn(Feed::Targets, now);
                match result {
                    Read::Batch(batch) => {
                        if batch.changes.is_empty() {
                            pace.learn(wait, start.elapsed());
                        }
                        gateway.apply_targets(directory, batch, next.is_none());
                        gateway.remove_expired();
                        monoio::time::sleep(TARGETS_PAUSE.saturating_sub(start.elapsed())).await;
                    }
                    Read::Gap => {
                        note_gap(Feed::Targets, next);
                        gateway.next_targets.set(None);
                    }
                }
            }
            Err(error) => {
                if gateway.directory_health.borrow_mut().fail() == Turn::Lost {
                    log::warn!(feed = "targets", error:% = error; "directory lost");
                    gateway.metrics.count("cornellink_directory_lost_total");
                }
                gateway.remove_expired();
                gateway.publish_age();
                let pause = pause(gateway, &mut back_off);
                monoio::time::sleep(pause).await;
            }
        }
    }
}

async fn follow_routes(gateway: &Gateway, directory: &dyn Directory, regained: &Cell<u32>) {
    let mut back_off = BackOff::default();
    loop {
        rest(gateway).await;
        let next = gateway.next_routes.get();
        let wait = if back_off.is_failing() { PROOF_WAIT } else { Feed::Routes.longest_wait() };
        let result = monoio::select! {
            result = read(directory, Feed::Routes, next, wait) => result,
            // The read may be one that the directory lost in its outage.
            () = changes_of(regained) => continue,
        };
        count(gateway, Feed::Routes, &result);
        match result {
            Ok(result) => {
                if back_off.succeed() {
                    log::info!(feed = "routes"; "directory regained");
                }
                gateway.sharing.freshness.borrow_mut().learn(Feed::Routes, Instant::now());
                match result {
                    Read::Batch(batch) => gateway.apply_routes(directory, batch),
                    Read::Gap => {
                        note_gap(Feed::Routes, next);
                        gateway.next_routes.set(None);
                    }
                }
            }
            Err(error) => {
                if !back_off.is_failing() {
                    log::warn!(feed = "routes", error:% = error; "directory lost");
                }
                let pause = pause(gateway, &mut back_off);
                match gateway.is_directory_failing() {
                    true => monoio::select! {
                        () = monoio::time::sleep(gateway.spread(ROUTES_PAUSE)) => {},
                        () = changes_of(regained) => {},
                    },
                    false => monoio::time::sleep(pause).await,
                }
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

/// The pause after a failed read, longer after each.
///
/// Without it, all entries of a domain would press on a directory that is away.
fn pause(gateway: &Gateway, back_off: &mut BackOff) -> Duration {
    let is_awaited = gateway.sharing.is_awaited() || !gateway.is_ready();
    gateway.spread(back_off.fail(is_awaited))
}

/// Waits as long as another entry tells fresh news.
async fn rest(gateway: &Gateway) {
    loop {
        let rest = gateway.sharing.rest(Instant::now());
        if rest.is_zero() {
            return;
        }
        // While nothing is known, each moment counts.
        let longest = if gateway.is_ready() { REST_LONG } else { REST_LOOK };
        monoio::time::sleep(rest.clamp(REST_LOOK, longest)).await;
    }
}

/// Reads what follows `next` within `wait`, or a snapshot.
async fn read(
    directory: &dyn Directory,
    feed: Feed,
    next: Option<u64>,
    wait: Duration,
) -> edge::Result<Read> {
    match next {
        Some(next) => directory.changes(feed, next, wait).await,
        None => directory.snapshot(feed).await.map(Read::Batch),
    }
}

fn count(gateway: &Gateway, feed: Feed, result: &edge::Result<Read>) {
    let outcome = if result.is_ok() { "answered" } else { "failed" };
    gateway.metrics.directory_read(feed.name(), outcome);
}

fn note_gap(feed: Feed, next: Option<u64>) {
    log::info!(feed = feed.name(), from = next.unwrap_or_default(); "changes were dropped");
}
