//! Registers this entry in the directory's list of entries, and keeps its copy of the list up to
//! date.

use std::pin::pin;

use rand::Rng;

use super::reader_order::ReaderOrder;
use super::{entry_list, ListState};
use crate::edge::directory::{Directory, EntryRecord};
use crate::prelude::*;
use crate::process::gateway::Gateway;

/// Time after which all entries that started together are in the list.
const JOIN_DELAY: Duration = Duration::from_millis(600);
/// Further delay before a seed reads the list, so that it includes the entries that started last.
const SEED_DELAY: Duration = Duration::from_millis(300);
/// Longest wait for the list from a seed.
const SEED_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest time until entries that start together have each other in their lists.
pub const JOIN_TIMEOUT: Duration = JOIN_DELAY.saturating_mul(2).saturating_add(SEED_TIMEOUT);
/// Time between two reads of the list.
const LIST_POLL_INTERVAL: Duration = Duration::from_secs(60);
/// Pause after a failed read of the list.
const LIST_BACKOFF: Duration = Duration::from_secs(1);
/// Time between two entries that register again after the directory has returned from a copy.
const REWRITE_INTERVAL: Duration = Duration::from_millis(10);
/// Shortest time over which all of them do.
const MIN_REWRITE_SPREAD: Duration = Duration::from_millis(500);
/// Time after such a return in which a list may lack entries that run.
const INCOMPLETE_LIST_TIME: Duration = Duration::from_secs(30);
/// Largest factor on the time between two reads of the list.
const MAX_JITTER: f64 = 1.2;
/// Time from the registration of an entry until all others have read the list, with a failed read.
pub const COUNTED_DELAY: Duration = Duration::from_secs(75);

/// Registers this entry and reads the list until the task is dropped.
pub async fn maintain(
    gateway: &Gateway,
    directory: &dyn Directory,
    own: &EntryRecord,
    order: &RefCell<ReaderOrder>,
) {
    let mut has_joined = false;
    let first_start = gateway.settings.borrow().first_start;
    if first_start && directory.register_entry(own).await.is_ok() {
        // All entries register at this moment, and the list is still incomplete.
        has_joined = true;
        gateway.sharing.list_state.set(ListState::Reachable);
        monoio::time::sleep(JOIN_DELAY).await;
        match fetch_at_common_start(gateway, own).await {
            Some(records) if records.contains(own) => {
                apply_list(gateway, own, order, records);
                wait(gateway, directory, own, LIST_POLL_INTERVAL).await;
            }
            // The others have read the list without this entry.
            Some(_) => gateway.sharing.fleet.record_missing(),
            None => {}
        }
    }
    loop {
        let delay = match directory.entry_records().await {
            Ok(records) => {
                gateway.sharing.record_list_response();
                let is_listed = records.contains(own);
                if !is_listed {
                    // If the response is lost, the next read of the list shows whether this entry
                    // is registered.
                    let _ = directory.register_entry(own).await;
                }
                if !is_listed && !std::mem::replace(&mut has_joined, true) {
                    // Entries that started together may be missing from the list, but those that it
                    // names can be asked for tokens.
                    if !first_start && !is_named(own, &records) {
                        record_list(gateway, own, &records);
                    }
                    JOIN_DELAY
                } else {
                    apply_list(gateway, own, order, records);
                    LIST_POLL_INTERVAL
                }
            }
            Err(error) => {
                log::debug!(error:% = error; "cannot read the list of entries");
                if gateway.sharing.encoded_list.borrow().is_none() {
                    record_list_of_seed(gateway, own).await;
                }
                LIST_BACKOFF
            }
        };
        wait(gateway, directory, own, delay).await;
    }
}

/// Learns of the other entries from a seed while the directory is away. The order of readers stays that
/// of the seeds: by the list, this entry might be the first one.
async fn record_list_of_seed(gateway: &Gateway, own: &EntryRecord) {
    if let Some(records) = fetch_from_seed(gateway, own).await {
        record_list(gateway, own, &records);
    }
}

/// Waits for about `delay`, and registers this entry again each time that the directory returns from a
/// copy, which may lack its record.
async fn wait(gateway: &Gateway, directory: &dyn Directory, own: &EntryRecord, delay: Duration) {
    let mut sleep = pin!(sleep_with_jitter(gateway, delay));
    loop {
        monoio::select! {
            () = &mut sleep => return,
            () = gateway.wait_for_return() => register_again(gateway, directory, own).await,
        }
    }
}

/// Registers this entry after a return of the directory, at a random time so that not all entries do it
/// at once.
async fn register_again(gateway: &Gateway, directory: &dyn Directory, own: &EntryRecord) {
    let entries = gateway.entry_count();
    let spread = MIN_REWRITE_SPREAD.max(REWRITE_INTERVAL * entries);
    loop {
        let returns = gateway.returns.get();
        let part = gateway.rng.borrow_mut().random_range(0.0..1.0);
        monoio::time::sleep(spread.mul_f64(part)).await;
        match directory.register_entry(own).await {
            Ok(()) => {
                log::info!(entries; "registered again");
                return gateway.registered_returns.set(returns);
            }
            Err(error) => log::debug!(error:% = error; "cannot register again"),
        }
    }
}

/// Whether a list has a record with this entry's name, perhaps of an earlier process at another
/// address.
fn is_named(own: &EntryRecord, records: &[EntryRecord]) -> bool {
    records.iter().any(|record| record.name == own.name)
}

/// Gets the list from a seed, so that not all entries read it at a common start. A seed itself reads
/// it after a delay.
async fn fetch_at_common_start(gateway: &Gateway, own: &EntryRecord) -> Option<Vec<EntryRecord>> {
    if gateway.settings.borrow().seeds.contains(&own.address) {
        monoio::time::sleep(SEED_DELAY).await;
        return None;
    }
    fetch_from_seed(gateway, own).await
}

/// Gets the list from a random seed other than this entry.
async fn fetch_from_seed(gateway: &Gateway, own: &EntryRecord) -> Option<Vec<EntryRecord>> {
    let mut seeds = gateway.settings.borrow().seeds.clone();
    seeds.retain(|seed| *seed != own.address);
    let seed = *seeds.get(gateway.rng.borrow_mut().random_range(0..seeds.len().max(1)))?;
    let records = entry_list::fetch(seed, SEED_TIMEOUT).await?;
    log::info!(seed:% = seed, entries = records.len(); "list of entries received");
    Some(records)
}

/// Replaces this entry's copy of the list.
fn apply_list(
    gateway: &Gateway,
    own: &EntryRecord,
    order: &RefCell<ReaderOrder>,
    mut records: Vec<EntryRecord>,
) {
    if gateway.has_returned_within(INCOMPLETE_LIST_TIME) {
        let known = gateway.sharing.encoded_list.borrow().as_deref().map(entry_list::decode);
        let known = known.unwrap_or_default();
        let missing: Vec<_> =
            known.into_iter().filter(|entry| !is_named(entry, &records)).collect();
        records.extend(missing);
    }
    record_list(gateway, own, &records);
    gateway.sharing.loads.set_peers(own, &records);
    order.borrow_mut().set_list(own, records);
    gateway.sharing.list_state.set(ListState::Loaded);
}

/// Records how many entries there are and whom this one asks for tokens of quotas.
fn record_list(gateway: &Gateway, own: &EntryRecord, records: &[EntryRecord]) {
    let others = records.iter().filter(|record| record.name != own.name).count() as u32;
    gateway.sharing.fleet.record_list(others, is_named(own, records), Instant::now());
    gateway.sharing.encoded_list.replace(Some(entry_list::encode(records)));
    gateway.quotas.set_list(own, records);
}

/// Sleeps for `delay` and up to a fifth more, so that entries do not all read the list at once.
async fn sleep_with_jitter(gateway: &Gateway, delay: Duration) {
    let factor = gateway.rng.borrow_mut().random_range(1.0..MAX_JITTER);
    monoio::time::sleep(delay.mul_f64(factor)).await;
}
