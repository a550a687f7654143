//! How a batch of the routes' feed was read.

use super::sharing::freshness::CopyState;

/// The kind of a read of the routes' feed, and the state of the entry's copy right before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoutesRead {
    /// Whether the batch holds the newest record of each key.
    pub is_snapshot: bool,
    pub copy: CopyState,
}
