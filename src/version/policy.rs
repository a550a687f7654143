//! How a service's calls are routed.

use serde::{Deserialize, Serialize};

/// The closed set of routing policies; all but `Adaptive` are baselines for comparison.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// By expected wait, from own calls and load reports.
    #[default]
    Adaptive,
    /// The target with the fewest own calls.
    LeastLocal,
    /// One target after the other.
    RoundRobin,
    /// The better of two random targets by own calls.
    TwoChoices,
}
