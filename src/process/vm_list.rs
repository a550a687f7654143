//! Polls the platform's list of VMs.

use rand::Rng;

use super::entry::Entry;
use crate::edge::vms::{Vm, Vms};
use crate::prelude::*;

/// Poll interval of an entry without peers in its failure domain. With `MAX_READERS` entries and
/// the longest jitter, each entry polls every 2 s, as it must notice a draining target within 2 s.
const POLL_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum number of entries among which the polls are divided; each entry then polls less often.
const MAX_READERS: u32 = 4;

/// Polls and applies the list until the task is dropped.
pub async fn poll(entry: Rc<Entry>, vms: Rc<dyn Vms>) {
    let mut is_failing = false;
    loop {
        match vms.list().await {
            Ok(list) => {
                is_failing = false;
                apply(&entry, &list);
            }
            Err(error) if !is_failing => {
                is_failing = true;
                log::warn!("cannot read the list of VMs: {error}");
            }
            Err(_) => {}
        }
        monoio::time::sleep(poll_interval(&entry)).await;
    }
}

fn apply(entry: &Entry, list: &[Vm]) {
    entry.scheduler.borrow_mut().apply_vms(list, entry.listed_address(), Instant::now());
    entry.peers.apply_vms(list);
}

/// Peers in the same failure domain send each other the contents of the list, so each of them
/// polls it less often.
fn poll_interval(entry: &Entry) -> Duration {
    let links = entry.peers.links().into_iter();
    let local = links.filter(|link| link.hello.domain == entry.settings.domain).count();
    let readers = (1 + local as u32).min(MAX_READERS);
    POLL_INTERVAL.mul_f64(f64::from(readers) * rand::rng().random_range(0.75..1.25))
}
