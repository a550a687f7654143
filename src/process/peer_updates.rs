//! What this entry learned itself about targets and its peers do not know yet.

use std::collections::HashMap;

use super::target::LoadReport;
use crate::prelude::*;

/// News since the last look; the newest report of each target replaces older ones.
#[derive(Default)]
pub struct PeerUpdates {
    pub leaving: Vec<SocketAddr>,
    pub loads: HashMap<SocketAddr, (LoadReport, Instant)>,
}

impl PeerUpdates {
    /// Notes a report that a target sent to this entry.
    pub fn load(&mut self, address: SocketAddr, report: LoadReport) {
        self.loads.insert(address, (report, Instant::now()));
    }

    /// Notes the first sign that a target leaves.
    pub fn leave(&mut self, address: SocketAddr) {
        self.leaving.push(address);
    }

    /// Whether there is nothing new.
    pub fn is_empty(&self) -> bool {
        self.leaving.is_empty() && self.loads.is_empty()
    }
}
