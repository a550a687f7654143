//! The refill rate and the expiry of tokens that follow from a quota.

use super::{MAX_SPAN, MAX_TRANSIT, TOKEN_VALIDITY};
use crate::prelude::*;
use crate::version::workspace_table::Quota;

/// Time that may pass between the accrual of a token and its use, besides its expiry at the owner.
pub const MARGIN: Duration = TOKEN_VALIDITY.saturating_add(MAX_SPAN).saturating_add(MAX_TRANSIT);
/// Shortest expiry. If the quota leaves less, the refill rate is lowered instead.
const MIN_EXPIRY: Duration = Duration::from_millis(100);
/// Longest expiry, which bounds the length of a history.
pub const MAX_EXPIRY: Duration = Duration::from_secs(60);

/// What is promised of all quotas, from the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Window in which a quota holds.
    pub window: Duration,
    /// Part of a quota that may be exceeded in a window.
    pub overage: f64,
    /// Calls in a window beyond that.
    pub slack: f64,
}

/// The limit of a workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    pub name: Rc<str>,
    /// Tokens per second, from all entries together.
    pub refill: f64,
    /// Time after which unused refill expires.
    pub expiry: Duration,
}

impl Terms {
    /// Most calls of a workspace that may run in a window.
    pub fn max_calls(&self, quota: Quota) -> f64 {
        let conforming = quota.rate * self.window.as_secs_f64() + quota.burst;
        conforming * (1.0 + self.overage) + self.slack
    }
}

impl Limit {
    /// Derives the limit so that `refill` times the sum of window, expiry and margin is at most the
    /// number of calls that may run in a window.
    pub fn new(name: Rc<str>, quota: Quota, terms: Terms) -> Self {
        let window = terms.window.as_secs_f64();
        let fixed = window + MARGIN.as_secs_f64();
        let max_calls = terms.max_calls(quota);
        let wanted = quota.rate + terms.slack / (2.0 * window);
        let refill = wanted.min(max_calls / (fixed + MIN_EXPIRY.as_secs_f64()));
        let expiry = (max_calls / refill - fixed).clamp(0.0, MAX_EXPIRY.as_secs_f64());
        Self { name, refill, expiry: Duration::from_secs_f64(expiry) }
    }
}
