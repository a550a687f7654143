//! Estimate of the calls that other entries have at a target.

use crate::prelude::*;

/// Weight of a new report in the moving average.
const MEAN_EWMA_WEIGHT: f64 = 0.3;
/// Reports are clamped to this many calls per slot, so that one wrong report cannot keep a target
/// out of use for long.
const MAX_SLOTS_RATIO: f64 = 3.0;

/// Estimated load of other entries, which decays from the newest report to the mean of all reports.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerLoad {
    last_count: f64,
    mean_count: f64,
    updated_at: Option<Instant>,
}

impl PeerLoad {
    /// Records a report of `total` calls at the target, of which `own` are this entry's.
    pub fn record(&mut self, total: u32, own: usize, slots: u32, now: Instant) {
        let last_count = f64::from(total) - own as f64;
        self.last_count = last_count.clamp(0.0, MAX_SLOTS_RATIO * f64::from(slots));
        let gain = if self.updated_at.is_some() { MEAN_EWMA_WEIGHT } else { 1.0 };
        self.mean_count += gain * (self.last_count - self.mean_count);
        self.updated_at = Some(now);
    }

    /// Whether the newest report is older than `at`, or there is none.
    pub fn is_older_than(&self, at: Instant) -> bool {
        self.updated_at.is_none_or(|updated_at| updated_at < at)
    }

    /// Time of the newest report.
    pub fn updated_at(&self) -> Option<Instant> {
        self.updated_at
    }

    /// Expected number of other entries' calls at `now`; the newest report loses its weight within
    /// a few times `call_duration`.
    pub fn estimate(&self, now: Instant, call_duration: Duration) -> f64 {
        let Some(updated_at) = self.updated_at else { return 0.0 };
        let age = now.saturating_duration_since(updated_at).as_secs_f64();
        let weight = (-age / call_duration.as_secs_f64().max(0.001)).exp();
        self.mean_count + (self.last_count - self.mean_count) * weight
    }
}
