//! Settings of the claims.

use serde::Deserialize;

use crate::prelude::*;

/// Longest window by default. Entries keep the claims of a window in memory, and 250,000 claims,
/// about 55 MB, last for 222 bookings a second over this window and its margin.
const MAX_WINDOW: Duration = Duration::from_secs(15 * 60);

/// Bounds of the claims of one entry; what is left out keeps its default.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "camelCase", default, deny_unknown_fields)]
pub struct ClaimSettings {
    /// Most bytes of responses kept for duplicates.
    pub response_bytes: usize,
    /// Most claims in memory; one took 218 bytes when measured.
    pub table_entries: usize,
    /// Time in milliseconds within which duplicates of a key are recognized; at most half the
    /// retention of the log.
    pub window_ms: Option<u64>,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self { response_bytes: 16 * 1024 * 1024, table_entries: 250_000, window_ms: None }
    }
}

/// Bounds of the claims of one entry.
#[derive(Clone, Copy, Debug)]
pub struct ClaimLimits {
    pub response_bytes: usize,
    pub table_entries: usize,
    /// Time within which duplicates of a key are recognized.
    pub window: Duration,
    /// Longest time that the stream stays without a record.
    pub idle: Duration,
}

impl ClaimLimits {
    /// The bounds over a log that keeps its records for `retention`.
    pub fn new(settings: &ClaimSettings, retention: Duration) -> Self {
        let window = settings.window_ms.map_or(MAX_WINDOW, Duration::from_millis);
        Self {
            response_bytes: settings.response_bytes,
            table_entries: settings.table_entries,
            window: window.min(retention / 2),
            idle: retention / 8,
        }
    }

    /// Time for which a claim holds its key. It exceeds the window by a quarter, so that a call
    /// whose key was issued just within the window still meets the first claim when clocks differ.
    pub fn hold(&self) -> Duration {
        self.window + self.window / 4
    }
}
