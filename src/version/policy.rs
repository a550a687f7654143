//! Routing policies.

use serde::{Deserialize, Serialize};

/// Policy that selects the target of each call; all but `Adaptive` are baselines for comparison.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Routes by expected wait, estimated from this entry's calls and from load reports.
    #[default]
    Adaptive,
    /// Routes to the target with the fewest calls of this entry.
    LeastLocal,
    /// Routes to each target in turn.
    RoundRobin,
    /// Routes to the one of two random targets that has fewer calls of this entry.
    TwoChoices,
}
