//! Limits the probes of this entry to its share of the rate that all entries may send.
//!
//! The rate holds over any 30 s: the tokens gained in that time and those saved up before it stay
//! below the limit together. A process starts with the tokens of `INITIAL_SECONDS` only, because
//! the process before it may have used its share just before it ended.

use crate::prelude::*;

/// Part of the permitted rate that is used, because entries may differ in the number of entries
/// that they count.
const USED_RATIO: f64 = 0.85;
/// Capacity of the bucket, in seconds of its rate.
const BURST_SECONDS: f64 = 3.0;
/// Tokens at the first use, in seconds of the rate.
const INITIAL_SECONDS: f64 = 1.0;
/// Time over which the saved tokens are spread, in seconds.
const SPREAD_SECONDS: f64 = 3.0;
/// Time constant of the decay of the demand, in seconds.
const DEMAND_DECAY_SECONDS: f64 = 1.0;
/// Time between two reports of the grants.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Rate limit of all entries together, and the number of entries that share it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Probes per target and second, of all entries together.
    pub rate: f64,
    pub targets: usize,
    pub entries: u32,
}

impl RateLimit {
    /// Probes per second of one entry.
    fn entry_rate(self) -> f64 {
        self.rate * self.targets as f64 / f64::from(self.entries.max(1))
    }
}

/// Probes requested and granted since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GrantStats {
    /// Rounds of probes that were requested.
    pub rounds: u32,
    /// Probes that these rounds requested.
    pub wanted: u32,
    /// Probes that they were granted.
    pub granted: u32,
    /// Rounds that were granted none.
    pub refused: u32,
    /// Tokens in the bucket, one per probe.
    pub tokens: f64,
    /// Tokens that it gains per second.
    pub rate: f64,
}

/// A token bucket whose rate follows the number of targets and entries.
#[derive(Debug)]
pub struct ProbeBudget {
    tokens: f64,
    /// Time of the last refill.
    refilled: Instant,
    has_started: bool,
    /// Exponentially decaying count of the searches that have begun.
    demand: f64,
    stats: GrantStats,
    reported: Instant,
}

impl ProbeBudget {
    /// An empty bucket.
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: 0.0,
            refilled: now,
            has_started: false,
            demand: 0.0,
            stats: GrantStats::default(),
            reported: now,
        }
    }

    /// Takes up to `wanted` probes for the first round of a search; returns how many are granted.
    ///
    /// When many searches begin, each is granted fewer, so that each gets at least one probe for as
    /// long as possible.
    pub fn take(&mut self, wanted: usize, limit: RateLimit, now: Instant) -> usize {
        let rate = self.refill(limit, now);
        self.demand += 1.0;
        let search_rate = self.demand / DEMAND_DECAY_SECONDS;
        let share = (rate + self.tokens / SPREAD_SECONDS) / search_rate;
        self.grant(wanted, share.max(1.0).min(self.tokens))
    }

    /// Takes up to `wanted` probes for a further round of a search. One token is kept back for each
    /// search that is expected to begin within a second.
    pub fn take_spare(&mut self, wanted: usize, limit: RateLimit, now: Instant) -> usize {
        self.refill(limit, now);
        self.grant(wanted, self.tokens - self.demand / DEMAND_DECAY_SECONDS)
    }

    /// Returns and resets the statistics, at most once per `REPORT_INTERVAL`.
    pub fn take_report(&mut self, now: Instant) -> Option<GrantStats> {
        if now.saturating_duration_since(self.reported) < REPORT_INTERVAL {
            return None;
        }
        self.reported = now;
        Some(std::mem::take(&mut self.stats))
    }

    /// Adds the tokens gained since the last refill; returns this entry's rate.
    fn refill(&mut self, limit: RateLimit, now: Instant) -> f64 {
        let rate = limit.entry_rate() * USED_RATIO;
        let mut elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.refilled = now;
        if !std::mem::replace(&mut self.has_started, true) {
            elapsed += INITIAL_SECONDS;
        }
        self.tokens = (self.tokens + elapsed * rate).min(rate * BURST_SECONDS);
        self.demand *= (-elapsed / DEMAND_DECAY_SECONDS).exp();
        self.stats.rate = rate;
        rate
    }

    fn grant(&mut self, wanted: usize, available: f64) -> usize {
        let granted = wanted.min(available.max(0.0) as usize);
        self.tokens -= granted as f64;
        self.stats.rounds += 1;
        self.stats.wanted += wanted as u32;
        self.stats.granted += granted as u32;
        self.stats.refused += u32::from(granted == 0 && wanted > 0);
        self.stats.tokens = self.tokens;
        granted
    }
}
