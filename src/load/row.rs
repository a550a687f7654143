//! The results of one workspace and class.

use serde::{Deserialize, Serialize};

use super::code_counts::CodeCounts;
use super::spread::Spread;

/// One line of a report.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Row {
    pub workspace: String,
    pub class: String,
    pub counts: CodeCounts,
    /// Latency of answered calls, from the intended time of arrival.
    pub latency: Spread,
}
