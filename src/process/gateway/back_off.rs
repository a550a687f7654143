//! Pauses between reads of the directory that fail.

use crate::prelude::*;

/// Pause after the first failure; each further one doubles it.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause of an entry that others wait for, or that cannot serve yet.
const AWAITED_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause of an entry to which another one should tell the directory's return. Changes must
/// be in force 2 s after it, also if nobody tells and the last read before it was lost.
const OTHER_PAUSE: Duration = Duration::from_millis(600);
/// Most doublings.
const MAX_DOUBLINGS: u32 = 8;

/// The failures of one feed's reads in a row.
#[derive(Clone, Copy, Debug, Default)]
pub struct BackOff {
    failures: u32,
}

impl BackOff {
    /// Takes note of a read that failed; returns the mean pause before the next one.
    pub fn fail(&mut self, is_awaited: bool) -> Duration {
        let longest = if is_awaited { AWAITED_PAUSE } else { OTHER_PAUSE };
        let pause = FIRST_PAUSE * (1 << self.failures.min(MAX_DOUBLINGS));
        self.failures += 1;
        pause.min(longest)
    }

    /// Takes note of a read that succeeded; returns whether the one before had failed.
    pub fn succeed(&mut self) -> bool {
        std::mem::take(&mut self.failures) > 0
    }

    /// Whether the last read failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }
}
