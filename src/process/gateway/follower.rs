//! Reads the directory to keep the gateway's routes and targets up to date.
//!
//! Each feed starts with a snapshot and continues with the changes after it. After a gap the
//! snapshot is read again, and registrations that it lacks are removed. During an outage of the
//! directory, the last routes and targets stay in force. After an outage, missing registrations are
//! removed only once their targets have had time to renew them.
//!
//! An entry that receives updates from another entry does not read as long as these are fresh.

use super::back_off::BackOff;
use super::directory_health::HealthChange;
use super::read_timing::ReadTiming;
use super::registry::AbsencePolicy;
use super::routes_read::RoutesRead;
use super::sharing::freshness::CopyState;
use super::{hedged_read, Gateway};
use crate::connection::tasks::Tasks;
use crate::edge;
use crate::edge::directory::{Directory, Feed, ReadOutcome};
use crate::edge::position::Position;
use crate::prelude::*;

/// Shortest time between two reads of the targets' feed when it changes constantly. A draining
/// target may still get new calls during this time.
const TARGETS_MIN_INTERVAL: Duration = Duration::from_millis(400);
/// How long a read of the routes waits for a change after a failed read; it is short, so that a
/// lost read is detected soon.
const RECOVERY_WAIT: Duration = Duration::from_millis(100);
/// Delay between reads of the routes while reads of the targets fail as well. It ends early when a
/// read of the targets succeeds.
const ROUTES_RETRY_DELAY: Duration = Duration::from_secs(3);
/// Bounds of the interval at which an entry checks whether the updates from its reader are still
/// fresh, and whether the reader is still the same.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(25);
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Follows both feeds until the task is dropped.
pub async fn follow(gateway: Rc<Gateway>, directory: Rc<dyn Directory>) {
    // Counts the outages that have ended, after which a read of the routes is sent again.
    let recoveries = Cell::new(0);
    let expiries = Tasks::default();
    let targets = follow_targets(&gateway, &*directory, &recoveries, &expiries);
    let routes = follow_routes(&gateway, &*directory, &recoveries);
    monoio::join!(targets, routes);
}

async fn follow_targets(
    gateway: &Rc<Gateway>,
    directory: &dyn Directory,
    recoveries: &Cell<u32>,
    expiries: &Tasks,
) {
    let mut back_off = BackOff::default();
    let mut timing = ReadTiming::default();
    loop {
        wait_until_stale(gateway).await;
        let start = Instant::now();
        let next = next_position(gateway, &gateway.next_targets);
        let wait = timing.next_wait(gateway.last_read.get().map(|end| end.elapsed()));
        let result = match next {
            // During an outage, a second read would be lost as well.
            Some(next) if !back_off.is_failing() => {
                hedged_read::read(directory, Feed::Targets, next, wait, timing.slack()).await
            }
            Some(_) | None => read(directory, Feed::Targets, next, wait).await,
        };
        count_read(gateway, Feed::Targets, &result);
        gateway.observe_history(directory.newest_history());
        match result {
            Ok(result) => {
                back_off.record_success();
                // A response that waited for a change describes the state at the end of the wait.
                let now = Instant::now();
                let health_change = gateway.directory_health.borrow_mut().record_success(now);
                if let HealthChange::Regained(outage) = health_change {
                    log::info!(feed = "targets", away_ms = outage.as_millis() as u64; "directory regained");
                    recoveries.set(recoveries.get() + 1);
                    expiries.spawn(remove_expired_in_time(gateway.clone()));
                }
                gateway.last_read.set(Some(now));
                gateway.sharing.hops.set(0);
                gateway.sharing.freshness.borrow_mut().record_read(Feed::Targets, now);
                match result {
                    ReadOutcome::Batch(batch) => {
                        if batch.changes.is_empty() {
                            timing.record(wait, start.elapsed());
                        }
                        gateway.apply_targets(directory, batch, next.is_none());
                        gateway.remove_expired();
                        monoio::time::sleep(TARGETS_MIN_INTERVAL.saturating_sub(start.elapsed()))
                            .await;
                    }
                    ReadOutcome::Gap => {
                        log_gap(Feed::Targets, next);
                        gateway.next_targets.set(None);
                    }
                }
            }
            Err(error) => {
                if gateway.directory_health.borrow_mut().record_failure() == HealthChange::Lost {
                    log::warn!(feed = "targets", error:% = error; "directory lost");
                    gateway.metrics.count("cornellink_directory_lost_total");
                }
                gateway.remove_expired();
                gateway.publish_age();
                let delay = retry_delay(gateway, &mut back_off);
                monoio::time::sleep(delay).await;
            }
        }
    }
}

/// Removes the targets that have not renewed their registrations in the time after an outage, also
/// while a read waits for a change.
async fn remove_expired_in_time(gateway: Rc<Gateway>) {
    let absence = gateway.directory_health.borrow().absence_policy(Instant::now());
    if let AbsencePolicy::KeepUntil(end) = absence {
        monoio::time::sleep(end.saturating_duration_since(Instant::now())).await;
        gateway.remove_expired();
    }
}

async fn follow_routes(gateway: &Gateway, directory: &dyn Directory, recoveries: &Cell<u32>) {
    let mut back_off = BackOff::default();
    // Whether the copy was stale before the reads since the last batch, such as one with a gap.
    let mut was_stale = false;
    loop {
        wait_until_stale(gateway).await;
        let next = next_position(gateway, &gateway.next_routes);
        let wait = if back_off.is_failing() { RECOVERY_WAIT } else { Feed::Routes.max_wait() };
        let result = monoio::select! {
            result = read(directory, Feed::Routes, next, wait) => result,
            // The directory may have lost this read in its outage, so it is sent again.
            () = wait_for_change(recoveries) => continue,
        };
        count_read(gateway, Feed::Routes, &result);
        gateway.observe_history(directory.newest_history());
        match result {
            Ok(result) => {
                if back_off.record_success() {
                    log::info!(feed = "routes"; "directory regained");
                }
                let now = Instant::now();
                let mut freshness = gateway.sharing.freshness.borrow_mut();
                was_stale |= freshness.copy_state(now) == CopyState::Stale;
                // A gap leaves the copy as old as it was until the snapshot is read.
                if let ReadOutcome::Batch(_) = &result {
                    freshness.record_read(Feed::Routes, now);
                }
                drop(freshness);
                match result {
                    ReadOutcome::Batch(batch) => {
                        let copy = if was_stale { CopyState::Stale } else { CopyState::Fresh };
                        was_stale = false;
                        let read = RoutesRead { is_snapshot: next.is_none(), copy };
                        gateway.apply_routes(directory, batch, read);
                    }
                    ReadOutcome::Gap => {
                        log_gap(Feed::Routes, next);
                        gateway.next_routes.set(None);
                    }
                }
            }
            Err(error) => {
                if !back_off.is_failing() {
                    log::warn!(feed = "routes", error:% = error; "directory lost");
                }
                let delay = retry_delay(gateway, &mut back_off);
                match gateway.is_directory_failing() {
                    true => monoio::select! {
                        () = monoio::time::sleep(gateway.jitter(ROUTES_RETRY_DELAY)) => {},
                        () = wait_for_change(recoveries) => {},
                    },
                    false => monoio::time::sleep(delay).await,
                }
            }
        }
    }
}

/// Resolves when the count has changed. It polls because a semaphore panicked here when a wait that
/// it had just served was dropped.
async fn wait_for_change(count: &Cell<u32>) {
    let before = count.get();
    while count.get() == before {
        monoio::time::sleep(MIN_POLL_INTERVAL).await;
    }
}

/// Records a failed read and returns the randomized delay after it, which grows with each failure
/// in a row.
///
/// Without a delay, all entries of a failure domain would overload a directory that is down.
fn retry_delay(gateway: &Gateway, back_off: &mut BackOff) -> Duration {
    let is_urgent = gateway.sharing.is_primary_reader() || !gateway.is_ready();
    gateway.jitter(back_off.record_failure(is_urgent))
}

/// Waits as long as the updates from another entry are fresh.
async fn wait_until_stale(gateway: &Gateway) {
    loop {
        let remaining = gateway.sharing.time_until_read(Instant::now());
        if remaining.is_zero() {
            return;
        }
        // An entry that is not ready refuses its callers, so it must not lose time.
        let longest = if gateway.is_ready() { MAX_POLL_INTERVAL } else { MIN_POLL_INTERVAL };
        monoio::time::sleep(remaining.clamp(MIN_POLL_INTERVAL, longest)).await;
    }
}

/// The position at which the next read continues; none if a snapshot must be read, as the directory
/// has begun a new history.
fn next_position(gateway: &Gateway, next: &Cell<Option<Position>>) -> Option<Position> {
    next.get().filter(|next| gateway.history.get().is_none_or(|history| next.history >= history))
}

/// Reads the changes from `next` on, waiting up to `wait` for the first one; reads a snapshot if
/// there is no `next`.
async fn read(
    directory: &dyn Directory,
    feed: Feed,
    next: Option<Position>,
    wait: Duration,
) -> edge::Result<ReadOutcome> {
    match next {
        Some(next) => directory.changes(feed, next, wait).await,
        None => directory.snapshot(feed).await.map(ReadOutcome::Batch),
    }
}

fn count_read(gateway: &Gateway, feed: Feed, result: &edge::Result<ReadOutcome>) {
    let outcome = if result.is_ok() { "answered" } else { "failed" };
    gateway.metrics.count_directory_read(feed.name(), outcome);
}

fn log_gap(feed: Feed, next: Option<Position>) {
    log::info!(feed = feed.name(), from = next.unwrap_or_default().offset; "feed has a gap, reading a snapshot");
}
