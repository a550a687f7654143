//! Registers this entry in the directory's list of entries, and keeps its copy of the list up to
//! date.

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
        if let Some(records) = fetch_from_seed(gateway, own).await {
            apply_list(gateway, own, order, records);
            sleep_with_jitter(gateway, LIST_POLL_INTERVAL).await;
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
                    // Entries that started together may be missing from the list.
                    JOIN_DELAY
                } else {
                    gateway.sharing.encoded_list.replace(Some(entry_list::encode(&records)));
                    apply_list(gateway, own, order, records);
                    LIST_POLL_INTERVAL
                }
            }
            Err(error) => {
                log::debug!(error:% = error; "cannot read the list of entries");
                LIST_BACKOFF
            }
        };
        sleep_with_jitter(gateway, delay).await;
    }
}

/// Gets the list from a random seed, so that not all entries read it at a common start. A seed
/// itself reads it after a delay.
async fn fetch_from_seed(gateway: &Gateway, own: &EntryRecord) -> Option<Vec<EntryRecord>> {
    let seeds = gateway.settings.borrow().seeds.clone();
    if seeds.contains(&own.address) {
        monoio::time::sleep(SEED_DELAY).await;
        return None;
    }
    let seed = *seeds.get(gateway.rng.borrow_mut().random_range(0..seeds.len().max(1)))?;
    let records = entry_list::fetch(seed, SEED_TIMEOUT).await?;
    log::info!(seed:% = seed, entries = records.len(); "list of entries received");
    records.contains(own).then_some(records)
}

/// Replaces this entry's copy of the list.
fn apply_list(
    gateway: &Gateway,
    own: &EntryRecord,
    order: &RefCell<ReaderOrder>,
    records: Vec<EntryRecord>,
) {
    let others = records.iter().filter(|record| record.name != own.name);
    gateway.sharing.listed_entries.set(Some(1 + others.count() as u32));
    gateway.sharing.loads.set_peers(own, &records);
    gateway.quotas.set_list(own, &records);
    order.borrow_mut().set_list(own, records);
    gateway.sharing.list_state.set(ListState::Loaded);
}

/// Sleeps for `delay` and up to a fifth more, so that entries do not all read the list at once.
async fn sleep_with_jitter(gateway: &Gateway, delay: Duration) {
    let factor = gateway.rng.borrow_mut().random_range(1.0..1.2);
    monoio::time::sleep(delay.mul_f64(factor)).await;
}
