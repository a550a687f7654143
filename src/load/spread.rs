//! Percentiles of a set of latencies.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Percentiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Spread {
    pub p50_ms: f64,
    pub p90_ms: f64,
    pub p99_ms: f64,
    pub p999_ms: f64,
    pub max_ms: f64,
}

impl Spread {
    /// Reads the percentiles of a histogram in microseconds.
    pub fn of(histogram: &Histogram<u64>) -> Self {
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

/// An empty histogram of microseconds with three significant digits that grows as needed.
pub fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are a valid precision")
}
