//! Draining of targets: one target reports in its responses that it drains, another is marked in
//! the list of VMs.
//!
//! Measures the time from the drain signal to the last new call from each entry, and counts the
//! calls that were not answered.

#[path = "../tests/fixture/mod.rs"]
mod fixture;

use std::time::{Duration, Instant};

use cornellink::edge::stand_in::target::TargetFaults;
use fixture::arrivals::{trace, CallStream, Summary};
use fixture::cluster::{Cluster, Plan};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use serde_json::json;

const SEED: u64 = 19;
const ENTRIES: usize = 8;
const RUN_SECONDS: f64 = 8.0;
/// Time of both drain signals after the start of the run.
const DRAIN_DELAY: Duration = Duration::from_secs(3);
/// Bound on the delay from a drain signal to the last new call.
const MAX_LAST_CALL_DELAY_MS: f64 = 2000.0;

fn main() {
    println!("seed {SEED}");
    let stream = CallStream {
        workspace: "north",
        class: "lookup",
        method: "GET",
        prefix: "/tickets",
        service_us: 20_000.0,
        // 500 calls per second from the start.
        rates: vec![(0.0, 500.0)],
    };
    let planned_calls = trace(&[stream], RUN_SECONDS, &mut SmallRng::seed_from_u64(SEED));
    let cluster = Cluster::start(&Plan {
        policy: "adaptive",
        entries: ENTRIES,
        targets: 10,
        slots: 3,
        queue: 100,
        workspaces: vec![("north", 1)],
        classes: json!([{ "name": "lookup", "methods": ["GET"], "prefix": "/",
                          "deadlineMs": 1000, "idempotent": true }]),
        peers: true,
    });
    let (ended, signalled_at) = std::thread::scope(|scope| {
        let signaller = scope.spawn(|| {
            std::thread::sleep(DRAIN_DELAY);
            let signalled_at = Instant::now();
            // Target 1 drains by the list of VMs, target 0 by its responses.
            cluster.publish_vms(Some(1));
            cluster.targets.with(|targets| {
                targets[0].set_faults(TargetFaults { draining: true, ..TargetFaults::default() });
            });
            signalled_at
        });
        (cluster.send(&planned_calls), signaller.join().unwrap())
    });
    // Index 0: the target that drains by its responses; 1: the one that drains by the list of VMs.
    let last_call_delays_ms = cluster.targets.with(move |targets| {
        [0, 1].map(|index| {
            let arrivals = targets[index].last_arrivals();
            let delays = arrivals.values().map(|at| at.saturating_duration_since(signalled_at));
            let mut delays_ms: Vec<f64> =
                delays.map(|delay| delay.as_secs_f64() * 1000.0).collect();
            delays_ms.sort_by(f64::total_cmp);
            delays_ms
        })
    });
    let summary = Summary::of(&planned_calls, &ended, |_| true);
    let unanswered = summary.calls - summary.answered;
    let max_delay_ms = last_call_delays_ms.iter().flatten().copied().fold(0.0, f64::max);
    let result = json!({
        "bench": "drain",
        "holds": max_delay_ms <= MAX_LAST_CALL_DELAY_MS && unanswered == 0, "seed": SEED,
        "calls": summary.calls, "cut": unanswered, "cutBound": 0,
        "lastByAnswerMs": last_call_delays_ms[0], "lastByListMs": last_call_delays_ms[1],
        "lastMs": max_delay_ms, "lastMsBound": MAX_LAST_CALL_DELAY_MS,
    });
    println!("{result}");
}
