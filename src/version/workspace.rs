//! Workspaces, the unit of fairness.

/// A workspace with its weight and its retry budget.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    pub name: String,
    /// Share of a service under contention, relative to the other workspaces.
    pub weight: u32,
    /// Maximum retries, in percent of first attempts.
    pub retry_percent: f64,
}
