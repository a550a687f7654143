//! Probes of targets within a budget that all entries share (section 5 of the design page).

pub mod lease;
pub mod leases;
pub mod plan;
pub mod prober;
pub mod record;
pub mod result;
pub mod spend;

use std::collections::HashMap;

use lease::Lease;
use spend::Spend;

use super::claims::record::Holder;
use super::entry::Entry;
use crate::edge::log::Log;
use crate::prelude::*;

/// The leases and probes of one entry, shared by its tasks.
pub struct Probes {
    holder: Rc<Holder>,
    leases: RefCell<HashMap<String, Lease>>,
    /// Domain of the probe between its check of the lease and its response.
    running: RefCell<Option<String>>,
    spends: RefCell<HashMap<SocketAddr, Spend>>,
}

impl Probes {
    /// Creates the state of the entry `name`.
    pub fn new(name: &str) -> Self {
        Self {
            holder: Rc::new(Holder { name: name.into(), incarnation: rand::random() }),
            leases: RefCell::default(),
            running: RefCell::default(),
            spends: RefCell::default(),
        }
    }

    /// Failure domains whose lease this entry holds.
    pub fn held(&self) -> Vec<String> {
        let now = Instant::now();
        let leases = self.leases.borrow();
        let held = leases.iter().filter(|(_, lease)| lease.is_held(now));
        held.map(|(domain, _)| domain.clone()).collect()
    }
}

/// Runs the tasks of leases and probes until the future is dropped.
pub async fn run(entry: Rc<Entry>, log: Rc<dyn Log>) {
    monoio::join!(
        leases::follow(&entry.probes, &*log),
        leases::keep(&entry, &*log),
        prober::run(&entry)
    );
}
