//! The typical duration of the calls of each route.

use super::moving_mean::MovingMeans;
use crate::prelude::*;

/// Mean duration in seconds of the calls of each route at an idle target of normal speed.
#[derive(Debug, Default)]
pub struct TypicalDurations {
    seconds: MovingMeans,
}

impl TypicalDurations {
    /// Records a call that took `span` at a target whose load was expected to prolong it by
    /// `duration_factor`.
    pub fn add(&mut self, route: &Rc<str>, span: Duration, duration_factor: f64) {
        self.seconds.add(route, span.as_secs_f64() / duration_factor.max(1.0));
    }

    /// The typical duration; `None` before there are enough samples.
    pub fn get(&self, route: &str) -> Option<Duration> {
        self.seconds.get(route).map(Duration::from_secs_f64)
    }

    /// Removes the routes that are no longer in force.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.seconds.retain(is_known);
    }
}
