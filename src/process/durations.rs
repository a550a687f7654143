//! Observed durations of calls, by class and shape of the path.

use std::collections::HashMap;

use crate::prelude::*;
use crate::version::class::Length;

/// Weight of a new duration in a mean.
const GAIN: f64 = 0.05;
/// Durations of a shape before it can correct the document.
const MIN_SAMPLES: u32 = 20;
/// A shape counts as long from this many times the service's typical short duration on.
const LONG_FACTOR: f64 = 8.0;
/// Most shapes of one service; further ones share the numbers of their class.
const MAX_SHAPES: usize = 512;
/// An estimate older than this does not justify a refusal, so that a slow phase cannot refuse
/// every call that would correct it.
const MAX_AGE: Duration = Duration::from_secs(1);
/// Expected duration before the first answer.
const UNKNOWN: Duration = Duration::from_millis(10);

/// Key of calls that are expected to take the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ShapeKey {
    class: u64,
    shape: u64,
}

impl ShapeKey {
    /// The shape of a path: its first two segments without those that hold digits.
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
    seen: Instant,
}

impl Mean {
    fn add(&mut self, seconds: f64, now: Instant) {
        self.samples += 1;
        let gain = GAIN.max(1.0 / f64::from(self.samples));
        self.seconds += gain * (seconds - self.seconds);
        self.seen = now;
    }
}

/// Durations of one service.
#[derive(Default)]
pub struct Durations {
    shapes: HashMap<ShapeKey, Mean>,
    /// Smoothed logarithm of the durations of calls that the document calls short.
    short_log: Option<f64>,
}

impl Durations {
    /// Takes the duration of an answered call.
    pub fn observe(&mut self, key: ShapeKey, length: Length, span: Duration, now: Instant) {
        let seconds = span.as_secs_f64().max(1e-6);
        if length == Length::Short {
            let log = self.short_log.get_or_insert(seconds.ln());
            *log += GAIN * (seconds.ln() - *log);
        }
        let known = self.shapes.contains_key(&key) || self.shapes.len() < MAX_SHAPES;
        let key = if known { key } else { ShapeKey { shape: 0, ..key } };
        let first = Mean { seconds, samples: 0, seen: now };
        self.shapes.entry(key).or_insert(first).add(seconds, now);
    }

    /// Whether calls of a shape count as long; `declared` is what the document says.
    pub fn length(&self, key: ShapeKey, declared: Length) -> Length {
        let (Some(mean), Some(log)) = (self.mean(key), self.short_log) else { return declared };
        if mean.samples < MIN_SAMPLES {
            return declared;
        }
        if mean.seconds > LONG_FACTOR * log.exp() {
            return Length::Long;
        }
        Length::Short
    }

    /// The expected duration of a shape.
    pub fn expected(&self, key: ShapeKey) -> Duration {
        self.mean(key).map_or(UNKNOWN, |mean| Duration::from_secs_f64(mean.seconds))
    }

    /// The expected duration, if it is recent enough to refuse a call for it.
    pub fn recent(&self, key: ShapeKey, now: Instant) -> Option<Duration> {
        let mean = self.mean(key)?;
        let is_recent = now.saturating_duration_since(mean.seen) < MAX_AGE;
        is_recent.then(|| Duration::from_secs_f64(mean.seconds))
    }

    /// The typical duration of short calls.
    pub fn short(&self) -> Duration {
        self.short_log.map_or(UNKNOWN, |log| Duration::from_secs_f64(log.exp()))
    }

    fn mean(&self, key: ShapeKey) -> Option<&Mean> {
        self.shapes.get(&key).or_else(|| self.shapes.get(&ShapeKey { shape: 0, ..key }))
    }
}
