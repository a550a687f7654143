//! The probes of one target in the window of the budget.

use std::collections::VecDeque;

use crate::prelude::*;

/// Window over which the probes of a target are limited.
pub const BUDGET_WINDOW: Duration = Duration::from_secs(1);

/// Probes of one entry to one target, one at a time.
///
/// A probe counts from its check until `BUDGET_WINDOW` after its response, so the budget holds at
/// whatever time between the two the target received it.
#[derive(Debug, Default)]
pub struct ProbeWindow {
    ended: VecDeque<Instant>,
    is_running: bool,
    /// Probes that timed out since the last response of the target.
    unanswered: u32,
}

impl ProbeWindow {
    /// Whether a probe may begin: none is under way, and fewer than `probe_limit` count at `now`.
    pub fn may_begin(&self, probe_limit: u32, now: Instant) -> bool {
        // A probe without a response may reach the target at any later time.
        !self.is_running && self.count(now) + self.unanswered < probe_limit
    }

    /// Begins a probe if `may_begin` allows it.
    pub fn try_begin(&mut self, probe_limit: u32, now: Instant) -> bool {
        let is_old = |end: &Instant| now.saturating_duration_since(*end) > BUDGET_WINDOW;
        while self.ended.front().is_some_and(is_old) {
            self.ended.pop_front();
        }
        let may_begin = self.may_begin(probe_limit, now);
        self.is_running |= may_begin;
        may_begin
    }

    /// Records that the target sent a response at `at`: it has handled all probes that it received
    /// before.
    pub fn record_response(&mut self, at: Instant) {
        if self.ended.back().is_none_or(|end| at > *end) {
            self.unanswered = 0;
        }
    }

    /// Ends the probe under way. Unless `is_answered` is set, it may still reach the target later.
    pub fn end(&mut self, is_answered: bool, now: Instant) {
        self.is_running = false;
        self.ended.push_back(now);
        self.unanswered = if is_answered { 0 } else { self.unanswered + 1 };
    }

    /// Probes that count at `now`.
    pub fn count(&self, now: Instant) -> u32 {
        let is_recent = |end: &&Instant| now.saturating_duration_since(**end) <= BUDGET_WINDOW;
        self.ended.iter().filter(is_recent).count() as u32 + u32::from(self.is_running)
    }
}
