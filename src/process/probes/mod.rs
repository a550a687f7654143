//! Probes of targets within a budget that all entries share (section 5 of the design page). The
//! entry that holds the lease of a failure domain probes its targets.

pub mod lease;
pub mod leases;
pub mod plan;
pub mod probe_window;
pub mod prober;
pub mod record;
pub mod result;

use std::collections::HashMap;

use lease::Lease;
use probe_window::ProbeWindow;

use super::claims::record::Holder;
use super::entry::Entry;
use super::suspension;
use crate::edge::log::Log;
use crate::prelude::*;

/// The leases and probes of one entry, shared by its tasks.
pub struct Probes {
    holder: Rc<Holder>,
    leases: RefCell<HashMap<String, Lease>>,
    /// Domain of the probe that is between the check of the lease and its response.
    probed_domain: RefCell<Option<String>>,
    windows: RefCell<HashMap<SocketAddr, ProbeWindow>>,
    /// Suspension of the VM up to the last check of the leases.
    suspended: Cell<Duration>,
}

impl Probes {
    /// Creates the state of the entry `name`.
    pub fn new(name: &str) -> Self {
        Self {
            holder: Rc::new(Holder { name: name.into(), incarnation: rand::random() }),
            leases: RefCell::default(),
            probed_domain: RefCell::default(),
            windows: RefCell::default(),
            suspended: Cell::new(suspension::total()),
        }
    }

    /// Gives up all leases if the VM was suspended since the last check: by the clocks of the other
    /// entries, the leases have ended earlier than by this one's. `total` is the suspension since
    /// the VM was booted.
    pub fn check_suspension(&self, total: Duration, now: Instant) {
        if suspension::between(self.suspended.replace(total), total).is_zero() {
            return;
        }
        log::warn!("the VM was suspended; probe leases are given up");
        self.leases.borrow_mut().values_mut().for_each(|lease| lease.reset(now));
    }

    /// Failure domains whose lease this entry holds.
    pub fn held_domains(&self) -> Vec<String> {
        let now = Instant::now();
        let leases = self.leases.borrow();
        let held = leases.iter().filter(|(_, lease)| lease.is_held(now));
        held.map(|(domain, _)| domain.clone()).collect()
    }
}

/// Runs the tasks of leases and probes until the future is dropped.
pub async fn run(entry: Rc<Entry>, log: Rc<dyn Log>) {
    monoio::join!(
        leases::follow_records(&entry.probes, &*log),
        leases::maintain_leases(&entry, &*log),
        prober::run(&entry)
    );
}
