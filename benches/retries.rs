//! Attempts per call and time to recover when half of the targets fail for 3 s.

#[path = "../tests/fixture/mod.rs"]
mod fixture;

use std::time::Duration;

use cornellink::edge::stand_in::target::TargetFaults;
use fixture::arrivals::{trace, CallStream};
use fixture::cluster::{Cluster, Plan};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use serde_json::json;

const SEED: u64 = 17;
const TARGETS: usize = 10;
/// About 57% of the capacity, which is more than the half that remains during the fault.
const CALLS_PER_SECOND: f64 = 800.0;
const MEAN_SERVICE_US: f64 = 20_000.0;
const RUN_SECONDS: f64 = 12.0;
/// Start and end of the fault, in seconds after the start of the run.
const FAULT_SECONDS: (f64, f64) = (2.0, 5.0);
/// Length of the windows in which harmed calls are counted.
const WINDOW_SECONDS: f64 = 0.25;
/// A call is harmed if it fails or takes longer than this multiple of the mean service time.
const HARM_LATENCY_RATIO: f64 = 5.0;
/// A window with at most this share of harmed calls counts as recovered.
const MAX_RECOVERED_SHARE: f64 = 0.01;

fn main() {
    println!("seed {SEED}");
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
        policy: "adaptive",
        entries: 4,
        targets: TARGETS,
        slots: 3,
        queue: 100,
        workspaces: vec![("north", 1)],
        classes: json!([{ "name": "lookup", "methods": ["GET"], "prefix": "/",
                          "deadlineMs": 1000, "idempotent": true }]),
        peers: true,
    });
    let completed = std::thread::scope(|scope| {
        scope.spawn(|| {
            for (delay_seconds, failing) in
                [(FAULT_SECONDS.0, true), (FAULT_SECONDS.1 - FAULT_SECONDS.0, false)]
            {
                std::thread::sleep(Duration::from_secs_f64(delay_seconds));
                cluster.targets.with(move |targets| {
                    for target in &targets[..TARGETS / 2] {
                        target.set_faults(TargetFaults { failing, ..TargetFaults::default() });
                    }
                });
            }
        });
        cluster.send(&trace)
    });
    let attempts: u64 = completed.iter().map(|call| u64::from(call.attempts)).sum();
    let amplification = attempts as f64 / completed.len() as f64;
    let target_errors: u64 =
        cluster.targets.with(|targets| targets.iter().map(|target| target.failed_calls()).sum());
    // The number of calls and of harmed calls in each window.
    let mut windows = vec![(0usize, 0usize); (RUN_SECONDS / WINDOW_SECONDS) as usize];
    for call in &completed {
        let latency_us = call.latency.as_secs_f64() * 1e6;
        let index = (trace[call.index].at_us as f64 / 1e6 / WINDOW_SECONDS) as usize;
        let is_answered = call.code.is_some_and(|code| code.number() == 100);
        // The sender reports the result code, not the HTTP status: a call that took less than half
        // of the shortest service time received an error response.
        let is_out_of_range =
            !(MEAN_SERVICE_US / 4.0..=HARM_LATENCY_RATIO * MEAN_SERVICE_US).contains(&latency_us);
        windows[index].0 += 1;
        windows[index].1 += usize::from(!is_answered || is_out_of_range);
    }
    let is_bad = |window: &(usize, usize)| window.1 as f64 > MAX_RECOVERED_SHARE * window.0 as f64;
    let first_window = (FAULT_SECONDS.1 / WINDOW_SECONDS) as usize;
    let last_bad = windows[first_window..].iter().rposition(is_bad);
    let recovery_seconds = last_bad.map_or(0.0, |index| (index + 1) as f64 * WINDOW_SECONDS);
    let harmed: usize = windows.iter().map(|window| window.1).sum();
    let harmed_share = harmed as f64 / completed.len() as f64;
    let result = json!({
        "bench": "retries", "holds": amplification <= 1.1, "seed": SEED,
        "calls": completed.len(), "attemptsPerCall": amplification, "attemptsPerCallBound": 1.1,
        "targetErrors": target_errors, "harmedShare": harmed_share,
        "recoverySeconds": recovery_seconds,
    });
    println!("{result}");
}
