//! Contact with the directory, and what an absence means after an outage.

use super::registry::Absence;
use crate::prelude::*;

/// Shortest outage in which an entry can lapse.
const MIN_OUTAGE: Duration = Duration::from_millis(500);
/// Time after the directory's return in which its targets renew their entries.
const RETURN_TIME: Duration = Duration::from_millis(2000);

/// How a read changed the contact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// The first read that failed.
    Lost,
    /// The first read that succeeded, and how long none had.
    Regained(Duration),
    None,
}

/// Whether reads succeed, and since when.
#[derive(Clone, Copy, Debug, Default)]
pub struct DirectoryHealth {
    /// Start of the newest read that succeeded before the present failures.
    good: Option<Instant>,
    failing: bool,
    returned: Option<Instant>,
}

impl DirectoryHealth {
    /// Takes note of a read that succeeded at `now`.
    pub fn succeed(&mut self, now: Instant) -> Turn {
        let away = self.good.map_or(Duration::ZERO, |good| now.saturating_duration_since(good));
        self.good = Some(now);
        if !std::mem::take(&mut self.failing) {
            return Turn::None;
        }
        if away >= MIN_OUTAGE {
            self.returned = Some(now);
        }
        Turn::Regained(away)
    }

    /// Takes note of another entry's read that succeeded.
    pub fn record_remote_success(&mut self, read: Option<Instant>) {
        self.good = self.good.max(read);
    }

    /// Takes note of a read that failed.
    pub fn fail(&mut self) -> Turn {
        match std::mem::replace(&mut self.failing, true) {
            true => Turn::None,
            false => Turn::Lost,
        }
    }

    /// Whether the last read failed.
    pub fn is_failing(&self) -> bool {
        self.failing
    }

    /// How the absence of an entry is read at `now`.
    pub fn absence(&self, now: Instant) -> Absence {
        match self.returned.map(|returned| returned + RETURN_TIME) {
            Some(end) if now < end => Absence::MayReturn(end),
            Some(_) | None => Absence::Gone,
        }
    }
}
