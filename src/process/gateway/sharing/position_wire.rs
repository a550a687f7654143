//! The wire format of positions in the directory.

use serde::{Deserialize, Serialize};

use crate::edge::position::Position;

#[derive(Serialize, Deserialize)]
pub struct PositionWire {
    history: u64,
    offset: u64,
}

impl From<Position> for PositionWire {
    fn from(Position { history, offset }: Position) -> Self {
        Self { history, offset }
    }
}

impl From<PositionWire> for Position {
    fn from(PositionWire { history, offset }: PositionWire) -> Self {
        Self { history, offset }
    }
}
