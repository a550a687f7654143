//! Lists this entry in the directory, and keeps the list of the others.

use rand::Rng;

use super::order::Order;
use super::ListState;
use crate::edge::directory::{Directory, Listing};
use crate::prelude::*;
use crate::process::gateway::Gateway;

/// Time after which entries that started together have all been listed.
pub const JOIN_PAUSE: Duration = Duration::from_millis(600);
/// Time between two further looks at the list.
const LIST_INTERVAL: Duration = Duration::from_secs(60);
/// Pause after the list could not be read.
const LIST_PAUSE: Duration = Duration::from_secs(1);

/// Lists this entry and reads who else is listed.
pub async fn keep(
    gateway: &Gateway,
    directory: &dyn Directory,
    own: &Listing,
    order: &RefCell<Order>,
) {
    let mut is_new = false;
    let first_start = gateway.settings.borrow().first_start;
    if first_start && directory.list(own).await.is_ok() {
        // All entries list themselves now, and nobody is listed yet.
        is_new = true;
        gateway.sharing.list.set(ListState::Heard);
        monoio::time::sleep(JOIN_PAUSE).await;
    }
    loop {
        let pause = match directory.listings().await {
            Ok(listings) => {
                gateway.sharing.hear_list();
                let is_listed = listings.contains(own);
                if !is_listed {
                    // A lost answer is noticed at the next look.
                    let _ = directory.list(own).await;
                }
                if !is_listed && !std::mem::replace(&mut is_new, true) {
                    // Entries that start together do not see each other yet.
                    JOIN_PAUSE
                } else {
                    let others = listings.iter().filter(|listing| listing.name != own.name);
                    gateway.sharing.entries.set(Some(1 + others.count()));
                    order.borrow_mut().set(own, listings);
                    gateway.sharing.list.set(ListState::Listed);
                    LIST_INTERVAL
                }
            }
            Err(error) => {
                log::debug!(error:% = error; "cannot read the list of entries");
                LIST_PAUSE
            }
        };
        let spread = gateway.rng.borrow_mut().random_range(1.0..1.2);
        monoio::time::sleep(pause.mul_f64(spread)).await;
    }
}
