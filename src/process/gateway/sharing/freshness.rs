//! The age of an entry's cached copy of the directory.

use super::STALE_AGE;
use crate::edge::directory::Feed;
use crate::prelude::*;

/// Part of the routes' age that is not counted: a read of the routes may wait that long for a
/// change.
const ROUTES_ALLOWANCE: Duration = Duration::from_millis(2700);
/// Longest wait at the start for another entry's copy of the directory. Callers are refused
/// meanwhile.
pub const START_TIMEOUT: Duration = Duration::from_millis(400);
/// The same if all entries start together for the first time, before there are callers.
pub const FIRST_START_TIMEOUT: Duration = Duration::from_millis(2500);

/// Whether a change that is new to the copy can be much older than the wait of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyState {
    Fresh,
    /// There was no copy, or it was too old.
    Stale,
}

/// For each feed, the latest time at which the entry's copy was up to date with the directory.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    routes: Option<Instant>,
    targets: Option<Instant>,
    start_deadline: Option<Instant>,
}

impl Freshness {
    /// Sets the time until which an entry without a copy waits for another entry's.
    pub fn set_start_deadline(&mut self, deadline: Instant) {
        self.start_deadline = Some(deadline);
    }

    /// Records that the copy of a feed was up to date at a time.
    pub fn record_read(&mut self, feed: Feed, time: Instant) {
        let latest = match feed {
            Feed::Routes => &mut self.routes,
            Feed::Targets => &mut self.targets,
        };
        *latest = (*latest).max(Some(time));
    }

    /// The age of the copy, once it holds both feeds.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let age = |time: Instant| now.saturating_duration_since(time);
        let routes = age(self.routes?).saturating_sub(ROUTES_ALLOWANCE);
        Some(routes.max(age(self.targets?)))
    }

    /// The state of the copy.
    pub fn copy_state(&self, now: Instant) -> CopyState {
        match self.age(now).is_some_and(|age| age <= STALE_AGE) {
            true => CopyState::Fresh,
            false => CopyState::Stale,
        }
    }

    /// Records that another entry has sent its copy, which has this age.
    pub fn record_update(&mut self, age: Duration, now: Instant) {
        let Some(time) = now.checked_sub(age) else { return };
        self.record_read(Feed::Routes, time);
        self.record_read(Feed::Targets, time);
    }

    /// Time until the copy reaches an age of `limit`; without a copy, until the start deadline.
    pub fn time_left(&self, limit: Duration, now: Instant) -> Duration {
        match (self.age(now), self.start_deadline) {
            (Some(age), _) => limit.saturating_sub(age),
            (None, Some(deadline)) => deadline.saturating_duration_since(now),
            (None, None) => Duration::ZERO,
        }
    }
}
