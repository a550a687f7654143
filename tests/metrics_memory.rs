//! Memory of metrics that nobody reads.

use cornellink::prelude::*;
use cornellink::process::metrics::Metrics;

const CALLS: u32 = 1_000_000;
/// Growth that no more calls would add to.
const MAX_GROWTH_KIB: u64 = 1024;

/// Resident memory of this process in KiB.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Guards against samples of histograms that are kept until the metrics are read, which may never
/// happen.
#[test]
fn memory_stays_flat_over_a_million_calls_without_a_reader() {
    let metrics = Metrics::default();
    let record = |calls: u32| {
        for call in 0..calls {
            let duration = Duration::from_micros(u64::from(call % 50_000));
            metrics.record_call("north", "booking", Code::Answered, duration);
        }
    };
    record(CALLS / 100);
    let before = resident_kib();

    record(CALLS);

    let growth = resident_kib().saturating_sub(before);
    println!("growth: {growth} KiB");
    assert!(growth <= MAX_GROWTH_KIB, "{growth} KiB");
    let text = metrics.render();
    let count = format!(
        "cornellink_call_seconds_count{{workspace=\"north\",class=\"booking\"}} {}",
        CALLS + CALLS / 100
    );
    assert!(text.contains(&count), "{text}");
}
