//! Follows the platform's list of VMs.

use super::entry::Entry;
use crate::platform::vms::Vms;
use crate::prelude::*;

/// Time between two reads of the list, a quarter of the 2 s within which a leaving target must
/// get no more work.
const READ_INTERVAL: Duration = Duration::from_millis(500);

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
        monoio::time::sleep(READ_INTERVAL).await;
    }
}
