//! The load that a target reports in response to a probe or a call.

use crate::prelude::*;

/// Slowdown at which work takes its typical time.
const NORMAL_SLOWDOWN_PERCENT: f64 = 100.0;
/// Utilization of the slots above which many targets slow down.
const HIGH_UTILIZATION: f64 = 0.8;
/// Factor on the duration of work at a target above `HIGH_UTILIZATION`.
const HIGH_UTILIZATION_FACTOR: f64 = 1.5;

/// The load of a target, as the target reports it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    pub running: u32,
    pub waiting: u32,
    pub slots: u32,
    /// Current duration of work, in percent of its typical duration.
    pub slowdown_percent: u32,
}

impl Load {
    /// Parses `running,waiting,slots` or `running,waiting,slots,slowdown`, the slowdown in percent.
    pub fn parse(text: &str) -> Option<Self> {
        let mut fields = text.split(',').map(|field| field.trim().parse::<u32>());
        let mut next = || fields.next()?.ok();
        let (running, waiting, slots) = (next()?, next()?, next()?);
        let slowdown_percent = next().unwrap_or(NORMAL_SLOWDOWN_PERCENT as u32);
        Some(Self { running, waiting, slots: slots.max(1), slowdown_percent })
    }

    /// Raises the number of running calls to at least `running`.
    pub fn with_min_running(self, running: u32) -> Self {
        Self { running: self.running.max(running), ..self }
    }

    /// The load after one more call has arrived.
    pub fn with_added_call(self) -> Self {
        match self.running < self.slots {
            true => Self { running: self.running + 1, ..self },
            false => Self { waiting: self.waiting.saturating_add(1), ..self },
        }
    }

    /// Expected duration of one more call, as a multiple of its typical duration.
    pub fn duration_factor(&self) -> f64 {
        let slowdown = f64::from(self.slowdown_percent.max(1)) / NORMAL_SLOWDOWN_PERCENT;
        let slots = f64::from(self.slots);
        let utilization = f64::from(self.running.saturating_add(1)) / slots;
        let utilization_factor =
            if utilization > HIGH_UTILIZATION { HIGH_UTILIZATION_FACTOR } else { 1.0 };
        slowdown * (utilization_factor + self.queue_ratio())
    }

    /// Calls that one more call would wait for, as a multiple of the target's slots.
    pub fn queue_ratio(&self) -> f64 {
        let ahead =
            self.running.saturating_add(self.waiting).saturating_add(1).saturating_sub(self.slots);
        f64::from(ahead) / f64::from(self.slots)
    }
}

/// A target's load at the time `taken`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadSample {
    pub taken: Instant,
    /// `None` if the target reports no load.
    pub load: Option<Load>,
    /// Whether the target reports itself as healthy.
    pub healthy: bool,
}

impl LoadSample {
    /// Age of the sample in microseconds.
    pub fn age_us(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.taken).as_micros() as u64
    }
}
