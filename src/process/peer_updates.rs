//! Updates about targets that this entry has received directly and not yet sent to its peers.

use std::collections::HashMap;

use super::target::LoadReport;
use crate::prelude::*;

/// Updates since peers were last sent any; the newest load report of a target replaces older ones.
#[derive(Default)]
pub struct PeerUpdates {
    pub draining: Vec<SocketAddr>,
    pub loads: HashMap<SocketAddr, (LoadReport, Instant)>,
}

impl PeerUpdates {
    /// Records a load report that a target sent to this entry.
    pub fn record_load(&mut self, address: SocketAddr, report: LoadReport) {
        self.loads.insert(address, (report, Instant::now()));
    }

    /// Records the first drain signal of a target.
    pub fn record_drain(&mut self, address: SocketAddr) {
        self.draining.push(address);
    }

    pub fn is_empty(&self) -> bool {
        self.draining.is_empty() && self.loads.is_empty()
    }
}
