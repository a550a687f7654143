//! Intervals of time, and bounds that do not run during some of them.

use std::time::{Duration, Instant};

/// An interval during which a fault was in force.
#[derive(Clone, Copy, Debug)]
pub struct Interval {
    pub from: Instant,
    pub to: Instant,
}

impl Interval {
    /// Whether the interval overlaps the one from `from` to `to`.
    pub fn overlaps(&self, from: Instant, to: Instant) -> bool {
        self.from <= to && from <= self.to
    }
}

/// The end of a bound that begins at `start` and does not run during outages, which are in the order
/// of their time.
pub fn stretched_end(start: Instant, bound: Duration, outages: &[Interval]) -> Instant {
    outages.iter().filter(|outage| outage.to > start).fold(
        start + bound,
        |end, outage| match outage.from < end {
            true => end + (outage.to - outage.from.max(start)),
            false => end,
        },
    )
}
