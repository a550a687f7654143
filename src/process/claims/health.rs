//! Health of the log: whether it confirms claims in time.

use crate::prelude::*;

/// State of the latest reads and appends.
#[derive(Debug, Default)]
pub struct Health {
    /// The last read reached the end of the stream.
    pub caught_up: bool,
    /// The last append failed or was slow.
    pub append_failed: bool,
    /// When the append in flight was sent.
    pub append_sent: Option<Instant>,
    /// End offset of the newest confirmed append whose records have not been read from the stream,
    /// and the time since which confirmed records have been unread.
    pub unread_append: Option<(u64, Instant)>,
}

impl Health {
    /// Whether a claim made at `now` can be expected to be confirmed within `timeout`. It is not
    /// if the append in flight, or the reading of confirmed records, already takes that long.
    pub fn can_confirm(&self, timeout: Duration, now: Instant) -> bool {
        let is_late = |since: Instant| now.saturating_duration_since(since) >= timeout;
        let is_stalled = self.append_sent.is_some_and(is_late);
        let is_lagging = self.unread_append.is_some_and(|(_, since)| is_late(since));
        self.caught_up && !self.append_failed && !is_stalled && !is_lagging
    }

    /// Records that the stream has been read up to offset `next`.
    pub fn record_read(&mut self, next: u64) {
        if self.unread_append.is_some_and(|(end, _)| next >= end) {
            self.unread_append = None;
        }
    }

    /// Records the end of an append that was sent at `sent`: its end offset, or `None` if it
    /// failed. An append that took `timeout` or longer counts as failed.
    pub fn record_append(
        &mut self,
        end: Option<u64>,
        sent: Instant,
        timeout: Duration,
        now: Instant,
    ) {
        self.append_sent = None;
        self.append_failed = end.is_none() || now.saturating_duration_since(sent) >= timeout;
        if let Some(end) = end {
            self.unread_append = Some((end, self.unread_append.map_or(now, |(_, since)| since)));
        }
    }
}
