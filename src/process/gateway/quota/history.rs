//! The refill that an owner has received, by time.

use std::collections::VecDeque;

use crate::prelude::*;

/// Resolution of the history.
const SLOT_MS: u128 = 5;

/// The refill received in one slot of time.
#[derive(Clone, Copy, Debug)]
struct Slot {
    start: Duration,
    /// Total received before the slot.
    before: f64,
}

/// Sums of received refill, in seconds of the refill of all entries.
#[derive(Debug, Default)]
pub struct History {
    slots: VecDeque<Slot>,
    total: f64,
}

impl History {
    /// Adds refill received at `now`.
    pub fn add(&mut self, seconds: f64, now: Duration) {
        let start = slot_start(now);
        if self.slots.back().is_none_or(|last| last.start < start) {
            self.slots.push_back(Slot { start, before: self.total });
        }
        self.total += seconds;
    }

    /// All refill received so far.
    pub fn total(&self) -> f64 {
        self.total
    }

    /// The refill received in the last `age`. Slots that began earlier are left out, so that the sum
    /// is never too large.
    pub fn since(&self, age: Duration, now: Duration) -> f64 {
        let first = now
            .checked_sub(age)
            .map_or(0, |oldest| self.slots.partition_point(|slot| slot.start < oldest));
        self.slots.get(first).map_or(0.0, |slot| self.total - slot.before)
    }

    /// Whether all refill is forgotten.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Removes the slots that are older than `age`.
    pub fn forget(&mut self, age: Duration, now: Duration) {
        let Some(oldest) = now.checked_sub(age) else { return };
        while self.slots.front().is_some_and(|slot| slot.start < oldest) {
            self.slots.pop_front();
        }
    }
}

fn slot_start(now: Duration) -> Duration {
    let slot = now.as_millis() / SLOT_MS;
    Duration::from_millis(u64::try_from(slot * SLOT_MS).unwrap_or(u64::MAX))
}
