//! Calls harmed by faulty targets: of ten targets, one returns errors at once, one is 20 times
//! slower than the others and one fails in every second period of 1 s.

#[path = "../tests/fixture/mod.rs"]
mod fixture;

use std::time::Duration;

use cornellink::edge::stand_in::target::TargetFaults;
use fixture::arrivals::{trace, CallStream};
use fixture::cluster::{Cluster, Plan};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use serde_json::{json, Value};

const SEED: u64 = 13;
const TARGETS: usize = 10;
const SLOTS_PER_TARGET: usize = 3;
const CALLS_PER_SECOND: f64 = 500.0;
const MEAN_SERVICE_US: f64 = 20_000.0;
const RUN_SECONDS: f64 = 8.0;
/// A call is harmed if it fails or takes longer than this multiple of the mean service time.
const HARM_LATENCY_RATIO: f64 = 5.0;
/// In a window with at most this share of harmed calls, the faulty targets count as avoided.
const MAX_AVOIDED_SHARE: f64 = 0.01;
/// Length of the windows in which harmed calls are counted.
const WINDOW_SECONDS: f64 = 0.25;

/// Runs the calls with one policy, prints the results and returns them as a row of JSON.
fn run_policy(policy: &'static str) -> Value {
    let stream = CallStream {
        workspace: "north",
        class: "lookup",
        method: "GET",
        prefix: "/tickets",
        service_us: MEAN_SERVICE_US,
        rates: vec![(0.0, CALLS_PER_SECOND)],
    };
    let trace = trace(&[stream], RUN_SECONDS, &mut SmallRng::seed_from_u64(SEED));
    let cluster = Cluster::start(&Plan {
        policy,
        entries: 4,
        targets: TARGETS,
        slots: SLOTS_PER_TARGET,
        queue: 100,
        workspaces: vec![("north", 1)],
        classes: json!([{ "name": "lookup", "methods": ["GET"], "prefix": "/",
                          "deadlineMs": 1000, "idempotent": true }]),
        peers: true,
    });
    cluster.targets.with(|targets| {
        let flapping = Some(Duration::from_secs(1));
        targets[0].set_faults(TargetFaults { failing: true, ..TargetFaults::default() });
        targets[1].set_faults(TargetFaults { slowdown: 20, ..TargetFaults::default() });
        targets[2].set_faults(TargetFaults { flapping, ..TargetFaults::default() });
    });
    let completed = cluster.send(&trace);
    let target_errors: u64 =
        cluster.targets.with(|targets| targets.iter().map(|target| target.failed_calls()).sum());
    let limit_seconds = HARM_LATENCY_RATIO * MEAN_SERVICE_US / 1e6;
    // The sender reports the result code, not the HTTP status: a call that took less than half of
    // the shortest service time received an error response.
    let is_error = |latency: f64| latency < MEAN_SERVICE_US / 4e6;
    // The number of calls and of harmed calls in each window.
    let mut windows = vec![(0usize, 0usize); (RUN_SECONDS / WINDOW_SECONDS) as usize];
    for call in &completed {
        let latency = call.latency.as_secs_f64();
        let index = (trace[call.index].at_us as f64 / 1e6 / WINDOW_SECONDS) as usize;
        let is_answered = call.code.is_some_and(|code| code.number() == 100);
        windows[index].0 += 1;
        windows[index].1 +=
            usize::from(!is_answered || latency > limit_seconds || is_error(latency));
    }
    let harmed: usize = windows.iter().map(|window| window.1).sum();
    let is_harmed = |window: &(usize, usize)| window.1 as f64 > MAX_AVOIDED_SHARE * window.0 as f64;
    let first_avoided = windows.iter().position(|window| !is_harmed(window));
    let harmed_share = harmed as f64 / completed.len() as f64;
    let avoided_seconds = first_avoided.map(|index| index as f64 * WINDOW_SECONDS);
    println!("{policy:<12} harmed {harmed_share:.4}, errors of targets {target_errors}, avoided {avoided_seconds:?} s");
    json!({ "policy": policy, "harmedShare": harmed_share,
            "targetErrors": target_errors, "avoidedSeconds": avoided_seconds })
}

fn main() {
    println!("seed {SEED}");
    let rows = ["least_local", "round_robin", "two_choices", "adaptive"].map(run_policy);
    let harmed = |row: &Value| row["harmedShare"].as_f64().unwrap_or(1.0);
    let best_baseline = rows[..3].iter().map(harmed).fold(1.0, f64::min);
    // The requirement has no numeric bound: fast errors must not attract traffic, so that no more
    // calls are harmed than when targets are chosen without regard to their load.
    let holds = harmed(&rows[3]) < best_baseline && rows[3]["avoidedSeconds"].is_number();
    let result = json!({ "bench": "fast_failure", "holds": holds, "seed": SEED, "rows": rows,
                         "bestBaselineHarmed": best_baseline });
    println!("{result}");
}
