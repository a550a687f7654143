//! Compares two reports.

use super::report::Report;

/// A table of the figures of two reports and their ratio.
pub fn compare(before: &Report, after: &Report) -> String {
    let mut text = format!("{:<22} {:>12} {:>12} {:>8}\n", "", "before", "after", "ratio");
    let figures = [
        ("calls", before.counts.total() as f64, after.counts.total() as f64),
        ("answered", before.counts.answered() as f64, after.counts.answered() as f64),
        ("not run", before.counts.not_run() as f64, after.counts.not_run() as f64),
        ("unknown", before.counts.unknown() as f64, after.counts.unknown() as f64),
        ("missing", before.counts.missing as f64, after.counts.missing as f64),
        ("amplification", before.amplification, after.amplification),
        ("p50 ms", before.latency.p50_ms, after.latency.p50_ms),
        ("p99 ms", before.latency.p99_ms, after.latency.p99_ms),
        ("p99.9 ms", before.latency.p999_ms, after.latency.p999_ms),
    ];
    for (name, before, after) in figures {
        text.push_str(&line(name, before, after));
    }
    for row in &after.rows {
        let same =
            |other: &&super::row::Row| other.workspace == row.workspace && other.class == row.class;
        if let Some(earlier) = before.rows.iter().find(same) {
            let name = format!("p99 ms {}/{}", row.workspace, row.class);
            text.push_str(&line(&name, earlier.latency.p99_ms, row.latency.p99_ms));
        }
    }
    text
}

fn line(name: &str, before: f64, after: f64) -> String {
    let ratio = if before > 0.0 { format!("{:.3}", after / before) } else { "-".into() };
    format!("{name:<22} {before:>12.3} {after:>12.3} {ratio:>8}\n")
}
