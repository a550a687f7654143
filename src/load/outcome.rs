//! Stated outcomes: what must hold after a trace was sent.

use std::collections::BTreeMap;

use serde::Deserialize;

use super::report::Report;
use super::Result;
use crate::prelude::*;

/// Bounds on a report; an absent bound is not checked.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Outcome {
    /// Calls of the trace.
    pub calls: Option<u64>,
    /// Least share of calls answered by a target.
    pub answered_share: Option<f64>,
    /// Most calls for each code; a code that is not named must not occur, except 100.
    pub codes: Option<BTreeMap<u16, u64>>,
    /// Most attempts for each call.
    pub amplification: Option<f64>,
    /// Most calls without an answer; 0 unless stated.
    #[serde(default)]
    pub missing: u64,
    /// Most answers that belong to another call; 0 unless stated.
    #[serde(default)]
    pub wrong: u64,
    /// Most answers that are a target's server error; 0 unless stated.
    #[serde(default)]
    pub errors: u64,
    /// Largest latency at p99 in milliseconds, for runs on a quiet machine.
    pub p99_ms: Option<f64>,
}

impl Outcome {
    /// Reads an outcome from a file of JSON with comments.
    pub fn load(path: &str) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| Error::File { path: path.into(), source })?;
        Self::parse(&text)
    }

    /// Parses an outcome.
    pub fn parse(text: &str) -> Result<Self> {
        let problem = |text: String| Error::Document { problems: vec![text] };
        let value = jsonc_parser::parse_to_serde_value(text, &Default::default())
            .map_err(|error| problem(error.to_string()))?
            .ok_or_else(|| problem("the outcome is empty".into()))?;
        serde_json::from_value(value).map_err(|error| problem(error.to_string()))
    }

    /// Everything that does not hold, with the calls concerned.
    pub fn violations(&self, report: &Report) -> Vec<String> {
        let mut found = Vec::new();
        let total = report.counts.total();
        if self.calls.is_some_and(|calls| calls != total) {
            found.push(format!("expected `{}` calls, got `{total}`", self.calls.unwrap_or(0)));
        }
        let share = report.counts.answered() as f64 / total.max(1) as f64;
        if self.answered_share.is_some_and(|least| share < least) {
            found.push(format!("share of answered calls `{share:.4}` is too small"));
        }
        if self.amplification.is_some_and(|most| report.amplification > most) {
            found.push(format!("amplification `{:.3}` is too large", report.amplification));
        }
        if report.counts.missing > self.missing {
            found.push(named(report, "missing", report.counts.missing, self.missing));
        }
        if report.wrong > self.wrong {
            found.push(format!("`{}` answers were wrong: {:?}", report.wrong, report.examples));
        }
        if report.errors > self.errors {
            found.push(format!(
                "`{}` answers were server errors, at most `{}` may be",
                report.errors, self.errors
            ));
        }
        if self.p99_ms.is_some_and(|most| report.latency.p99_ms > most) {
            found.push(format!("p99 of `{:.2}` ms is too large", report.latency.p99_ms));
        }
        found.extend(self.code_violations(report));
        found
    }

    fn code_violations(&self, report: &Report) -> Vec<String> {
        let Some(bounds) = &self.codes else { return Vec::new() };
        let mut found = Vec::new();
        for (code, count) in &report.counts.codes {
            let most = bounds.get(code).copied();
            let most = most.unwrap_or(if *code == Code::Answered.number() { u64::MAX } else { 0 });
            if *count > most {
                found.push(named(report, &code.to_string(), *count, most));
            }
        }
        found
    }
}

fn named(report: &Report, code: &str, count: u64, most: u64) -> String {
    let calls = report.examples.get(code).cloned().unwrap_or_default();
    format!("`{count}` calls ended with `{code}`, at most `{most}` may; lines {calls:?}")
}
