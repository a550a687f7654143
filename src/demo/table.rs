//! Prints the results of the demo.

use super::counters::EntryCounters;
use super::deployment::Deployment;
use super::traffic::{ClassResults, TrafficResults};

/// Prints the results as a table, followed by a JSON object if `json` is set.
pub fn print(
    results: &TrafficResults,
    deployment: &Deployment,
    counters: &[EntryCounters],
    print_json: bool,
) {
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
    for ((workspace, class), class_results) in &results.rows {
        println!(
            "{workspace:<10} {class:<8} {:>6} {:>8} {:>7} {:>7} {:>8.2} {:>8.2} {:>8.2}",
            class_results.calls,
            class_results.answered,
            class_results.not_run,
            class_results.unknown,
            quantile_ms(class_results, 0.5),
            quantile_ms(class_results, 0.99),
            quantile_ms(class_results, 0.999)
        );
    }
    for (index, entry) in counters.iter().enumerate() {
        let counts = entry.iter().map(|(printed_name, count)| format!("{printed_name}: {count}"));
        println!("entry-{index} decided {}", counts.collect::<Vec<_>>().join(", "));
    }
    println!("wrong or missing answers: {}", results.bad_responses);
    println!("keyed calls that ran twice: {}", deployment.duplicate_runs());
    if print_json {
        println!("{}", to_json(results, deployment, counters));
    }
}

fn to_json(
    results: &TrafficResults,
    deployment: &Deployment,
    counters: &[EntryCounters],
) -> serde_json::Value {
    let rows = results.rows.iter().map(|((workspace, class), class_results)| {
        serde_json::json!({
            "workspace": workspace,
            "class": class,
            "calls": class_results.calls,
            "answered": class_results.answered,
            "notRun": class_results.not_run,
            "unknown": class_results.unknown,
            "p50Ms": quantile_ms(class_results, 0.5),
            "p99Ms": quantile_ms(class_results, 0.99),
            "p999Ms": quantile_ms(class_results, 0.999),
        })
    });
    serde_json::json!({
        "rows": rows.collect::<Vec<_>>(),
        "decisions": counters,
        "faults": results.bad_responses,
        "doubled": deployment.duplicate_runs(),
    })
}

fn quantile_ms(class_results: &ClassResults, quantile: f64) -> f64 {
    class_results.latency.value_at_quantile(quantile) as f64 / 1000.0
}
