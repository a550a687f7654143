//! State of one service: its targets, queues and the limit on overflow calls.
//!
//! An overflow call uses a slot that is reserved for another entry.

use local_sync::oneshot;

use super::demand::Demand;
use super::durations::{Durations, ShapeKey};
use super::permit::Permit;
use super::queue::{FlowKey, Queue};
use super::target::{LoadReport, TargetKey};
use crate::prelude::*;
use crate::version::class::Length;
use crate::version::policy::Policy;

/// Upper bound of the overflow limit, more than the slots of any service.
const MAX_OVERFLOW_CALLS: f64 = 128.0;
/// Overflow limit before overflow calls have found more free slots. With a high one, all entries
/// would send to the same free slots when a load spike starts.
const INITIAL_OVERFLOW_CALLS: f64 = 2.0;
/// Below this limit, one overflow call every `OVERFLOW_TRIAL_INTERVAL` checks for free slots.
const MIN_OVERFLOW_CALLS: f64 = 1.0;
/// Factor on the overflow limit when an overflow call found calls queued at its target.
const QUEUED_DECREASE_RATIO: f64 = 0.5;
/// Factor on the overflow limit when all slots of the target were in use as an overflow call ended.
const FULL_DECREASE_RATIO: f64 = 0.8;
/// Increase of the overflow limit when the target had a free slot as an overflow call ended.
const OVERFLOW_INCREASE_CALLS: f64 = 0.5;
/// Interval of the overflow calls that check for free slots; they are about 3% of the work of an
/// entry whose slots are all in use.
const OVERFLOW_TRIAL_INTERVAL: Duration = Duration::from_millis(200);

slotmap::new_key_type! {
    /// ID of a service in the scheduler, kept across documents.
    pub struct ServiceId;
}

/// A request to route one attempt of a call.
#[derive(Clone, Debug)]
pub struct RouteRequest {
    pub service: ServiceId,
    pub flow: FlowKey,
    pub weight: f64,
    pub shape: ShapeKey,
    /// Length that the document declares.
    pub declared: Length,
    pub deadline: Deadline,
    /// Targets that earlier attempts of the call have tried.
    pub avoid: Vec<TargetKey>,
}

/// A queued call.
pub struct Waiter {
    pub request: RouteRequest,
    pub sender: oneshot::Sender<Result<Permit, Code>>,
}

/// State of one service, kept across documents.
pub struct ServiceState {
    pub policy: Policy,
    pub targets: Vec<TargetKey>,
    /// Limit on the waiting calls of both queues together.
    pub queue_limit: usize,
    pub short_queue: Queue<Waiter>,
    pub long_queue: Queue<Waiter>,
    pub durations: Durations,
    pub demand: Demand,
    /// Limit on concurrent overflow calls.
    pub overflow_limit: f64,
    /// Start time of the newest overflow call.
    pub last_overflow: Option<Instant>,
    /// Calls routed so far by `Policy::RoundRobin`.
    pub routed_count: usize,
}

impl ServiceState {
    pub fn new(policy: Policy, queue_limit: usize) -> Self {
        Self {
            policy,
            targets: Vec::new(),
            queue_limit,
            short_queue: Queue::default(),
            long_queue: Queue::default(),
            durations: Durations::default(),
            demand: Demand::default(),
            overflow_limit: INITIAL_OVERFLOW_CALLS,
            last_overflow: None,
            routed_count: 0,
        }
    }

    /// The queue for calls of the given length.
    pub fn queue(&mut self, length: Length) -> &mut Queue<Waiter> {
        match length {
            Length::Long => &mut self.long_queue,
            Length::Short => &mut self.short_queue,
        }
    }

    /// Adapts the overflow limit to the load that an overflow call's target reported. The limit
    /// grows only if it was reached by `overflow_calls`, the number of such calls in flight,
    /// including the one that has just ended.
    pub fn adapt_overflow(&mut self, report: LoadReport, slots: u32, overflow_calls: u32) {
        let overflow_limit = match report {
            LoadReport { queued: 1.., .. } => self.overflow_limit * QUEUED_DECREASE_RATIO,
            LoadReport { running, .. } if running >= slots => {
                self.overflow_limit * FULL_DECREASE_RATIO
            }
            _ if f64::from(overflow_calls) + 1.0 <= self.overflow_limit => self.overflow_limit,
            _ => self.overflow_limit.max(MIN_OVERFLOW_CALLS) + OVERFLOW_INCREASE_CALLS,
        };
        self.overflow_limit = overflow_limit.clamp(MIN_OVERFLOW_CALLS / 2.0, MAX_OVERFLOW_CALLS);
    }

    /// Whether one more overflow call may be sent while `overflow_calls` are in flight.
    pub fn can_overflow(&self, overflow_calls: u32, now: Instant) -> bool {
        if self.overflow_limit >= MIN_OVERFLOW_CALLS {
            return f64::from(overflow_calls) + 1.0 <= self.overflow_limit;
        }
        self.last_overflow
            .is_none_or(|time| now.saturating_duration_since(time) >= OVERFLOW_TRIAL_INTERVAL)
    }

    /// Number of slots of other entries that overflow calls have found free.
    pub fn overflow_slots(&self) -> f64 {
        if self.overflow_limit < MIN_OVERFLOW_CALLS {
            return 0.0;
        }
        self.overflow_limit
    }

    pub fn has_waiting(&self) -> bool {
        !self.short_queue.is_empty() || !self.long_queue.is_empty()
    }

    /// Whether the queue for calls of the given length is full; long calls use at most half of the
    /// limit.
    pub fn is_full(&self, length: Length) -> bool {
        let is_full = self.short_queue.len() + self.long_queue.len() >= self.queue_limit;
        is_full || length == Length::Long && self.long_queue.len() >= self.queue_limit.div_ceil(2)
    }
}
