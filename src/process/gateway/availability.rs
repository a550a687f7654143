//! Whether one incarnation of a target takes calls, by what it said in its responses.

use super::response_notice::ResponseNotice;
use crate::prelude::*;

/// Time for which a target gets no calls after another entry reported that it is leaving. The time
/// is bounded, since datagrams can be forged; the target's own response confirms that it leaves.
const REPORTED_LEAVING_TERM: Duration = Duration::from_secs(10);

/// What a target has said in its responses. It holds until the next incarnation, whatever the
/// directory says of the target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Availability {
    leaving: bool,
    retry_at: Option<Instant>,
}

impl Availability {
    /// Records the notice in a response received at `now`.
    pub fn record(&mut self, notice: ResponseNotice, now: Instant) {
        self.leaving |= notice.leaving;
        // A shorter delay does not end a longer one: responses can overtake each other.
        self.retry_at = self.retry_at.max(notice.retry_delay.map(|delay| now + delay));
    }

    /// Records that another entry reported the target as leaving.
    pub fn record_reported_leaving(&mut self, now: Instant) {
        self.retry_at = self.retry_at.max(Some(now + REPORTED_LEAVING_TERM));
    }

    /// Whether the target said that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Whether the target may get calls and probes.
    pub fn takes_calls(&self, now: Instant) -> bool {
        !self.leaving && self.retry_at.is_none_or(|retry_at| now >= retry_at)
    }

    /// When the target takes calls again; `None` if it takes them now or never.
    pub fn retry_at(&self, now: Instant) -> Option<Instant> {
        self.retry_at.filter(|retry_at| !self.leaving && now < *retry_at)
    }
}
