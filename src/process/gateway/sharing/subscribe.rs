//! Finds the entry that reads the directory, and follows what it tells.

use super::freshness::{FIRST_START_PATIENCE, START_PATIENCE};
use super::reader_order::ReaderOrder;
use super::subscription::{Ended, Subscription, STALE};
use super::{list, ListState, Reader};
use crate::edge::directory::{Directory, EntryRecord};
use crate::prelude::*;
use crate::process::gateway::Gateway;

/// Pause between two looks whether another entry should read.
const LOOK: Duration = Duration::from_millis(500);
/// Time for the first answer about the list, without which the seeds are asked.
const FIRST_LOOK: Duration = Duration::from_millis(300);
/// Time for which a seed is followed before the list is looked at again.
const SEED_TIME: Duration = Duration::from_secs(2);
/// Time for which a reader is followed that knows too little, while this entry cannot read either;
/// it doubles with each such reader.
const STALE_TIME: Duration = Duration::from_millis(500);
/// Most doublings of that time.
const MAX_DOUBLINGS: u32 = 4;
/// Pause between two looks at the state of the list.
const STATE_LOOK: Duration = Duration::from_millis(5);

/// Follows the entry that reads, or lets this entry read, until the task is dropped.
pub async fn run(gateway: Rc<Gateway>, directory: Rc<dyn Directory>, own: EntryRecord) {
    let order = RefCell::new(ReaderOrder::default());
    let seeds = gateway.settings.borrow().seeds.clone();
    order.borrow_mut().set_seeds(&own, &seeds);
    let patience = match gateway.settings.borrow().first_start {
        true => FIRST_START_PATIENCE,
        false => START_PATIENCE,
    };
    gateway.sharing.freshness.borrow_mut().wait_until(Instant::now() + patience);
    gateway.sharing.set_reader(Reader::Other { name: String::new(), is_standby: false });
    let listing = list::keep(&gateway, &*directory, &own, &order);
    let following = follow(&gateway, &*directory, &own, &order);
    monoio::join!(listing, following);
}

async fn follow(
    gateway: &Rc<Gateway>,
    directory: &dyn Directory,
    own: &EntryRecord,
    order: &RefCell<ReaderOrder>,
) {
    reach(gateway, ListState::Heard, FIRST_LOOK).await;
    if gateway.sharing.list.get() >= ListState::Heard {
        reach(gateway, ListState::Listed, list::JOIN_TIME).await;
    }
    // Readers in a row that knew too little.
    let mut stale = 0;
    loop {
        let first = order.borrow().first(Instant::now()).cloned();
        let Some(reader) = first.filter(|first| first.name != own.name) else {
            let stands_in = order.borrow().next_try(&own.name).is_some();
            gateway.sharing.stands_in.set(stands_in);
            gateway.sharing.set_reader(Reader::Own);
            monoio::time::sleep(LOOK).await;
            continue;
        };
        let until = match gateway.sharing.list.get() {
            ListState::Listed => order.borrow().next_try(&reader.name),
            ListState::Unknown | ListState::Heard => Some(Instant::now() + SEED_TIME),
        };
        let patience = STALE_TIME * (1 << stale.min(MAX_DOUBLINGS));
        let is_standby = order.borrow().is_standby(&reader, Instant::now());
        let subscription =
            Subscription { gateway, directory, reader: &reader, is_standby, until, patience };
        match subscription.follow().await {
            Ended::Due => stale = 0,
            Ended::Differs => {
                stale = 0;
                gateway.metrics.count("cornellink_resyncs_total");
                log::info!(reader = reader.name.as_str(); "targets differ from the reader's");
            }
            Ended::Failed { reason, has_told } => {
                log::info!(reader = reader.name.as_str(), reason; "reader given up");
                stale = if reason == STALE && !has_told { stale + 1 } else { 0 };
                if has_told {
                    order.borrow_mut().succeed(&reader.name);
                }
                order.borrow_mut().fail(&reader.name, Instant::now());
            }
        }
    }
}

/// Waits until the list has reached a state, but not longer than `limit`.
async fn reach(gateway: &Gateway, state: ListState, limit: Duration) {
    let end = Instant::now() + limit;
    while gateway.sharing.list.get() < state && Instant::now() < end {
        monoio::time::sleep(STATE_LOOK).await;
    }
}
