//! The number of entries, by which common limits are divided, and whether the others count this one.

use super::membership::COUNTED_DELAY;
use super::MAX_ENTRIES;
use crate::prelude::*;

/// Number of entries of all failure domains.
///
/// An old list may lack some entries, so that the largest known number counts: the shares of a common
/// limit must not add up to more than the limit. For the same reason an entry that the others do not
/// count yet has no share of a limit that leaves no margin.
#[derive(Default)]
pub struct FleetSize {
    /// Number of listed entries with this one, if the list was read.
    listed: Cell<Option<u32>>,
    /// The largest number of entries that another entry has reported.
    reported: Cell<Option<u32>>,
    /// Whether a list of a running fleet has lacked this entry.
    was_missing: Cell<bool>,
    /// Time from which all other entries count this one.
    counted_from: Cell<Option<Instant>>,
}

impl FleetSize {
    /// Records a list that the other entries know, with the number of entries in it and whether this
    /// entry is one of them.
    pub fn record_list(&self, others: u32, is_listed: bool, now: Instant) {
        self.listed.set(Some(1 + others));
        if !is_listed {
            return self.record_missing();
        }
        if self.counted_from.get().is_none() {
            let delay = if self.was_missing.get() { COUNTED_DELAY } else { Duration::ZERO };
            self.counted_from.set(Some(now + delay));
            log::info!(
                entries = 1 + others, delay_ms = delay.as_millis() as u64;
                "counted among the entries"
            );
        }
    }

    /// Records that the other entries know a list without this one.
    pub fn record_missing(&self) {
        if !self.was_missing.replace(true) {
            log::info!("not counted by the other entries yet");
        }
    }

    /// Records the number of entries that another entry knows.
    pub fn record_reported(&self, reported: Option<u32>) {
        if let Some(entries) = reported.filter(|entries| *entries > MAX_ENTRIES) {
            return log::warn!(entries; "number of entries ignored");
        }
        self.reported.set(self.reported.get().max(reported));
    }

    /// Whether all other entries count this one.
    pub fn is_counted(&self, now: Instant) -> bool {
        self.counted_from.get().is_some_and(|from| from <= now)
    }

    /// The largest known number of entries that count each other; without this one, if the others do
    /// not count it yet.
    pub fn counted_entries(&self, now: Instant) -> Option<u32> {
        let uncounted = u32::from(!self.is_counted(now));
        self.listed.get().map(|listed| listed - uncounted).max(self.reported.get())
    }

    /// The largest known number of entries with this one.
    pub fn known_entries(&self, now: Instant) -> Option<u32> {
        let uncounted = u32::from(!self.is_counted(now));
        self.counted_entries(now).map(|counted| counted.saturating_add(uncounted))
    }
}
