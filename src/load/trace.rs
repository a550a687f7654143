//! The trace format: one JSON object per line, ordered by arrival time.

use serde::{Deserialize, Serialize};

use super::Result;
use crate::prelude::*;

/// One call of a trace.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct TraceCall {
    /// Arrival time in microseconds since the start of the trace.
    pub at_us: u64,
    pub workspace: String,
    pub service: String,
    pub class: String,
    pub method: String,
    pub path: String,
    /// Idempotency key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// Size of the request body in bytes.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub bytes: usize,
    /// Time in microseconds that a target needs to process the call.
    pub service_us: u64,
}

fn is_zero(bytes: &usize) -> bool {
    *bytes == 0
}

/// Reads a trace from a file.
pub fn load(path: &str) -> Result<Vec<TraceCall>> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| Error::File { path: path.into(), source })?;
    parse(&text)
}

/// Parses a trace; the error lists every invalid line.
pub fn parse(text: &str) -> Result<Vec<TraceCall>> {
    let mut calls = Vec::new();
    let mut problems = Vec::new();
    for (index, line) in text.lines().enumerate() {
        if line.trim().is_empty() {
            continue;
        }
        match serde_json::from_str::<TraceCall>(line) {
            Ok(call) => calls.push(call),
            Err(error) => problems.push(format!("line {}: {error}", index + 1)),
        }
    }
    let is_ordered = calls.windows(2).all(|pair| pair[0].at_us <= pair[1].at_us);
    if !is_ordered {
        problems.push("the calls are not in order of `atUs`".into());
    }
    if problems.is_empty() {
        return Ok(calls);
    }
    Err(Error::Document { problems })
}

/// Formats calls as a trace.
pub fn format(calls: &[TraceCall]) -> String {
    let mut text = String::new();
    for call in calls {
        text.push_str(&serde_json::to_string(call).expect("a call has no map keys to fail on"));
        text.push('\n');
    }
    text
}
