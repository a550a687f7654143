//! Counts of quota decisions since they were last read.

/// Counts for the metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Calls that got a token.
    pub granted: u64,
    /// Calls that were refused.
    pub refused: u64,
    /// Calls that no owner answered, which then used this entry's own share.
    pub unanswered: u64,
    /// Messages that were dropped as unusable.
    pub dropped: u64,
}
