//! Moving means of what the calls of each route take.

use std::collections::HashMap;

use crate::prelude::*;

/// Weight of a new value in the moving mean.
const SMOOTHING_FACTOR: f64 = 0.1;
/// Values of a route before its mean is used.
const MIN_SAMPLES: u32 = 8;

#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    value: f64,
    samples: u32,
}

/// A moving mean for each route.
#[derive(Debug, Default)]
pub struct MovingMeans {
    routes: HashMap<Rc<str>, Mean>,
}

impl MovingMeans {
    /// Records a value of a route.
    pub fn add(&mut self, route: &Rc<str>, value: f64) {
        let mean = self.routes.entry(route.clone()).or_default();
        mean.samples = mean.samples.saturating_add(1);
        let weight = SMOOTHING_FACTOR.max(1.0 / f64::from(mean.samples));
        mean.value += weight * (value - mean.value);
    }

    /// The mean of a route; `None` before there are enough values.
    pub fn get(&self, route: &str) -> Option<f64> {
        self.routes.get(route).filter(|mean| mean.samples >= MIN_SAMPLES).map(|mean| mean.value)
    }

    /// Removes the routes that are no longer in force.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| is_known(route));
    }
}
