//! What an entry knows of one service.

use local_sync::oneshot;

use super::demand::Demand;
use super::durations::{Durations, ShapeKey};
use super::permit::Permit;
use super::queue::{FlowKey, Queue};
use super::target::{LoadReport, TargetKey};
use crate::prelude::*;
use crate::version::class::Length;
use crate::version::policy::Policy;

/// Most calls beyond the entry's own slots, more than any service of today has slots.
const MAX_OVERFLOW: f64 = 128.0;
/// Calls beyond the entry's own slots before any has shown more to be free. A large number would
/// let all entries rush to the same free slots when a swing starts.
const FIRST_OVERFLOW: f64 = 2.0;
/// Below this, the entry looks for free slots with one call every `OVERFLOW_PAUSE`.
const MIN_OVERFLOW: f64 = 1.0;
/// Factor on the spill when a call met a queue in another entry's slot.
const QUEUE_CUT: f64 = 0.5;
/// Factor on the spill when a call left a full target behind.
const FULL_CUT: f64 = 0.8;
/// Growth of the spill when a call left a free slot behind.
const OVERFLOW_STEP: f64 = 0.5;
/// Time between two calls that look for free slots, about 3% of the work of a full entry.
const OVERFLOW_PAUSE: Duration = Duration::from_millis(200);

slotmap::new_key_type! {
    /// Key of a service in the fleet, kept across versions of the document.
    pub struct ServiceId;
}

/// What a call asks of the fleet.
#[derive(Clone, Debug)]
pub struct RouteRequest {
    pub service: ServiceId,
    pub flow: FlowKey,
    pub weight: f64,
    pub shape: ShapeKey,
    /// Length by the document.
    pub declared: Length,
    pub deadline: Deadline,
    /// Targets that earlier attempts of the call have used.
    pub avoid: Vec<TargetKey>,
}

/// A call that waits for a target.
pub struct Waiter {
    pub request: RouteRequest,
    pub sender: oneshot::Sender<Result<Permit, Code>>,
}

/// State of one service.
pub struct ServiceState {
    pub policy: Policy,
    pub targets: Vec<TargetKey>,
    /// Most calls that wait.
    pub limit: usize,
    pub short: Queue<Waiter>,
    pub long: Queue<Waiter>,
    pub durations: Durations,
    pub demand: Demand,
    /// Most own calls beyond the entry's own slots.
    pub overflow: f64,
    /// Time of the newest call beyond the entry's own slots.
    pub overflowed: Option<Instant>,
    /// Calls routed so far by `Policy::RoundRobin`.
    pub turn: usize,
}

impl ServiceState {
    /// Creates the state of a new service.
    pub fn new(policy: Policy, limit: usize) -> Self {
        Self {
            policy,
            targets: Vec::new(),
            limit,
            short: Queue::default(),
            long: Queue::default(),
            durations: Durations::default(),
            demand: Demand::default(),
            overflow: FIRST_OVERFLOW,
            overflowed: None,
            turn: 0,
        }
    }

    /// The queue for calls of a length.
    pub fn lane(&mut self, length: Length) -> &mut Queue<Waiter> {
        match length {
            Length::Long => &mut self.long,
            Length::Short => &mut self.short,
        }
    }

    /// Adapts the spill to what a call beyond the entry's own slots has met; it grows only while
    /// it is the limit on `overflowed`, the number of such calls that were under way.
    pub fn adapt_overflow(&mut self, report: LoadReport, slots: u32, overflowed: u32) {
        let overflow = match report {
            LoadReport { queued: 1.., .. } => self.overflow * QUEUE_CUT,
            LoadReport { running, .. } if running >= slots => self.overflow * FULL_CUT,
            _ if f64::from(overflowed) + 1.0 <= self.overflow => self.overflow,
            _ => self.overflow.max(MIN_OVERFLOW) + OVERFLOW_STEP,
        };
        self.overflow = overflow.clamp(MIN_OVERFLOW / 2.0, MAX_OVERFLOW);
    }

    /// Whether one more call may go beyond the entry's own slots, where `overflowed` have gone.
    pub fn may_overflow(&self, overflowed: u32, now: Instant) -> bool {
        if self.overflow >= MIN_OVERFLOW {
            return f64::from(overflowed) + 1.0 <= self.overflow;
        }
        self.overflowed.is_none_or(|time| now.saturating_duration_since(time) >= OVERFLOW_PAUSE)
    }

    /// Slots beyond the entry's own that calls have found free.
    pub fn free_overflow(&self) -> f64 {
        if self.overflow < MIN_OVERFLOW {
            return 0.0;
        }
        self.overflow
    }

    /// Whether any call waits.
    pub fn has_waiting(&self) -> bool {
        !self.short.is_empty() || !self.long.is_empty()
    }

    /// Whether a lane has no place; long calls take at most half of the places.
    pub fn is_full(&self, length: Length) -> bool {
        let is_full = self.short.len() + self.long.len() >= self.limit;
        is_full || length == Length::Long && self.long.len() >= self.limit.div_ceil(2)
    }
}
