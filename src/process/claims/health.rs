//! Whether the log takes claims in time.

use crate::prelude::*;

/// What the last operations say of the log.
#[derive(Debug, Default)]
pub struct Health {
    /// The table has been read to the end of the stream once.
    pub current: bool,
    /// The last append failed or was slow.
    pub failed: bool,
    /// When the append under way was sent.
    pub sent: Option<Instant>,
    /// End of the last append and when it was confirmed, until the records are read back.
    pub unread: Option<(u64, Instant)>,
}

impl Health {
    /// Whether a claim made at `now` can be expected to be confirmed within `limit`.
    pub fn is_open(&self, limit: Duration, now: Instant) -> bool {
        let is_late = |since: Instant| now.saturating_duration_since(since) >= limit;
        let is_stalled = self.sent.is_some_and(is_late);
        let is_lagging = self.unread.is_some_and(|(_, since)| is_late(since));
        self.current && !self.failed && !is_stalled && !is_lagging
    }

    /// Records that the table has been read up to `next`.
    pub fn read_to(&mut self, next: u64) {
        if self.unread.is_some_and(|(end, _)| next >= end) {
            self.unread = None;
        }
    }

    /// Records the end of an append that began at `sent`.
    pub fn appended(&mut self, end: Option<u64>, sent: Instant, limit: Duration, now: Instant) {
        self.sent = None;
        self.failed = end.is_none() || now.saturating_duration_since(sent) >= limit;
        if let Some(end) = end {
            self.unread = Some((end, self.unread.map_or(now, |(_, since)| since)));
        }
    }
}
