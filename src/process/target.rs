//! What an entry knows of one target.

use super::drain_state::DrainState;
use super::health::Health;
use super::peer_load::PeerLoad;
use super::pool::Pool;
use super::queue::FlowKey;
use crate::prelude::*;
use crate::version::class::Length;

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
    /// Calls at the target, running or queued.
    pub fn total(&self) -> u32 {
        self.running.saturating_add(self.queued)
    }

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

/// One of the entry's own calls at a target.
#[derive(Clone, Copy, Debug)]
pub struct InflightCall {
    pub number: u64,
    pub flow: FlowKey,
    pub start: Instant,
    pub length: Length,
    /// Expected duration.
    pub expected: Duration,
    /// Whether the call went beyond the entry's own slots.
    pub is_overflow: bool,
}

/// State of one target, kept across versions of the document.
pub struct Target {
    pub address: SocketAddr,
    pub domain: String,
    pub slots: u32,
    /// Slots that are this entry's to use first.
    pub reserved: u32,
    /// Slots in which this entry may run long work; all entries' together leave one free.
    pub long_reserved: u32,
    /// Own calls under way.
    pub inflight: Vec<InflightCall>,
    pub health: Health,
    pub drain: DrainState,
    pub peer_load: PeerLoad,
    pub pool: Rc<Pool>,
}

impl Target {
    /// Number of own calls.
    pub fn own(&self) -> u32 {
        self.inflight.len() as u32
    }

    /// Number of own long calls.
    pub fn own_long(&self) -> u32 {
        self.inflight.iter().filter(|call| call.length == Length::Long).count() as u32
    }

    /// Number of own calls beyond the entry's own slots.
    pub fn overflowed(&self) -> u32 {
        self.own().saturating_sub(self.reserved)
    }

    /// Expected number of calls at the target, by all entries.
    pub fn occupancy(&self, now: Instant, span: Duration) -> f64 {
        f64::from(self.own()) + self.peer_load.estimate(now, span)
    }

    /// Whether an own call is overdue by `factor` times its expected duration and `least`.
    pub fn is_overdue(&self, now: Instant, factor: u32, least: Duration) -> bool {
        self.inflight.iter().any(|call| {
            let age = now.saturating_duration_since(call.start);
            age > least && age > call.expected * factor
        })
    }
}
