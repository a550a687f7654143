//! Expected outcomes: the bounds that the report of a run must satisfy.

use std::collections::BTreeMap;

use serde::Deserialize;

use super::report::Report;
use super::Result;
use crate::prelude::*;

/// Bounds on a report; an absent bound is not checked.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct ExpectedOutcome {
    /// Exact number of calls in the trace.
    pub calls: Option<u64>,
    /// Lower bound on the share of calls answered by a target.
    pub answered_share: Option<f64>,
    /// Upper bound on the calls with each code. A code without a bound must not occur, except 100.
    pub codes: Option<BTreeMap<u16, u64>>,
    /// Upper bound on the mean number of attempts per call that was sent to a target.
    pub amplification: Option<f64>,
    /// Upper bound on calls without a response.
    #[serde(default)]
    pub missing: u64,
    /// Upper bound on responses that belong to another call or are incomplete.
    #[serde(default)]
    pub wrong: u64,
    /// Upper bound on responses with a target's server error (5xx).
    #[serde(default)]
    pub errors: u64,
    /// Upper bound on the p99 latency in milliseconds, for runs on an otherwise idle machine.
    pub p99_ms: Option<f64>,
}

impl ExpectedOutcome {
    /// Reads an expected outcome from a file of JSON with comments.
    pub fn load(path: &str) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| Error::File { path: path.into(), source })?;
        Self::parse(&text)
    }

    /// Parses an expected outcome in JSON with comments.
    pub fn parse(text: &str) -> Result<Self> {
        let problem = |text: String| Error::Document { problems: vec![text] };
        let value = jsonc_parser::parse_to_serde_value(text, &Default::default())
            .map_err(|error| problem(error.to_string()))?
            .ok_or_else(|| problem("the outcome is empty".into()))?;
        serde_json::from_value(value).map_err(|error| problem(error.to_string()))
    }

    /// Lists each violated bound, with indices of the calls concerned if they are recorded.
    pub fn violations(&self, report: &Report) -> Vec<String> {
        let mut violations = Vec::new();
        let total = report.counts.total();
        if self.calls.is_some_and(|calls| calls != total) {
            violations.push(format!("expected `{}` calls, got `{total}`", self.calls.unwrap_or(0)));
        }
        let share = report.counts.answered() as f64 / total.max(1) as f64;
        if self.answered_share.is_some_and(|minimum| share < minimum) {
            violations.push(format!("share of answered calls `{share:.4}` is too small"));
        }
        if self.amplification.is_some_and(|limit| report.amplification > limit) {
            violations.push(format!("amplification `{:.3}` is too large", report.amplification));
        }
        if report.counts.missing > self.missing {
            violations.push(limit_violation(
                report,
                "missing",
                report.counts.missing,
                self.missing,
            ));
        }
        if report.wrong > self.wrong {
            violations
                .push(format!("`{}` answers were wrong: {:?}", report.wrong, report.examples));
        }
        if report.errors > self.errors {
            violations.push(format!(
                "`{}` answers were server errors, at most `{}` may be",
                report.errors, self.errors
            ));
        }
        if self.p99_ms.is_some_and(|limit| report.latency.p99_ms > limit) {
            violations.push(format!("p99 of `{:.2}` ms is too large", report.latency.p99_ms));
        }
        violations.extend(self.code_violations(report));
        violations
    }

    fn code_violations(&self, report: &Report) -> Vec<String> {
        let Some(bounds) = &self.codes else { return Vec::new() };
        let mut violations = Vec::new();
        for (code, count) in &report.counts.codes {
            let limit = bounds.get(code).copied();
            let limit =
                limit.unwrap_or(if *code == Code::Answered.number() { u64::MAX } else { 0 });
            if *count > limit {
                violations.push(limit_violation(report, &code.to_string(), *count, limit));
            }
        }
        violations
    }
}

fn limit_violation(report: &Report, code: &str, count: u64, limit: u64) -> String {
    let calls = report.examples.get(code).cloned().unwrap_or_default();
    format!("`{count}` calls ended with `{code}`, at most `{limit}` may; lines {calls:?}")
}
