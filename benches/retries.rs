//! Half of the targets fail for 3 s: attempts per call and recovery.

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
/// About 57% of the capacity, and more than the half of it that the fault leaves.
const RATE: f64 = 800.0;
const SERVICE_US: f64 = 20_000.0;
const SECONDS: f64 = 12.0;
/// Start and end of the fault in seconds.
const FAULT: (f64, f64) = (2.0, 5.0);
/// Length of a window in seconds.
const WINDOW: f64 = 0.25;
/// Harm is a call that fails or takes this many times the mean service time.
const HARM_FACTOR: f64 = 5.0;
/// A window with at most this share of harm counts as recovered.
const RECOVERED: f64 = 0.01;

fn main() {
    println!("seed {SEED}");
    let stream = CallStream {
        workspace: "north",
        class: "lookup",
        method: "GET",
        prefix: "/tickets",
        service_us: SERVICE_US,
        rates: vec![(0.0, RATE)],
    };
    let trace = trace(&[stream], SECONDS, &mut SmallRng::seed_from_u64(SEED));
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
    let ended = std::thread::scope(|scope| {
        scope.spawn(|| {
            for (at, failing) in [(FAULT.0, true), (FAULT.1 - FAULT.0, false)] {
                std::thread::sleep(Duration::from_secs_f64(at));
                cluster.targets.with(move |targets| {
                    for target in &targets[..TARGETS / 2] {
                        target.set_faults(TargetFaults { failing, ..TargetFaults::default() });
                    }
                });
            }
        });
        cluster.send(&trace)
    });
    let attempts: u64 = ended.iter().map(|end| u64::from(end.attempts)).sum();
    let amplification = attempts as f64 / ended.len() as f64;
    let errors: u64 =
        cluster.targets.with(|targets| targets.iter().map(|target| target.failed()).sum());
    let mut windows = vec![(0usize, 0usize); (SECONDS / WINDOW) as usize];
    for end in &ended {
        let latency = end.latency.as_secs_f64() * 1e6;
        let place = (trace[end.index].at_us as f64 / 1e6 / WINDOW) as usize;
        let is_answered = end.code.is_some_and(|code| code.number() == 100);
        // The sender reports the code, not the status; a call that took less than half of the
        // least service time was answered with an error.
        let is_slow = !(SERVICE_US / 4.0..=HARM_FACTOR * SERVICE_US).contains(&latency);
        windows[place].0 += 1;
        windows[place].1 += usize::from(!is_answered || is_slow);
    }
    let is_bad = |window: &(usize, usize)| window.1 as f64 > RECOVERED * window.0 as f64;
    let end = (FAULT.1 / WINDOW) as usize;
    let last = windows[end..].iter().rposition(is_bad);
    let recovery = last.map_or(0.0, |last| (last + 1) as f64 * WINDOW);
    let harmed: usize = windows.iter().map(|window| window.1).sum();
    let harmed = harmed as f64 / ended.len() as f64;
    let result = json!({
        "bench": "retries", "holds": amplification <= 1.1, "seed": SEED,
        "calls": ended.len(), "attemptsPerCall": amplification, "attemptsPerCallBound": 1.1,
        "targetErrors": errors, "harmedShare": harmed, "recoverySeconds": recovery,
    });
    println!("{result}");
}
