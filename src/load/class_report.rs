//! The part of a report on one workspace and class.

use serde::{Deserialize, Serialize};

use super::code_counts::CodeCounts;
use super::percentiles::Percentiles;

/// Results of the calls of one workspace and class.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct ClassReport {
    pub workspace: String,
    pub class: String,
    pub counts: CodeCounts,
    /// Latency of answered calls, from their scheduled arrival.
    pub latency: Percentiles,
}
