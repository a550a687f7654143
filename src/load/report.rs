//! Summarizes the results of a run.

use std::collections::{BTreeMap, HashMap};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::class_report::ClassReport;
use super::code_counts::CodeCounts;
use super::percentiles::{new_histogram, Percentiles};
use super::trace::TraceCall;
use super::Result;
use crate::prelude::*;

/// Quantiles of the latency curve.
const CURVE_QUANTILES: [f64; 10] = [0.0, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.995, 0.999, 0.9999];

/// The outcome of one call.
#[derive(Clone, Copy, Debug)]
pub struct CallOutcome {
    /// Index of the call in the trace.
    pub index: usize,
    /// Result code; `None` if there was no response.
    pub code: Option<Code>,
    /// Number of attempts that the entry made.
    pub attempts: u32,
    /// Time from the scheduled arrival to the complete response.
    pub latency: Duration,
    /// Time from the scheduled arrival to the send.
    pub send_delay: Duration,
    /// Whether the response belongs to another call or is incomplete.
    pub is_wrong: bool,
    /// Whether the target answered with a server error (5xx).
    pub is_server_error: bool,
}

/// A point of the latency curve.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct CurvePoint {
    pub quantile: f64,
    pub latency_ms: f64,
}

/// Number of calls that arrived in one second of the trace, and how many of these were answered.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct SecondCounts {
    pub arrived: u64,
    pub answered: u64,
}

/// The aggregated results of a run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Report {
    pub counts: CodeCounts,
    /// Responses that belong to another call or are incomplete.
    pub wrong: u64,
    /// Responses with a target's server error (5xx).
    pub errors: u64,
    /// Mean number of attempts per call that was sent to a target.
    pub amplification: f64,
    /// Latency of answered calls, from their scheduled arrival.
    pub latency: Percentiles,
    /// Delay between scheduled arrivals and sends, caused by the load tool itself.
    #[serde(rename = "late")]
    pub send_delay: Percentiles,
    /// Results by workspace and class.
    pub rows: Vec<ClassReport>,
    /// Latency of answered calls by quantile.
    pub curve: Vec<CurvePoint>,
    pub seconds: Vec<SecondCounts>,
    /// Trace indices of calls that did not end with code 100 or whose response was wrong, by code;
    /// at most 20 each.
    pub examples: BTreeMap<String, Vec<usize>>,
}

/// Upper limit on the examples for each code.
const MAX_EXAMPLES: usize = 20;

struct ClassStats {
    counts: CodeCounts,
    latency: Histogram<u64>,
}

impl Report {
    /// Aggregates the outcomes of the calls of `trace`.
    pub fn new(trace: &[TraceCall], outcomes: &[CallOutcome]) -> Self {
        let mut stats_by_class: HashMap<(&str, &str), ClassStats> = HashMap::new();
        let (mut latency, mut send_delay) = (new_histogram(), new_histogram());
        let (mut attempts, mut sent) = (0u64, 0u64);
        for outcome in outcomes {
            let call = &trace[outcome.index];
            let stats = stats_by_class.entry((&call.workspace, &call.class)).or_insert_with(|| {
                ClassStats { counts: CodeCounts::default(), latency: new_histogram() }
            });
            stats.counts.add(outcome.code);
            let _ = send_delay.record(outcome.send_delay.as_micros() as u64);
            if outcome.code == Some(Code::Answered) {
                let _ = stats.latency.record(outcome.latency.as_micros() as u64);
                let _ = latency.record(outcome.latency.as_micros() as u64);
            }
            attempts += u64::from(outcome.attempts);
            sent += u64::from(outcome.attempts > 0);
        }
        let mut counts = CodeCounts::default();
        stats_by_class.values().for_each(|stats| counts.merge(&stats.counts));
        Self {
            counts,
            wrong: outcomes.iter().filter(|outcome| outcome.is_wrong).count() as u64,
            errors: outcomes.iter().filter(|outcome| outcome.is_server_error).count() as u64,
            amplification: attempts as f64 / sent.max(1) as f64,
            latency: Percentiles::from_histogram(&latency),
            send_delay: Percentiles::from_histogram(&send_delay),
            rows: class_reports(stats_by_class),
            curve: latency_curve(&latency),
            seconds: counts_by_second(trace, outcomes),
            examples: collect_examples(outcomes),
        }
    }

    /// Reads a report from a JSON file.
    pub fn load(path: &str) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| Error::File { path: path.into(), source })?;
        let report = serde_json::from_str(&text);
        report.map_err(|error| Error::Document { problems: vec![format!("`{path}`: {error}")] })
    }

    /// Formats the report as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a report has no map keys to fail on")
    }

    /// Formats the results by workspace and class as a table.
    pub fn to_table(&self) -> String {
        let mut text = format!(
            "{:<16} {:<10} {:>7} {:>8} {:>7} {:>7} {:>7} {:>8} {:>8} {:>8}\n",
            "workspace",
            "class",
            "calls",
            "answered",
            "not run",
            "unknown",
            "missing",
            "p50 ms",
            "p99 ms",
            "p99.9 ms"
        );
        for class_report in &self.rows {
            let (counts, latency) = (&class_report.counts, &class_report.latency);
            text.push_str(&format!(
                "{:<16} {:<10} {:>7} {:>8} {:>7} {:>7} {:>7} {:>8.2} {:>8.2} {:>8.2}\n",
                class_report.workspace,
                class_report.class,
                counts.total(),
                counts.answered(),
                counts.not_run(),
                counts.unknown(),
                counts.missing,
                latency.p50_ms,
                latency.p99_ms,
                latency.p999_ms
            ));
        }
        text
    }
}

fn class_reports(stats_by_class: HashMap<(&str, &str), ClassStats>) -> Vec<ClassReport> {
    let mut reports: Vec<ClassReport> = stats_by_class
        .into_iter()
        .map(|((workspace, class), stats)| ClassReport {
            workspace: workspace.into(),
            class: class.into(),
            counts: stats.counts,
            latency: Percentiles::from_histogram(&stats.latency),
        })
        .collect();
    reports.sort_by(|a, b| (&a.workspace, &a.class).cmp(&(&b.workspace, &b.class)));
    reports
}

fn latency_curve(latency: &Histogram<u64>) -> Vec<CurvePoint> {
    let point = |quantile| CurvePoint {
        quantile,
        latency_ms: latency.value_at_quantile(quantile) as f64 / 1000.0,
    };
    CURVE_QUANTILES.into_iter().map(point).collect()
}

fn counts_by_second(trace: &[TraceCall], outcomes: &[CallOutcome]) -> Vec<SecondCounts> {
    let length = trace.last().map_or(0, |call| call.at_us / 1_000_000 + 1);
    let mut seconds = vec![SecondCounts::default(); length as usize];
    for call in trace {
        seconds[(call.at_us / 1_000_000) as usize].arrived += 1;
    }
    for outcome in outcomes.iter().filter(|outcome| outcome.code == Some(Code::Answered)) {
        let second = trace[outcome.index].at_us / 1_000_000;
        seconds[second as usize].answered += 1;
    }
    seconds
}

fn collect_examples(outcomes: &[CallOutcome]) -> BTreeMap<String, Vec<usize>> {
    let mut examples: BTreeMap<String, Vec<usize>> = BTreeMap::new();
    for outcome in
        outcomes.iter().filter(|outcome| outcome.code != Some(Code::Answered) || outcome.is_wrong)
    {
        let name = match outcome.code {
            Some(code) if outcome.is_wrong => format!("{} (wrong)", code.number()),
            Some(code) => code.number().to_string(),
            None => "missing".into(),
        };
        let indices = examples.entry(name).or_default();
        if indices.len() < MAX_EXAMPLES {
            indices.push(outcome.index);
        }
    }
    examples
}
