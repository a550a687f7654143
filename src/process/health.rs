//! Health of a target as its answers show it.

use crate::prelude::*;

/// Weight of a new outcome in the failure share.
const FAILURE_GAIN: f64 = 0.2;
/// Failures in a row that eject a target.
const MAX_STREAK: u32 = 3;
/// Failure share that ejects a target.
const MAX_FAILURE: f64 = 0.5;
/// Outcomes before the failure share counts.
const MIN_OUTCOMES: u32 = 10;
/// Weight of a new duration in the slowness.
const SLOW_GAIN: f64 = 0.2;
/// Durations before the slowness counts.
const MIN_DURATIONS: u32 = 5;
/// A target this many times slower than the median of its peers is ejected.
const MAX_SLOWNESS: f64 = 4.0;
/// Time of the first ejection.
const EJECTION: Duration = Duration::from_secs(1);
/// Most doublings of the ejection time, which bound it to 64 s.
const MAX_LEVEL: u32 = 6;
/// Time without a failure after which an ejection time grows no further from earlier ones.
const LEVEL_DECAY: Duration = Duration::from_secs(60);
/// Time over which a new or returned target gets its full share.
const RAMP: Duration = Duration::from_secs(10);
/// Smallest share of a target that is in use, so that its recovery is seen.
const MIN_SHARE: f64 = 0.05;

/// Failures, slowness, ejection and slow start of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failure: f64,
    outcomes: u32,
    streak: u32,
    slowness: f64,
    durations: u32,
    ejected: Option<Instant>,
    level: u32,
    ramp: Option<Instant>,
}

impl Health {
    /// A target that is new among targets already in use.
    pub fn ramping(now: Instant) -> Self {
        Self { ramp: Some(now), ..Self::default() }
    }

    /// Counts an outcome.
    pub fn count(&mut self, is_failure: bool) {
        self.outcomes += 1;
        self.streak = if is_failure { self.streak + 1 } else { 0 };
        self.failure += FAILURE_GAIN * (f64::from(u8::from(is_failure)) - self.failure);
    }

    /// Takes a duration as a multiple of the expected one.
    pub fn time(&mut self, ratio: f64) {
        self.durations += 1;
        let gain = SLOW_GAIN.max(1.0 / f64::from(self.durations));
        self.slowness += gain * (ratio - self.slowness);
    }

    /// Smoothed duration as a multiple of the expected one; `None` before enough are known.
    pub fn slowness(&self) -> Option<f64> {
        (self.durations >= MIN_DURATIONS).then_some(self.slowness)
    }

    /// Smoothed share of failures.
    pub fn failure(&self) -> f64 {
        self.failure
    }

    /// Whether the target should be ejected, given the median slowness of its peers.
    pub fn is_outlier(&self, median: Option<f64>, now: Instant) -> bool {
        // During the ramp after an ejection one failure is enough.
        let is_returned = self.level > 0 && self.share(now) < 1.0;
        let max_streak = if is_returned { 1 } else { MAX_STREAK };
        if self.streak >= max_streak {
            return true;
        }
        if self.outcomes >= MIN_OUTCOMES && self.failure > MAX_FAILURE {
            return true;
        }
        match (self.slowness(), median) {
            (Some(slowness), Some(median)) => slowness > MAX_SLOWNESS * median.max(1e-3),
            _ => false,
        }
    }

    /// Ejects the target; each ejection soon after another takes twice the time.
    pub fn eject(&mut self, now: Instant) -> Duration {
        let is_quiet = |end: Instant| now.saturating_duration_since(end) > LEVEL_DECAY;
        if self.ejected.is_some_and(is_quiet) {
            self.level = 0;
        }
        let span = EJECTION * 2u32.pow(self.level);
        self.level = (self.level + 1).min(MAX_LEVEL);
        let end = now + span;
        *self = Self { ejected: Some(end), level: self.level, ramp: Some(end), ..Self::default() };
        span
    }

    /// Whether the target is ejected.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected.is_some_and(|end| now < end)
    }

    /// Share of its normal work that the target should get, between 0.05 and 1.
    pub fn share(&self, now: Instant) -> f64 {
        let ramp = self.ramp.map_or(1.0, |start| {
            now.saturating_duration_since(start).as_secs_f64() / RAMP.as_secs_f64()
        });
        let success = 1.0 - self.failure;
        (ramp.min(1.0) * success * success).max(MIN_SHARE)
    }
}
