//! Observed durations of calls, by class and path shape.

use std::collections::HashMap;

use crate::prelude::*;
use crate::version::class::Length;

/// Weight of a new duration in a moving average.
const EWMA_WEIGHT: f64 = 0.05;
/// Number of durations of a shape before they can override the length that the document declares.
const MIN_SAMPLES: u32 = 20;
/// Calls of a shape are long if they take more than this many times the service's typical short
/// duration.
const MIN_LONG_RATIO: f64 = 8.0;
/// Limit on the shapes of one service; further ones share one average per class.
const MAX_SHAPES: usize = 512;
/// Calls are not refused by an estimate older than this; otherwise the estimate of a slow phase
/// could refuse every call that would correct it.
const MAX_ESTIMATE_AGE: Duration = Duration::from_secs(1);
/// Expected duration before the first response.
const DEFAULT_DURATION: Duration = Duration::from_millis(10);

/// Key of calls whose durations are averaged together: their class and path shape.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ShapeKey {
    class: u64,
    shape: u64,
}

impl ShapeKey {
    /// The key for a class and a path; the shape of a path is its first two segments, without those
    /// that contain digits.
    pub fn new(class: &str, path: &str) -> Self {
        let is_name = |part: &&str| !part.bytes().any(|byte| byte.is_ascii_digit());
        let names = path.split('/').filter(|part| !part.is_empty()).take(2).filter(is_name);
        let mut shape = xxhash_rust::xxh3::Xxh3::new();
        for name in names {
            shape.update(name.as_bytes());
            shape.update(b"/");
        }
        Self { class: xxhash_rust::xxh3::xxh3_64(class.as_bytes()), shape: shape.digest() }
    }
}

#[derive(Clone, Copy, Debug)]
struct Mean {
    seconds: f64,
    samples: u32,
    updated_at: Instant,
}

impl Mean {
    fn add(&mut self, seconds: f64, now: Instant) {
        self.samples += 1;
        // The first durations have equal weights, until that of a new one falls to `EWMA_WEIGHT`.
        let gain = EWMA_WEIGHT.max(1.0 / f64::from(self.samples));
        self.seconds += gain * (seconds - self.seconds);
        self.updated_at = now;
    }
}

/// Moving averages of the call durations of one service.
#[derive(Default)]
pub struct Durations {
    shapes: HashMap<ShapeKey, Mean>,
    /// Moving average of the natural logarithm of the durations, in seconds, of calls that the
    /// document declares short.
    short_ln: Option<f64>,
}

impl Durations {
    /// Records the duration of an answered call.
    pub fn record(&mut self, key: ShapeKey, length: Length, duration: Duration, now: Instant) {
        let seconds = duration.as_secs_f64().max(1e-6);
        if length == Length::Short {
            let ln = self.short_ln.get_or_insert(seconds.ln());
            *ln += EWMA_WEIGHT * (seconds.ln() - *ln);
        }
        let is_tracked = self.shapes.contains_key(&key) || self.shapes.len() < MAX_SHAPES;
        let key = if is_tracked { key } else { ShapeKey { shape: 0, ..key } };
        let first = Mean { seconds, samples: 0, updated_at: now };
        self.shapes.entry(key).or_insert(first).add(seconds, now);
    }

    /// The length of calls of a shape: `declared`, the length in the document, unless the observed
    /// durations override it.
    pub fn classify(&self, key: ShapeKey, declared: Length) -> Length {
        let (Some(mean), Some(ln)) = (self.mean(key), self.short_ln) else { return declared };
        if mean.samples < MIN_SAMPLES {
            return declared;
        }
        if mean.seconds > MIN_LONG_RATIO * ln.exp() {
            return Length::Long;
        }
        Length::Short
    }

    /// Expected duration of calls of a shape.
    pub fn expected(&self, key: ShapeKey) -> Duration {
        self.mean(key).map_or(DEFAULT_DURATION, |mean| Duration::from_secs_f64(mean.seconds))
    }

    /// Expected duration, if the estimate is recent enough to refuse calls by it.
    pub fn recent_mean(&self, key: ShapeKey, now: Instant) -> Option<Duration> {
        let mean = self.mean(key)?;
        let is_recent = now.saturating_duration_since(mean.updated_at) < MAX_ESTIMATE_AGE;
        is_recent.then(|| Duration::from_secs_f64(mean.seconds))
    }

    /// Typical duration of short calls.
    pub fn typical_short(&self) -> Duration {
        self.short_ln.map_or(DEFAULT_DURATION, |ln| Duration::from_secs_f64(ln.exp()))
    }

    /// The average of a shape; shape 0 is the shared average of the shapes beyond `MAX_SHAPES`.
    fn mean(&self, key: ShapeKey) -> Option<&Mean> {
        self.shapes.get(&key).or_else(|| self.shapes.get(&ShapeKey { shape: 0, ..key }))
    }
}
