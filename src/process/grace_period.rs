//! The grace period of a shutdown, which limits the calls that are still sent to targets.
//!
//! The calls in flight at its end are cut, with an unknown outcome. A call is therefore sent only if
//! it ends before, whatever its target does. Only at the beginning, while callers are still directed
//! to this entry, calls with a later deadline are sent too if they are expected to end before: few
//! calls last until their deadline, and all of them would have to try another entry.

use crate::prelude::*;

/// Share of the grace period in which calls with a later deadline are sent.
const NOTICE_RATIO: f64 = 0.25;
/// Longest time in which calls with a later deadline are sent.
const MAX_NOTICE: Duration = Duration::from_secs(2);
/// Time left before the end to write the response of a call that ends at its deadline.
const RESPONSE_MARGIN: Duration = Duration::from_millis(200);

/// The grace period of one shutdown.
#[derive(Clone, Copy, Debug)]
pub struct GracePeriod {
    start: Instant,
    accept_end: Instant,
    end: Instant,
}

impl GracePeriod {
    /// Creates a grace period of the given length; new connections are accepted for `accept`.
    pub fn new(start: Instant, accept: Duration, length: Duration) -> Self {
        Self { start, accept_end: start + accept.min(length), end: start + length }
    }

    /// When the shutdown was requested.
    pub fn start(&self) -> Instant {
        self.start
    }

    /// When new connections are no longer accepted.
    pub fn accept_end(&self) -> Instant {
        self.accept_end
    }

    /// When the calls in flight are cut.
    pub fn end(&self) -> Instant {
        self.end
    }

    /// Until when calls are sent whatever their deadline.
    pub fn notice_end(&self) -> Instant {
        self.start + (self.end - self.start).mul_f64(NOTICE_RATIO).min(MAX_NOTICE)
    }

    /// Whether a call with this deadline has its response, if only that of its timeout, before the
    /// end.
    pub fn contains(&self, deadline: Deadline) -> bool {
        deadline.instant() + RESPONSE_MARGIN <= self.end
    }

    /// Whether a call with this deadline and expected duration may be sent to a target at `now`.
    pub fn may_send(&self, deadline: Deadline, expected: Duration, now: Instant) -> bool {
        let is_noticed = now >= self.notice_end();
        self.contains(deadline) || !is_noticed && self.contains(Deadline::after(now, expected))
    }
}
