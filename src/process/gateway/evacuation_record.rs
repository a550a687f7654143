//! The newest record of one failure domain's evacuation, as entries pass it on.

use crate::edge::directory::EvacuationState;
use crate::prelude::*;

/// What the directory says about the evacuation of a failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationRecord {
    /// Failure domain.
    pub domain: Rc<str>,
    /// Offset of the record in the feed of the routes. For a domain that a snapshot lacks, it is
    /// the last offset before the end of the snapshot.
    pub offset: u64,
    pub state: EvacuationState,
}
