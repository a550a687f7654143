//! The retry budget of each service.
//!
//! The budget holds for all entries together without coordination: each entry retries at most a
//! ratio of its own calls, so all of them retry at most that ratio of all calls. A fixed number of
//! retries, the slack, is allowed beyond the ratio, so that an entry with few calls can retry at
//! all. It is divided equally among the entries.

use std::collections::{HashMap, VecDeque};

use crate::prelude::*;

/// Part of the permitted retries that is used, because entries may differ in the start of a window
/// and in the number of entries that they count.
const USED_RATIO: f64 = 0.85;
/// Most retries beyond the ratio that one entry may make in a window.
const MAX_ENTRY_SLACK: f64 = 1.0;
/// Starts of an entry's process in a window that the slack allows for. A start forgets the retries
/// made before it.
const STARTS_PER_WINDOW: f64 = 2.0;

/// Calls and retries of one service in the window.
#[derive(Default)]
struct Window {
    calls: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl Window {
    fn discard_before(&mut self, start: Instant) {
        for times in [&mut self.calls, &mut self.retries] {
            while times.front().is_some_and(|time| *time < start) {
                times.pop_front();
            }
        }
    }
}

/// Sliding windows of the calls and retries of this entry, by service.
pub struct RetryBudget {
    ratio: f64,
    /// Retries of all entries in a window beyond the ratio.
    slack: f64,
    /// Length of the window.
    span: Duration,
    services: HashMap<Rc<str>, Window>,
}

impl RetryBudget {
    /// Allows `ratio` retries per call in any `span`, and `slack` more for all entries together.
    pub fn new(ratio: f64, slack: f64, span: Duration) -> Self {
        Self { ratio, slack, span, services: HashMap::new() }
    }

    /// Changes the limits; the retries already made still count.
    pub fn set_limits(&mut self, ratio: f64, slack: f64, span: Duration) {
        (self.ratio, self.slack, self.span) = (ratio, slack, span);
    }

    /// Counts the first attempt of a call to a service.
    pub fn record_call(&mut self, service: &Rc<str>, now: Instant) {
        let window = self.services.entry(service.clone()).or_default();
        window.calls.push_back(now);
        if let Some(start) = now.checked_sub(self.span) {
            window.discard_before(start);
        }
    }

    /// Takes one retry from this entry's part of the budget, which is shared by `entries` entries;
    /// false if it is exhausted.
    pub fn take_retry(&mut self, service: &Rc<str>, entries: u32, now: Instant) -> bool {
        let window = self.services.entry(service.clone()).or_default();
        if let Some(start) = now.checked_sub(self.span) {
            window.discard_before(start);
        }
        let entry_slack = USED_RATIO * self.slack / (STARTS_PER_WINDOW * f64::from(entries.max(1)));
        let calls = window.calls.len() as f64;
        let limit = entry_slack.min(MAX_ENTRY_SLACK) + USED_RATIO * self.ratio * calls;
        if window.retries.len() as f64 + 1.0 > limit {
            return false;
        }
        window.retries.push_back(now);
        true
    }
}
