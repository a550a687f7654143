//! Follows the platform's list of VMs.

use rand::Rng;

use super::entry::Entry;
use crate::platform::vms::Vms;
use crate::prelude::*;

/// Time between two reads of the list, a quarter of the 2 s within which a leaving target must
/// get no more work.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// Most entries of a failure domain that share the reads of the list.
const MAX_READERS: u32 = 4;

/// Applies the list until the task is dropped.
pub async fn watch(entry: Rc<Entry>, vms: Rc<dyn Vms>) {
    loop {
        match vms.list().await {
            Ok(list) => {
                entry.peers.take_list(&list);
                let settings = &entry.settings;
                let own = settings.peers.as_ref().map_or(settings.listen, |peers| peers.address);
                entry.fleet.borrow_mut().apply_vms(&list, own, Instant::now());
            }
            Err(error) => log::warn!("cannot read the list of VMs: {error}"),
        }
        monoio::time::sleep(pause(&entry)).await;
    }
}

/// Peers tell each other which targets leave, so each of them reads the list less often.
fn pause(entry: &Entry) -> Duration {
    let links = entry.peers.links().into_iter();
    let near = links.filter(|link| link.hello.domain == entry.settings.domain).count();
    let readers = MAX_READERS.min(1 + near as u32);
    match readers {
        1 => READ_INTERVAL,
        _ => READ_INTERVAL.mul_f64(f64::from(readers) * rand::rng().random_range(0.75..1.25)),
    }
}
