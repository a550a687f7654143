//! The table at the end of the demo.

use super::decisions::Decisions;
use super::deployment::Deployment;
use super::traffic::{Results, Row};

/// Prints the table, and a JSON object after it if asked.
pub fn print(results: &Results, deployment: &Deployment, decisions: &[Decisions], json: bool) {
    println!(
        "{:<10} {:<8} {:>6} {:>8} {:>7} {:>7} {:>8} {:>8} {:>8}",
        "workspace",
        "class",
        "calls",
        "answered",
        "not run",
        "unknown",
        "p50 ms",
        "p99 ms",
        "p99.9 ms"
    );
    for ((workspace, class), row) in &results.rows {
        println!(
            "{workspace:<10} {class:<8} {:>6} {:>8} {:>7} {:>7} {:>8.2} {:>8.2} {:>8.2}",
            row.calls,
            row.answered,
            row.not_run,
            row.unknown,
            millis(row, 0.5),
            millis(row, 0.99),
            millis(row, 0.999)
        );
    }
    for (index, entry) in decisions.iter().enumerate() {
        let counts = entry.iter().map(|(what, count)| format!("{what}: {count}"));
        println!("entry-{index} decided {}", counts.collect::<Vec<_>>().join(", "));
    }
    println!("wrong or missing answers: {}", results.faults);
    println!("keyed calls that ran twice: {}", deployment.doubled());
    if json {
        println!("{}", to_json(results, deployment, decisions));
    }
}

fn to_json(
    results: &Results,
    deployment: &Deployment,
    decisions: &[Decisions],
) -> serde_json::Value {
    let rows = results.rows.iter().map(|((workspace, class), row)| {
        serde_json::json!({
            "workspace": workspace,
            "class": class,
            "calls": row.calls,
            "answered": row.answered,
            "notRun": row.not_run,
            "unknown": row.unknown,
            "p50Ms": millis(row, 0.5),
            "p99Ms": millis(row, 0.99),
            "p999Ms": millis(row, 0.999),
        })
    });
    serde_json::json!({
        "rows": rows.collect::<Vec<_>>(),
        "decisions": decisions,
        "faults": results.faults,
        "doubled": deployment.doubled(),
    })
}

fn millis(row: &Row, quantile: f64) -> f64 {
    row.latency.value_at_quantile(quantile) as f64 / 1000.0
}
