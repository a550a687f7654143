//! An entry's share of the calls that a cold target bears.

use std::collections::VecDeque;

use crate::prelude::*;

/// Bounds of the time after which an unused token expires. The lower one exceeds the delay between
/// the rounds of a call that waits for a token.
pub const MAX_TOKEN_LIFETIME: Duration = Duration::from_millis(500);
const MIN_TOKEN_LIFETIME: Duration = Duration::from_millis(50);
/// Lifetime of a token within these bounds, as a share of the time between two tokens. Tokens that
/// are saved up lower the rate that keeps the bound.
const LIFETIME_RATIO: f64 = 0.25;
/// Most tokens that accrue before the first of them expires, so that an entry holds few of them at any
/// rate that a configuration may state.
const MAX_TOKENS: u32 = 1000;
/// Period in which the bound on the calls to a cold target holds.
const BOUND_WINDOW: Duration = Duration::from_secs(1);
/// Standard deviations between the mean number of calls in a window and the bound. Entries do not
/// coordinate their tokens, so the number varies.
const MARGIN_DEVIATIONS: f64 = 5.0;
/// Time after which the limit of a share is computed again.
const LIMIT_INTERVAL: Duration = Duration::from_secs(1);
/// Rates that are examined between zero and the full one.
const RATE_STEPS: u32 = 100;

/// Longest time between two tokens. No warm-up is longer.
const MAX_PERIOD: Duration = Duration::from_secs(24 * 60 * 60);

/// What bounds the calls of all entries to one cold target, and how many entries use it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// Calls per second that the target bears.
    pub rate: f64,
    /// Most calls in any second.
    pub max_calls: f64,
    /// Number of running entries.
    pub entries: u32,
    /// Probability that an entry has the target in its subset.
    pub subset_ratio: f64,
}

impl ColdLimit {
    /// Tokens per second of each entry: the highest rate at which the number of calls in a window
    /// stays below the bound by `MARGIN_DEVIATIONS`.
    pub fn entry_rate(&self) -> f64 {
        let full_rate = self.rate / (1.0 + self.expected_others());
        let rates = (1..=RATE_STEPS).rev().map(|step| {
            let ratio = f64::from(step) / f64::from(RATE_STEPS);
            full_rate * ratio
        });
        let mut safe_rates = rates.filter(|rate| self.high_count(*rate) <= self.max_calls);
        safe_rates.next().unwrap_or(0.0)
    }

    /// Expected number of entries that use the target, besides the one that asks.
    fn expected_others(&self) -> f64 {
        f64::from(self.entries.saturating_sub(1)) * self.subset_ratio
    }

    /// Number of calls in a window that is exceeded very rarely if each entry gets `rate` tokens per
    /// second.
    ///
    /// The tokens of the window and those that were unused at its start may be used. Both the number
    /// of entries that use the target and the number of tokens of each vary.
    fn high_count(&self, rate: f64) -> f64 {
        let (others, entries) = (self.expected_others(), 1.0 + self.expected_others());
        let tokens = rate * (BOUND_WINDOW + lifetime(period(rate))).as_secs_f64();
        let token_variance = entries * tokens.fract() * (1.0 - tokens.fract());
        let subset_variance = others * (1.0 - self.subset_ratio) * tokens * tokens;
        let deviation = (token_variance + subset_variance).sqrt();
        // A share that begins anew within the window may give one token more.
        let highest = f64::from(self.entries) * (tokens.ceil() + 1.0);
        (entries * tokens + MARGIN_DEVIATIONS * deviation).min(highest)
    }
}

/// Permission for one call to a cold target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdToken {
    accrued: Instant,
}

/// Tokens of one entry for one warm-up of a target, by plain arithmetic on the given time. They accrue
/// at a constant rate from a random phase, so that entries that learn of a cold target together do
/// not send together.
#[derive(Clone, Debug)]
pub struct ColdShare {
    limit: ColdLimit,
    /// When the limit was last set.
    limited_at: Instant,
    /// Time between two tokens; `None` if none accrue.
    period: Option<Duration>,
    /// When the next token accrues.
    next: Instant,
    /// Unused tokens, oldest first.
    tokens: VecDeque<ColdToken>,
}

impl ColdShare {
    /// A share without tokens; `phase` is a random number from 0 to 1.
    pub fn new(limit: ColdLimit, phase: f64, now: Instant) -> Self {
        let period = period(limit.entry_rate());
        let wait = period.map_or(Duration::ZERO, |period| period.mul_f64(phase));
        let tokens = VecDeque::new();
        Self { limit, limited_at: now, period, next: now + wait, tokens }
    }

    /// Whether the limit is so old that the number of entries or targets may have changed.
    pub fn is_limit_due(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.limited_at) >= LIMIT_INTERVAL
    }

    /// Changes the limit; the wait for the next token changes in proportion to the period.
    pub fn set_limit(&mut self, limit: ColdLimit, now: Instant) {
        self.limited_at = now;
        if limit == self.limit {
            return;
        }
        self.accrue(now);
        self.limit = limit;
        let new = period(limit.entry_rate());
        let wait = match (self.period, new) {
            (Some(old), Some(new)) => {
                let left = self.next.saturating_duration_since(now);
                new.mul_f64((left.as_secs_f64() / old.as_secs_f64()).min(1.0))
            }
            (None, Some(new)) => new,
            (_, None) => Duration::ZERO,
        };
        (self.period, self.next) = (new, now + wait);
    }

    /// Whether a call may be sent now.
    pub fn has_token(&mut self, now: Instant) -> bool {
        self.accrue(now);
        !self.tokens.is_empty()
    }

    /// Takes the oldest token, for a call that is sent now.
    pub fn take(&mut self, now: Instant) -> Option<ColdToken> {
        self.accrue(now);
        self.tokens.pop_front()
    }

    /// Gives back the token of a call of which no byte was sent. It expires as if it had not been
    /// taken.
    pub fn give_back(&mut self, token: ColdToken) {
        let index = self.tokens.partition_point(|other| other.accrued < token.accrued);
        self.tokens.insert(index, token);
    }

    /// Adds the tokens that have accrued and drops the expired ones.
    fn accrue(&mut self, now: Instant) {
        let lifetime = lifetime(self.period);
        if let Some(period) = self.period {
            let late = now.saturating_duration_since(self.next).saturating_sub(lifetime);
            // Tokens that have already expired are skipped.
            let skipped = (late.as_secs_f64() / period.as_secs_f64()).floor();
            self.next += period.mul_f64(skipped);
            while self.next <= now {
                self.tokens.push_back(ColdToken { accrued: self.next });
                self.next += period;
            }
        }
        let is_valid = |token: &ColdToken| now.saturating_duration_since(token.accrued) < lifetime;
        self.tokens.retain(is_valid);
    }
}

/// Time after which a token expires.
fn lifetime(period: Option<Duration>) -> Duration {
    let Some(period) = period else { return MAX_TOKEN_LIFETIME };
    let lifetime = period.mul_f64(LIFETIME_RATIO).clamp(MIN_TOKEN_LIFETIME, MAX_TOKEN_LIFETIME);
    lifetime.min(period.saturating_mul(MAX_TOKENS))
}

/// Time between two tokens at `rate` tokens per second; `None` if it is too long to matter.
fn period(rate: f64) -> Option<Duration> {
    let is_valid = |period: &Duration| !period.is_zero() && *period <= MAX_PERIOD;
    Duration::try_from_secs_f64(rate.recip()).ok().filter(is_valid)
}
