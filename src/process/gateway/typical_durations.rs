//! How long the calls of each route usually run.

use std::collections::HashMap;

use crate::prelude::*;

/// Weight of a new duration in the mean.
const GAIN: f64 = 0.1;
/// Durations before the mean counts.
const MIN_SAMPLES: u32 = 8;

#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    seconds: f64,
    samples: u32,
}

/// Mean durations at a free target with a usual pace.
#[derive(Debug, Default)]
pub struct TypicalDurations {
    routes: HashMap<Rc<str>, Mean>,
}

impl TypicalDurations {
    /// Takes note of a call that ran for `span` at a target that was expected to stretch it.
    pub fn add(&mut self, route: &Rc<str>, span: Duration, stretch: f64) {
        let seconds = span.as_secs_f64() / stretch.max(1.0);
        let mean = self.routes.entry(route.clone()).or_default();
        mean.samples = mean.samples.saturating_add(1);
        let gain = GAIN.max(1.0 / f64::from(mean.samples));
        mean.seconds += gain * (seconds - mean.seconds);
    }

    /// The usual duration, once there are enough samples.
    pub fn get(&self, route: &str) -> Option<Duration> {
        let mean = self.routes.get(route).filter(|mean| mean.samples >= MIN_SAMPLES)?;
        Some(Duration::from_secs_f64(mean.seconds))
    }

    /// Forgets routes that are no longer in force.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| is_known(route));
    }
}
