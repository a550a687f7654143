//! What a target said of its load when it was last asked.

use crate::prelude::*;

/// Percentage at which work takes as long as usual.
const USUAL_PACE: f64 = 100.0;
/// Share of the slots in use beyond which work slows down on many targets.
const CROWDED_SHARE: f64 = 0.8;
/// Factor on the duration of work at a crowded target.
const CROWDED_FACTOR: f64 = 1.5;

/// A target's load, as it reported it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    pub running: u32,
    pub waiting: u32,
    pub slots: u32,
    /// How long work takes at the moment, in percent of the usual.
    pub pace: u32,
}

impl Load {
    /// Parses `running,waiting,slots` with an optional pace in percent behind them.
    pub fn parse(text: &str) -> Option<Self> {
        let mut figures = text.split(',').map(|figure| figure.trim().parse::<u32>());
        let mut next = || figures.next()?.ok();
        let (running, waiting, slots) = (next()?, next()?, next()?);
        let pace = next().unwrap_or(USUAL_PACE as u32);
        Some(Self { running, waiting, slots: slots.max(1), pace })
    }

    /// The load with at least `running` calls at work.
    pub fn with_running(self, running: u32) -> Self {
        Self { running: self.running.max(running), ..self }
    }

    /// The load once a further call has arrived.
    pub fn with_another(self) -> Self {
        match self.running < self.slots {
            true => Self { running: self.running + 1, ..self },
            false => Self { waiting: self.waiting.saturating_add(1), ..self },
        }
    }

    /// Expected duration of a further call in units of its usual duration.
    pub fn stretch(&self) -> f64 {
        let pace = f64::from(self.pace.max(1)) / USUAL_PACE;
        let slots = f64::from(self.slots);
        let used = f64::from(self.running.saturating_add(1)) / slots;
        let crowding = if used > CROWDED_SHARE { CROWDED_FACTOR } else { 1.0 };
        pace * (crowding + self.queue())
    }

    /// Calls ahead of a further one in rounds of the target's slots.
    pub fn queue(&self) -> f64 {
        let ahead =
            self.running.saturating_add(self.waiting).saturating_add(1).saturating_sub(self.slots);
        f64::from(ahead) / f64::from(self.slots)
    }
}

/// A target's answer to a probe.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadSample {
    pub taken: Instant,
    /// The load, if the target tells it.
    pub load: Option<Load>,
    /// Whether the target calls itself healthy.
    pub healthy: bool,
}

impl LoadSample {
    /// Age of the reading in microseconds.
    pub fn age_us(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.taken).as_micros() as u64
    }
}
