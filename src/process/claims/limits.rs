//! Settings and limits of claims.

use serde::Deserialize;

use crate::prelude::*;

/// Window if the settings name none; half the retention of the log limits it further. An entry
/// keeps the claims of a window in memory: at 222 keyed calls a second, this window and its
/// margin fill the default table of 250,000 claims, about 55 MB.
const DEFAULT_WINDOW: Duration = Duration::from_secs(15 * 60);

/// Settings of claims; a field that is left out keeps its default.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "camelCase", default, deny_unknown_fields)]
pub struct ClaimSettings {
    /// Limit on the cached responses, in bytes.
    pub response_bytes: usize,
    /// Limit on the claims in memory; each takes about 218 bytes.
    pub table_entries: usize,
    /// Time in milliseconds for which duplicates of a call are detected. Half the retention of the
    /// log is an upper limit.
    pub window_ms: Option<u64>,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self { response_bytes: 16 * 1024 * 1024, table_entries: 250_000, window_ms: None }
    }
}

/// Limits on the claims of one entry.
#[derive(Clone, Copy, Debug)]
pub struct ClaimLimits {
    pub response_bytes: usize,
    pub table_entries: usize,
    /// Time for which duplicates of a call are detected.
    pub window: Duration,
    /// An entry that has appended nothing for one to two such intervals appends a mark, so that
    /// the stream never becomes empty.
    pub idle_interval: Duration,
}

impl ClaimLimits {
    /// Computes the limits over a log that keeps its records for `retention`.
    pub fn new(settings: &ClaimSettings, retention: Duration) -> Self {
        let window = settings.window_ms.map_or(DEFAULT_WINDOW, Duration::from_millis);
        Self {
            response_bytes: settings.response_bytes,
            table_entries: settings.table_entries,
            window: window.min(retention / 2),
            idle_interval: retention / 8,
        }
    }

    /// Time for which a claim holds its key. It exceeds the window by a quarter: the clocks of
    /// callers and entries may differ, and a call whose key was issued just within the window must
    /// still find the first claim.
    pub fn hold_time(&self) -> Duration {
        self.window + self.window / 4
    }
}
