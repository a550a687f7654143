//! The report of a run.

use std::collections::{BTreeMap, HashMap};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::code_counts::CodeCounts;
use super::row::Row;
use super::spread::{histogram, Spread};
use super::trace::TraceCall;
use super::Result;
use crate::prelude::*;

/// Quantiles of the latency curve.
const CURVE: [f64; 10] = [0.0, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.995, 0.999, 0.9999];

/// What became of one call.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    /// Index in the trace.
    pub index: usize,
    pub code: Option<Code>,
    /// Attempts that the entry made.
    pub attempts: u32,
    /// Time from the intended arrival to the whole answer.
    pub latency: Duration,
    /// Time by which the tool sent the call late.
    pub late: Duration,
    /// Whether the answer belongs to another call or is not whole.
    pub wrong: bool,
    /// Whether the target answered with a server error.
    pub error: bool,
}

/// A point of the latency curve.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct CurvePoint {
    pub quantile: f64,
    pub latency_ms: f64,
}

/// One second of a run.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Second {
    pub arrived: u64,
    pub answered: u64,
}

/// The results of a run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Report {
    pub counts: CodeCounts,
    /// Answers that belong to another call or are not whole.
    pub wrong: u64,
    /// Answered calls whose answer is a target's server error (5xx).
    pub errors: u64,
    /// Attempts at targets for each call that was sent to one.
    pub amplification: f64,
    pub latency: Spread,
    /// Time by which the tool itself was late.
    pub late: Spread,
    pub rows: Vec<Row>,
    pub curve: Vec<CurvePoint>,
    pub seconds: Vec<Second>,
    /// Calls by code, as indices of the trace, for codes other than 100; at most 20 each.
    pub examples: BTreeMap<String, Vec<usize>>,
}

/// Most examples for each code.
const MAX_EXAMPLES: usize = 20;

struct Cell {
    counts: CodeCounts,
    latency: Histogram<u64>,
}

impl Report {
    /// Summarizes the calls of a run.
    pub fn new(trace: &[TraceCall], ended: &[Ended]) -> Self {
        let mut cells: HashMap<(&str, &str), Cell> = HashMap::new();
        let (mut all, mut late) = (histogram(), histogram());
        let (mut attempts, mut sent) = (0u64, 0u64);
        for end in ended {
            let call = &trace[end.index];
            let cell = cells
                .entry((&call.workspace, &call.class))
                .or_insert_with(|| Cell { counts: CodeCounts::default(), latency: histogram() });
            cell.counts.add(end.code);
            let _ = late.record(end.late.as_micros() as u64);
            if end.code == Some(Code::Answered) {
                let _ = cell.latency.record(end.latency.as_micros() as u64);
                let _ = all.record(end.latency.as_micros() as u64);
            }
            attempts += u64::from(end.attempts);
            sent += u64::from(end.attempts > 0);
        }
        let mut counts = CodeCounts::default();
        cells.values().for_each(|cell| counts.merge(&cell.counts));
        Self {
            counts,
            wrong: ended.iter().filter(|end| end.wrong).count() as u64,
            errors: ended.iter().filter(|end| end.error).count() as u64,
            amplification: attempts as f64 / sent.max(1) as f64,
            latency: Spread::of(&all),
            late: Spread::of(&late),
            rows: rows(cells),
            curve: curve(&all),
            seconds: seconds(trace, ended),
            examples: examples(ended),
        }
    }

    /// Reads a report from a file.
    pub fn load(path: &str) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| Error::File { path: path.into(), source })?;
        let report = serde_json::from_str(&text);
        report.map_err(|error| Error::Document { problems: vec![format!("`{path}`: {error}")] })
    }

    /// The report as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a report has no map keys to fail on")
    }

    /// The report as a table.
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
        for row in &self.rows {
            let (counts, latency) = (&row.counts, &row.latency);
            text.push_str(&format!(
                "{:<16} {:<10} {:>7} {:>8} {:>7} {:>7} {:>7} {:>8.2} {:>8.2} {:>8.2}\n",
                row.workspace,
                row.class,
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

fn rows(cells: HashMap<(&str, &str), Cell>) -> Vec<Row> {
    let mut rows: Vec<Row> = cells
        .into_iter()
        .map(|((workspace, class), cell)| Row {
            workspace: workspace.into(),
            class: class.into(),
            counts: cell.counts,
            latency: Spread::of(&cell.latency),
        })
        .collect();
    rows.sort_by(|a, b| (&a.workspace, &a.class).cmp(&(&b.workspace, &b.class)));
    rows
}

fn curve(all: &Histogram<u64>) -> Vec<CurvePoint> {
    let point = |quantile| CurvePoint {
        quantile,
        latency_ms: all.value_at_quantile(quantile) as f64 / 1000.0,
    };
    CURVE.into_iter().map(point).collect()
}

fn seconds(trace: &[TraceCall], ended: &[Ended]) -> Vec<Second> {
    let length = trace.last().map_or(0, |call| call.at_us / 1_000_000 + 1);
    let mut seconds = vec![Second::default(); length as usize];
    for call in trace {
        seconds[(call.at_us / 1_000_000) as usize].arrived += 1;
    }
    for end in ended.iter().filter(|end| end.code == Some(Code::Answered)) {
        let second = trace[end.index].at_us / 1_000_000;
        seconds[second as usize].answered += 1;
    }
    seconds
}

fn examples(ended: &[Ended]) -> BTreeMap<String, Vec<usize>> {
    let mut examples: BTreeMap<String, Vec<usize>> = BTreeMap::new();
    for end in ended.iter().filter(|end| end.code != Some(Code::Answered) || end.wrong) {
        let name = match end.code {
            Some(code) if end.wrong => format!("{} (wrong)", code.number()),
            Some(code) => code.number().to_string(),
            None => "missing".into(),
        };
        let indices = examples.entry(name).or_default();
        if indices.len() < MAX_EXAMPLES {
            indices.push(end.index);
        }
    }
    examples
}
