//! A workspace, the unit of fairness.

/// A workspace's share and budgets.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    pub name: String,
    /// Share of a service under contention, relative to the other workspaces.
    pub weight: u32,
    /// Retries in percent of first attempts.
    pub retry_percent: f64,
}
