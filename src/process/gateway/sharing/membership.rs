//! Lists this entry in the directory, and keeps the list of the others.

use rand::Rng;

use super::reader_order::ReaderOrder;
use super::{entry_list, ListState};
use crate::edge::directory::{Directory, EntryRecord};
use crate::prelude::*;
use crate::process::gateway::Gateway;

/// Time after which entries that started together have all been listed.
const JOIN_PAUSE: Duration = Duration::from_millis(600);
/// Further time after which a seed reads the list, so that it holds those that started last.
const SEED_PAUSE: Duration = Duration::from_millis(300);
/// Longest wait for a seed's list.
const SEED_TIME: Duration = Duration::from_millis(900);
/// Time in which entries that start together come to know each other.
pub const JOIN_TIME: Duration = JOIN_PAUSE.saturating_mul(2).saturating_add(SEED_TIME);
/// Time between two further looks at the list.
const LIST_INTERVAL: Duration = Duration::from_secs(60);
/// Pause after the list could not be read.
const LIST_PAUSE: Duration = Duration::from_secs(1);

/// Lists this entry and reads who else is listed.
pub async fn keep(
    gateway: &Gateway,
    directory: &dyn Directory,
    own: &EntryRecord,
    order: &RefCell<ReaderOrder>,
) {
    let mut is_new = false;
    let first_start = gateway.settings.borrow().first_start;
    if first_start && directory.list(own).await.is_ok() {
        // All entries list themselves now, and nobody is listed yet.
        is_new = true;
        gateway.sharing.list.set(ListState::Heard);
        monoio::time::sleep(JOIN_PAUSE).await;
        if let Some(records) = from_seed(gateway, own).await {
            take(gateway, own, order, records);
            pause(gateway, LIST_INTERVAL).await;
        }
    }
    loop {
        let span = match directory.entry_records().await {
            Ok(records) => {
                gateway.sharing.hear_list();
                let is_listed = records.contains(own);
                if !is_listed {
                    // A lost answer is noticed at the next look.
                    let _ = directory.list(own).await;
                }
                if !is_listed && !std::mem::replace(&mut is_new, true) {
                    // Entries that start together do not see each other yet.
                    JOIN_PAUSE
                } else {
                    gateway.sharing.list_message.replace(Some(entry_list::encode(&records)));
                    take(gateway, own, order, records);
                    LIST_INTERVAL
                }
            }
            Err(error) => {
                log::debug!(error:% = error; "cannot read the list of entries");
                LIST_PAUSE
            }
        };
        pause(gateway, span).await;
    }
}

/// The list as a seed has read it, so that not all entries read it at their common start.
async fn from_seed(gateway: &Gateway, own: &EntryRecord) -> Option<Vec<EntryRecord>> {
    let seeds = gateway.settings.borrow().seeds.clone();
    if seeds.contains(&own.address) {
        monoio::time::sleep(SEED_PAUSE).await;
        return None;
    }
    let seed = *seeds.get(gateway.rng.borrow_mut().random_range(0..seeds.len().max(1)))?;
    let records = entry_list::ask(seed, SEED_TIME).await?;
    log::info!(seed:% = seed, entries = records.len(); "list of entries heard");
    records.contains(own).then_some(records)
}

/// Takes over a list.
fn take(
    gateway: &Gateway,
    own: &EntryRecord,
    order: &RefCell<ReaderOrder>,
    records: Vec<EntryRecord>,
) {
    let others = records.iter().filter(|record| record.name != own.name);
    gateway.sharing.entries.set(Some(1 + others.count() as u32));
    gateway.sharing.loads.set_entries(own, &records);
    order.borrow_mut().set(own, records);
    gateway.sharing.list.set(ListState::Listed);
}

async fn pause(gateway: &Gateway, span: Duration) {
    let spread = gateway.rng.borrow_mut().random_range(1.0..1.2);
    monoio::time::sleep(span.mul_f64(spread)).await;
}
