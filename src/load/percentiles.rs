//! Percentiles of a set of durations.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Percentiles and maximum of a set of durations, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Percentiles {
    pub p50_ms: f64,
    pub p90_ms: f64,
    pub p99_ms: f64,
    pub p999_ms: f64,
    pub max_ms: f64,
}

impl Percentiles {
    /// Computes the percentiles of a histogram of microseconds.
    pub fn from_histogram(histogram: &Histogram<u64>) -> Self {
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        Self {
            p50_ms: at(0.5),
            p90_ms: at(0.9),
            p99_ms: at(0.99),
            p999_ms: at(0.999),
            max_ms: histogram.max() as f64 / 1000.0,
        }
    }
}

/// Creates an empty, auto-resizing histogram of microseconds with three significant digits.
pub fn new_histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are a valid precision")
}
