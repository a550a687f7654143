//! Settings of the claims.

use serde::Deserialize;

use crate::prelude::*;

/// Bounds of the claims of one entry, in its settings file under `claims`.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "camelCase", default, deny_unknown_fields)]
pub struct ClaimLimits {
    /// Time for which the log keeps records, in seconds.
    pub retention_s: u64,
    /// Most claims in memory; one takes about 150 bytes.
    pub table_entries: usize,
    /// Most bytes of responses kept for duplicates.
    pub response_bytes: usize,
}

impl Default for ClaimLimits {
    fn default() -> Self {
        Self { retention_s: 3600, table_entries: 250_000, response_bytes: 16 * 1024 * 1024 }
    }
}

impl ClaimLimits {
    /// Time within which duplicates of a key are recognized.
    pub fn window(&self) -> Duration {
        Duration::from_secs(self.retention_s) / 2
    }

    /// Time for which a claim holds its key. It exceeds the window by a quarter, so that a call
    /// whose key was issued just within the window still meets the first claim when clocks differ.
    pub fn hold(&self) -> Duration {
        self.window() + self.window() / 4
    }

    /// Longest time that the stream stays without a record.
    pub fn idle(&self) -> Duration {
        Duration::from_secs(self.retention_s) / 8
    }
}
