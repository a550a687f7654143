//! What is known of other entries' calls at a target.

use crate::prelude::*;

/// Weight of a new report in the mean.
const MEAN_GAIN: f64 = 0.3;
/// A report of more calls than this many times the slots is cut, so that one false report cannot
/// keep a target out of use for long.
const MAX_FACTOR: f64 = 3.0;

/// An estimate that goes from the newest report back to the mean of all reports.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerLoad {
    count: f64,
    mean: f64,
    seen: Option<Instant>,
}

impl PeerLoad {
    /// Takes a report of `total` calls, of which `own` are this entry's.
    pub fn observe(&mut self, total: u32, own: usize, slots: u32, now: Instant) {
        let count = f64::from(total) - own as f64;
        self.count = count.clamp(0.0, MAX_FACTOR * f64::from(slots));
        let gain = if self.seen.is_some() { MEAN_GAIN } else { 1.0 };
        self.mean += gain * (self.count - self.mean);
        self.seen = Some(now);
    }

    /// Whether the newest report is from before `at`.
    pub fn is_older(&self, at: Instant) -> bool {
        self.seen.is_none_or(|seen| seen < at)
    }

    /// When the newest report came.
    pub fn seen(&self) -> Option<Instant> {
        self.seen
    }

    /// The expected number of others' calls at `now`; `span` is the time a call takes.
    pub fn estimate(&self, now: Instant, span: Duration) -> f64 {
        let Some(seen) = self.seen else { return 0.0 };
        let age = now.saturating_duration_since(seen).as_secs_f64();
        let keep = (-age / span.as_secs_f64().max(0.001)).exp();
        self.mean + (self.count - self.mean) * keep
    }
}
