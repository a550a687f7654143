//! State of one target and the load reports that targets send.

use super::drain_state::DrainState;
use super::health::Health;
use super::peer_load::PeerLoad;
use super::pool::Pool;
use super::queue::FlowKey;
use crate::prelude::*;
use crate::version::class::Length;

slotmap::new_key_type! {
    /// Key of a target in the scheduler.
    pub struct TargetKey;
}

/// The load that a target reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    pub running: u32,
    pub queued: u32,
    pub slots: u32,
}

impl LoadReport {
    /// Number of calls at the target, running or queued.
    pub fn total(&self) -> u32 {
        self.running.saturating_add(self.queued)
    }

    /// Parses a report in the form `running=2,queued=0,slots=3`.
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

/// One of this entry's calls at a target.
#[derive(Clone, Copy, Debug)]
pub struct InflightCall {
    pub number: u64,
    pub flow: FlowKey,
    pub start: Instant,
    pub length: Length,
    /// Expected duration when the call was sent.
    pub expected: Duration,
    /// Whether the call uses a slot beyond those reserved for this entry.
    pub is_overflow: bool,
}

/// State of one target, kept across documents.
pub struct Target {
    pub address: SocketAddr,
    pub domain: String,
    pub slots: u32,
    /// Number of slots that are reserved for this entry.
    pub reserved: u32,
    /// Number of slots in which this entry may run long calls; those of all entries together leave
    /// one slot of the target free.
    pub long_reserved: u32,
    /// This entry's calls in flight.
    pub inflight: Vec<InflightCall>,
    pub health: Health,
    pub drain: DrainState,
    pub peer_load: PeerLoad,
    pub pool: Rc<Pool>,
}

impl Target {
    /// Number of this entry's calls in flight.
    pub fn own_calls(&self) -> u32 {
        self.inflight.len() as u32
    }

    /// Number of this entry's long calls in flight.
    pub fn own_long_calls(&self) -> u32 {
        self.inflight.iter().filter(|call| call.length == Length::Long).count() as u32
    }

    /// Number of this entry's calls beyond its reserved slots.
    pub fn overflow_calls(&self) -> u32 {
        self.own_calls().saturating_sub(self.reserved)
    }

    /// Expected number of calls at the target, from all entries.
    pub fn occupancy(&self, now: Instant, call_duration: Duration) -> f64 {
        f64::from(self.own_calls()) + self.peer_load.estimate(now, call_duration)
    }

    /// Whether any of this entry's calls has run for more than `factor` times its expected
    /// duration, and for more than `min_age`.
    pub fn has_overdue_call(&self, now: Instant, factor: u32, min_age: Duration) -> bool {
        self.inflight.iter().any(|call| {
            let age = now.saturating_duration_since(call.start);
            age > min_age && age > call.expected * factor
        })
    }
}
