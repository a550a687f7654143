//! The newest record of one failure domain's evacuation, as entries pass it on.

use crate::edge::directory::EvacuationState;
use crate::edge::position::Position;
use crate::prelude::*;

/// What the directory says about the evacuation of a failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationRecord {
    /// Failure domain.
    pub domain: Rc<str>,
    /// Position of the record in the feed of the routes. For a domain that a snapshot lacks, it is
    /// the last one before the end of the snapshot.
    pub position: Position,
    pub state: EvacuationState,
}
