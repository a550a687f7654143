//! The typical duration of the calls of each route.

use std::collections::HashMap;

use crate::prelude::*;

/// Weight of a new duration in the moving mean.
const SMOOTHING_FACTOR: f64 = 0.1;
/// Calls of a route before its mean is used.
const MIN_SAMPLES: u32 = 8;

#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    seconds: f64,
    samples: u32,
}

/// Mean duration of the calls of each route at an idle target of normal speed.
#[derive(Debug, Default)]
pub struct TypicalDurations {
    routes: HashMap<Rc<str>, Mean>,
}

impl TypicalDurations {
    /// Records a call that took `span` at a target whose load was expected to prolong it by
    /// `duration_factor`.
    pub fn add(&mut self, route: &Rc<str>, span: Duration, duration_factor: f64) {
        let seconds = span.as_secs_f64() / duration_factor.max(1.0);
        let mean = self.routes.entry(route.clone()).or_default();
        mean.samples = mean.samples.saturating_add(1);
        let weight = SMOOTHING_FACTOR.max(1.0 / f64::from(mean.samples));
        mean.seconds += weight * (seconds - mean.seconds);
    }

    /// The typical duration; `None` before there are enough samples.
    pub fn get(&self, route: &str) -> Option<Duration> {
        let mean = self.routes.get(route).filter(|mean| mean.samples >= MIN_SAMPLES)?;
        Some(Duration::from_secs_f64(mean.seconds))
    }

    /// Removes the routes that are no longer in force.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| is_known(route));
    }
}
