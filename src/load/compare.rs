//! Compares the reports of two runs.

use super::report::Report;

/// Formats a table with the figures of both reports and the ratio of each.
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
        text.push_str(&format_line(name, before, after));
    }
    for class in &after.rows {
        let is_same = |other: &&super::class_report::ClassReport| {
            other.workspace == class.workspace && other.class == class.class
        };
        if let Some(earlier) = before.rows.iter().find(is_same) {
            let name = format!("p99 ms {}/{}", class.workspace, class.class);
            text.push_str(&format_line(&name, earlier.latency.p99_ms, class.latency.p99_ms));
        }
    }
    text
}

fn format_line(name: &str, before: f64, after: f64) -> String {
    let ratio = if before > 0.0 { format!("{:.3}", after / before) } else { "-".into() };
    format!("{name:<22} {before:>12.3} {after:>12.3} {ratio:>8}\n")
}
