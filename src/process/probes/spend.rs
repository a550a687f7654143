//! Probes spent on one target.

use std::collections::VecDeque;

use crate::prelude::*;

/// Window of the budget.
pub const WINDOW: Duration = Duration::from_secs(1);

/// Probes of one entry to one target, one at a time.
///
/// A probe counts from its check until a window after its response, so the window holds wherever
/// between the two the target received it.
#[derive(Debug, Default)]
pub struct Spend {
    ended: VecDeque<Instant>,
    is_running: bool,
    /// Probes without a response since the target was last heard.
    unanswered: u32,
}

impl Spend {
    /// Whether fewer than `allowance` probes count at `now`.
    pub fn may_begin(&self, allowance: u32, now: Instant) -> bool {
        // A probe without a response may reach the target at any later time.
        !self.is_running && self.count(now) + self.unanswered < allowance
    }

    /// Starts a probe if fewer than `allowance` count at `now`.
    pub fn begin(&mut self, allowance: u32, now: Instant) -> bool {
        let is_old = |end: &Instant| now.saturating_duration_since(*end) > WINDOW;
        while self.ended.front().is_some_and(is_old) {
            self.ended.pop_front();
        }
        let may_begin = self.may_begin(allowance, now);
        self.is_running |= may_begin;
        may_begin
    }

    /// Records that the target responded to something at `at`: it has worked off what it got
    /// before.
    pub fn heard(&mut self, at: Instant) {
        if self.ended.back().is_none_or(|end| at > *end) {
            self.unanswered = 0;
        }
    }

    /// Ends the probe under way.
    pub fn end(&mut self, is_answered: bool, now: Instant) {
        self.is_running = false;
        self.ended.push_back(now);
        self.unanswered = if is_answered { 0 } else { self.unanswered + 1 };
    }

    /// Probes that count at `now`.
    pub fn count(&self, now: Instant) -> u32 {
        let is_recent = |end: &&Instant| now.saturating_duration_since(**end) <= WINDOW;
        self.ended.iter().filter(is_recent).count() as u32 + u32::from(self.is_running)
    }
}
