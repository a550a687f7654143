//! Probes of targets within a budget that all entries share (section 5 of the design page).

pub mod lease;
pub mod leases;
pub mod plan;
pub mod prober;
pub mod record;
pub mod result;
pub mod spend;

use std::collections::{HashMap, VecDeque};

use lease::Lease;
use result::ProbeResult;
use spend::Spend;

use super::claims::record::Holder;
use super::entry::Entry;
use crate::platform::log::Log;
use crate::prelude::*;

/// Most results that wait for peers; the oldest go first.
const MAX_RESULTS: usize = 4096;

/// The leases and probes of one entry, shared by its tasks.
pub struct Probes {
    holder: Rc<Holder>,
    leases: RefCell<HashMap<String, Lease>>,
    results: RefCell<VecDeque<ProbeResult>>,
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
            results: RefCell::default(),
            running: RefCell::default(),
            spends: RefCell::default(),
        }
    }

    /// Takes the results that peers do not know yet.
    pub fn take_results(&self) -> Vec<ProbeResult> {
        self.results.borrow_mut().drain(..).collect()
    }

    /// Failure domains whose lease this entry holds.
    pub fn held(&self) -> Vec<String> {
        let now = Instant::now();
        let leases = self.leases.borrow();
        let held = leases.iter().filter(|(_, lease)| lease.is_held(now));
        held.map(|(domain, _)| domain.clone()).collect()
    }

    fn offer(&self, result: ProbeResult) {
        let mut results = self.results.borrow_mut();
        if results.len() >= MAX_RESULTS {
            results.pop_front();
        }
        results.push_back(result);
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
