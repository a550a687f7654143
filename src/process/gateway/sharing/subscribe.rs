//! Selects the entry that reads the directory and follows its updates.

use super::freshness::{FIRST_START_TIMEOUT, START_TIMEOUT};
use super::reader_order::ReaderOrder;
use super::subscription::{Subscription, SubscriptionEnd, REASON_STALE};
use super::{membership, ListState, Reader};
use crate::edge::directory::{Directory, EntryRecord};
use crate::prelude::*;
use crate::process::gateway::Gateway;

/// Time between two checks whether another entry can read instead of this one.
const READER_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for the first response about the list; without one, the seeds are tried.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which a seed is followed before the state of the list is checked again.
const SEED_FOLLOW_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which a reader with an old copy is followed while this entry's own reads fail as well;
/// it doubles with each such reader in a row.
const STALE_TIMEOUT: Duration = Duration::from_millis(500);
/// Most doublings of `STALE_TIMEOUT`.
const MAX_DOUBLINGS: u32 = 4;
/// Time between two checks of the list's state.
const LIST_STATE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Follows the entry that reads the directory, or lets this entry read, until the task is dropped.
pub async fn run(gateway: Rc<Gateway>, directory: Rc<dyn Directory>, own: EntryRecord) {
    let order = RefCell::new(ReaderOrder::default());
    let seeds = gateway.settings.borrow().seeds.clone();
    order.borrow_mut().set_seeds(&own, &seeds);
    let start_timeout = match gateway.settings.borrow().first_start {
        true => FIRST_START_TIMEOUT,
        false => START_TIMEOUT,
    };
    gateway.sharing.freshness.borrow_mut().set_start_deadline(Instant::now() + start_timeout);
    // Until `follow` selects a reader, this entry does not read before the start deadline.
    gateway.sharing.set_reader(Reader::Other { name: String::new(), is_standby: false });
    let membership = membership::maintain(&gateway, &*directory, &own, &order);
    let following = follow(&gateway, &*directory, &own, &order);
    monoio::join!(membership, following);
}

async fn follow(
    gateway: &Rc<Gateway>,
    directory: &dyn Directory,
    own: &EntryRecord,
    order: &RefCell<ReaderOrder>,
) {
    wait_for_list(gateway, ListState::Reachable, FIRST_LIST_TIMEOUT).await;
    if gateway.sharing.list_state.get() >= ListState::Reachable {
        wait_for_list(gateway, ListState::Loaded, membership::JOIN_TIMEOUT).await;
    }
    // Number of readers in a row whose copy was too old.
    let mut stale_count = 0;
    loop {
        let first = order.borrow().first_available(Instant::now()).cloned();
        let Some(reader) = first.filter(|first| first.name != own.name) else {
            let is_fallback = order.borrow().next_retry(&own.name).is_some();
            gateway.sharing.is_fallback.set(is_fallback);
            gateway.sharing.set_reader(Reader::Own);
            monoio::time::sleep(READER_POLL_INTERVAL).await;
            continue;
        };
        let retry_at = match gateway.sharing.list_state.get() {
            ListState::Loaded => order.borrow().next_retry(&reader.name),
            ListState::Unknown | ListState::Reachable => Some(Instant::now() + SEED_FOLLOW_TIMEOUT),
        };
        let stale_timeout = STALE_TIMEOUT * (1 << stale_count.min(MAX_DOUBLINGS));
        let is_standby = order.borrow().is_standby(&reader, Instant::now());
        let subscription = Subscription {
            gateway,
            directory,
            reader: &reader,
            is_standby,
            retry_at,
            stale_timeout,
        };
        match subscription.follow().await {
            SubscriptionEnd::RetryDue => stale_count = 0,
            SubscriptionEnd::TargetsDiffer => {
                stale_count = 0;
                gateway.metrics.count("cornellink_resyncs_total");
                log::info!(reader = reader.name.as_str(); "targets differ from the reader's");
            }
            SubscriptionEnd::Failed { reason, was_fresh } => {
                log::info!(reader = reader.name.as_str(), reason; "subscription to reader failed");
                stale_count =
                    if reason == REASON_STALE && !was_fresh { stale_count + 1 } else { 0 };
                // A fresh update resets the backoff of earlier failures.
                if was_fresh {
                    order.borrow_mut().record_success(&reader.name);
                }
                order.borrow_mut().record_failure(&reader.name, Instant::now());
            }
        }
    }
}

/// Waits until the list has reached a state, for `limit` at most.
async fn wait_for_list(gateway: &Gateway, state: ListState, limit: Duration) {
    let end = Instant::now() + limit;
    while gateway.sharing.list_state.get() < state && Instant::now() < end {
        monoio::time::sleep(LIST_STATE_POLL_INTERVAL).await;
    }
}
