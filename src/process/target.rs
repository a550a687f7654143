//! What an entry knows of one target.

use super::pool::Pool;
use crate::prelude::*;

slotmap::new_key_type! {
    /// Key of a target in the fleet.
    pub struct TargetKey;
}

/// A target's report of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    pub running: u32,
    pub queued: u32,
    pub slots: u32,
}

impl LoadReport {
    /// Parses `running=2,queued=0,slots=3`.
    pub fn parse(text: &str) -> Option<Self> {
        let mut report = Self::default();
        for pair in text.split(',') {
            let (name, value) = pair.split_once('=')?;
            let value = value.trim().parse().ok()?;
            match name.trim() {
                "running" => report.running = value,
                "queued" => report.queued = value,
                "slots" => report.slots = value,
                _ => {}
            }
        }
        Some(report)
    }
}

/// State of one target, kept across versions of the document.
pub struct Target {
    pub address: SocketAddr,
    pub domain: String,
    pub slots: u32,
    /// Own calls under way.
    pub inflight: u32,
    pub draining: bool,
    pub report: Option<LoadReport>,
    /// When the target sent the report.
    pub reported: Option<Instant>,
    pub pool: Rc<Pool>,
}
