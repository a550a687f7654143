//! Health of a target by the outcomes and durations of its calls.

use crate::prelude::*;

/// Weight of a new outcome in the moving average of failures.
const FAILURE_EWMA_WEIGHT: f64 = 0.2;
/// Number of consecutive failures at which a target is ejected.
const EJECTION_FAILURES: u32 = 3;
/// Failure ratio above which a target is ejected.
const MAX_FAILURE_RATIO: f64 = 0.5;
/// Number of outcomes before the failure ratio can eject a target.
const MIN_OUTCOMES: u32 = 10;
/// Lowest weight of a new duration in the moving average of slowness.
const SLOWNESS_EWMA_WEIGHT: f64 = 0.2;
/// Number of durations before the slowness is used.
const MIN_DURATIONS: u32 = 5;
/// A target is ejected if it is more than this many times slower than the median of its service.
const MAX_SLOWNESS_RATIO: f64 = 4.0;
/// Duration of the first ejection.
const INITIAL_EJECTION: Duration = Duration::from_secs(1);
/// Limit on the doublings of the ejection's duration, which bounds it to 64 s.
const MAX_EJECTION_DOUBLINGS: u32 = 6;
/// An ejection that starts later than this after the last one ended lasts `INITIAL_EJECTION` again.
const DOUBLINGS_RESET_DELAY: Duration = Duration::from_secs(60);
/// Time over which the traffic of a new or recovered target rises to its full share.
const RAMP_DURATION: Duration = Duration::from_secs(10);
/// Lowest traffic share of a target in use, so that its recovery is noticed.
const MIN_TRAFFIC_SHARE: f64 = 0.05;

/// Failure ratio, slowness, ejection and ramp of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failure_ratio: f64,
    outcome_count: u32,
    consecutive_failures: u32,
    slowness: f64,
    duration_count: u32,
    ejected_until: Option<Instant>,
    /// Doublings of the next ejection's duration, thus 1 after the first ejection.
    doublings: u32,
    ramp_start: Option<Instant>,
}

impl Health {
    /// The health of a target that is added to a service in use: its traffic ramps up.
    pub fn ramping(now: Instant) -> Self {
        Self { ramp_start: Some(now), ..Self::default() }
    }

    pub fn record_outcome(&mut self, is_failure: bool) {
        self.outcome_count += 1;
        self.consecutive_failures = if is_failure { self.consecutive_failures + 1 } else { 0 };
        self.failure_ratio +=
            FAILURE_EWMA_WEIGHT * (f64::from(u8::from(is_failure)) - self.failure_ratio);
    }

    /// Records the duration of a call, as a multiple of the expected one. The first durations form
    /// a plain mean.
    pub fn record_duration(&mut self, duration_ratio: f64) {
        self.duration_count += 1;
        let weight = SLOWNESS_EWMA_WEIGHT.max(1.0 / f64::from(self.duration_count));
        self.slowness += weight * (duration_ratio - self.slowness);
    }

    /// Moving average of durations as multiples of the expected one; `None` before `MIN_DURATIONS`.
    pub fn slowness(&self) -> Option<f64> {
        (self.duration_count >= MIN_DURATIONS).then_some(self.slowness)
    }

    /// Moving average of failures, from 0 to 1.
    pub fn failure_ratio(&self) -> f64 {
        self.failure_ratio
    }

    /// Whether the target should be ejected, given the median slowness of its service's targets.
    pub fn should_eject(&self, median_slowness: Option<f64>, now: Instant) -> bool {
        // After an ejection, one failure is enough until the traffic is back to its full share.
        let is_recovering = self.doublings > 0 && self.traffic_share(now) < 1.0;
        let failure_threshold = if is_recovering { 1 } else { EJECTION_FAILURES };
        if self.consecutive_failures >= failure_threshold {
            return true;
        }
        if self.outcome_count >= MIN_OUTCOMES && self.failure_ratio > MAX_FAILURE_RATIO {
            return true;
        }
        match (self.slowness(), median_slowness) {
            // The lower limit keeps a median of zero from ejecting every slower target.
            (Some(slowness), Some(median)) => slowness > MAX_SLOWNESS_RATIO * median.max(1e-3),
            _ => false,
        }
    }

    /// Ejects the target and returns for how long; each ejection soon after another lasts twice as
    /// long.
    pub fn eject(&mut self, now: Instant) -> Duration {
        let is_reset_due =
            |end: Instant| now.saturating_duration_since(end) > DOUBLINGS_RESET_DELAY;
        if self.ejected_until.is_some_and(is_reset_due) {
            self.doublings = 0;
        }
        let ejection = INITIAL_EJECTION * 2u32.pow(self.doublings);
        self.doublings = (self.doublings + 1).min(MAX_EJECTION_DOUBLINGS);
        let end = now + ejection;
        *self = Self {
            ejected_until: Some(end),
            doublings: self.doublings,
            ramp_start: Some(end),
            ..Self::default()
        };
        ejection
    }

    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|end| now < end)
    }

    /// Share of its normal traffic that the target should get, from `MIN_TRAFFIC_SHARE` to 1.
    pub fn traffic_share(&self, now: Instant) -> f64 {
        let ramp_progress = self.ramp_start.map_or(1.0, |start| {
            now.saturating_duration_since(start).as_secs_f64() / RAMP_DURATION.as_secs_f64()
        });
        let success = 1.0 - self.failure_ratio;
        (ramp_progress.min(1.0) * success * success).max(MIN_TRAFFIC_SHARE)
    }
}
