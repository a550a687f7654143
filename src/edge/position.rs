//! Positions in the streams of a directory that may return from an older copy.

/// A history of the directory and an offset in one of its streams.
///
/// A directory that returns from a copy begins a new history. Offsets of the lost part are given out
/// again, so that offsets of different histories say nothing about each other. Any position of a
/// later history lies behind all of the earlier ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Number of the history; 0 in a directory that names none.
    pub history: u64,
    pub offset: u64,
}

impl Position {
    pub fn new(history: u64, offset: u64) -> Self {
        Self { history, offset }
    }

    /// The position before this one in the same history, or this one if it is the first.
    pub fn previous(self) -> Self {
        Self { offset: self.offset.saturating_sub(1), ..self }
    }
}

impl From<u64> for Position {
    /// The position in a directory that names no history.
    fn from(offset: u64) -> Self {
        Self { history: 0, offset }
    }
}
