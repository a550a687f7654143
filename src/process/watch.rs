//! Follows the platform's list of VMs.

use rand::Rng;

use super::entry::Entry;
use crate::edge::vms::{Vm, Vms};
use crate::prelude::*;

/// Time between two reads by an entry without peers in its failure domain. With the most readers
/// and the longest random part, each of them reads every 2 s, in which time a leaving target must
/// be seen.
const READ_INTERVAL: Duration = Duration::from_millis(400);
/// Most entries that share the reads, each reading less often.
const MAX_READERS: u32 = 4;

/// Applies the list until the task is dropped.
pub async fn watch(entry: Rc<Entry>, vms: Rc<dyn Vms>) {
    let mut failing = false;
    loop {
        match vms.list().await {
            Ok(list) => {
                failing = false;
                apply(&entry, &list);
            }
            Err(error) if !failing => {
                failing = true;
                log::warn!("cannot read the list of VMs: {error}");
            }
            Err(_) => {}
        }
        monoio::time::sleep(pause(&entry)).await;
    }
}

fn apply(entry: &Entry, list: &[Vm]) {
    entry.scheduler.borrow_mut().apply_vms(list, entry.listed_address(), Instant::now());
    entry.peers.take_list(list);
}

/// Peers of a failure domain tell each other what the list says, so each reads it less often.
fn pause(entry: &Entry) -> Duration {
    let links = entry.peers.links().into_iter();
    let near = links.filter(|link| link.hello.domain == entry.settings.domain).count();
    let readers = (1 + near as u32).min(MAX_READERS);
    READ_INTERVAL.mul_f64(f64::from(readers) * rand::rng().random_range(0.75..1.25))
}
