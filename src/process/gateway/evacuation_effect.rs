//! The effect of a record of an evacuation.

/// What applying a record has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvacuationEffect {
    Began,
    Ended,
    /// Only the offset is newer.
    Renewed,
    /// The record is outdated or known.
    Unchanged,
    /// Too many domains are evacuated.
    Refused,
}

impl EvacuationEffect {
    /// Whether the set of records has changed.
    pub fn is_change(self) -> bool {
        matches!(self, Self::Began | Self::Ended | Self::Renewed)
    }
}
