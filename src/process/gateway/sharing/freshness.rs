//! How old an entry's knowledge of the directory is.

use crate::edge::directory::Feed;
use crate::prelude::*;

/// Time that a read of the routes may wait for a change before its silence counts as age.
const ROUTES_SLACK: Duration = Duration::from_millis(2700);
/// Time after the start in which the entry waits for another one to share its knowledge. Callers
/// are refused meanwhile.
pub const START_PATIENCE: Duration = Duration::from_millis(400);
/// The same if all entries start together for the first time, before there are callers.
pub const FIRST_START_PATIENCE: Duration = Duration::from_millis(2500);

/// The moments whose state of the directory the entry knows at least.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    routes: Option<Instant>,
    targets: Option<Instant>,
    patient_until: Option<Instant>,
}

impl Freshness {
    /// Starts with nothing but the prospect of another entry's knowledge.
    pub fn wait_until(&mut self, moment: Instant) {
        self.patient_until = Some(moment);
    }

    /// Takes note that the entry knows the state of a feed at a moment.
    pub fn learn(&mut self, feed: Feed, moment: Instant) {
        let known = match feed {
            Feed::Routes => &mut self.routes,
            Feed::Targets => &mut self.targets,
        };
        *known = (*known).max(Some(moment));
    }

    /// The age of the knowledge, if there is any of both feeds.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let age = |moment: Instant| now.saturating_duration_since(moment);
        let routes = age(self.routes?).saturating_sub(ROUTES_SLACK);
        Some(routes.max(age(self.targets?)))
    }

    /// Takes note of another entry's knowledge of this age.
    pub fn hear(&mut self, age: Duration, now: Instant) {
        let Some(moment) = now.checked_sub(age) else { return };
        self.learn(Feed::Routes, moment);
        self.learn(Feed::Targets, moment);
    }

    /// How long the knowledge is still younger than `limit`.
    pub fn rest(&self, limit: Duration, now: Instant) -> Duration {
        match (self.age(now), self.patient_until) {
            (Some(age), _) => limit.saturating_sub(age),
            (None, Some(until)) => until.saturating_duration_since(now),
            (None, None) => Duration::ZERO,
        }
    }
}
