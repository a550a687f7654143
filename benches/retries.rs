//! Half of the targets fail for 3 s: attempts per call and recovery.

#[path = "../tests/fixture/mod.rs"]
mod fixture;

use std::time::Duration;

use cornellink::platform::stand_in::target::TargetFaults;
use fixture::arrivals::{trace, Stream};
use fixture::cluster::{Cluster, Plan};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use serde_json::json;

const SEED: u64 = 17;
const TARGETS: usize = 10;
const RATE: f64 = 400.0;
const SERVICE_US: f64 = 20_000.0;
const SECONDS: f64 = 12.0;
/// Start and end of the fault in seconds.
const FAULT: (f64, f64) = (2.0, 5.0);
/// Length of a window in seconds.
const WINDOW: f64 = 0.25;
/// Latency in the windows before the fault may grow by this factor after it.
const RECOVERED: f64 = 1.5;

fn main() {
    println!("seed {SEED}");
    let stream = Stream {
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
    let mut windows = vec![Vec::new(); (SECONDS / WINDOW) as usize];
    for end in &ended {
        let place = (trace[end.index].at_us as f64 / 1e6 / WINDOW) as usize;
        windows[place].push(end.latency.as_secs_f64() * 1000.0);
    }
    let medians: Vec<f64> = windows
        .iter_mut()
        .map(|window| {
            window.sort_by(f64::total_cmp);
            window.get(window.len() / 2).copied().unwrap_or(f64::NAN)
        })
        .collect();
    let place = |seconds: f64| (seconds / WINDOW) as usize;
    let before = medians[place(1.0)..place(FAULT.0)].iter().sum::<f64>()
        / (place(FAULT.0) - place(1.0)) as f64;
    let is_bad = |median: &f64| !(before / RECOVERED..before * RECOVERED).contains(median);
    let last = medians[place(FAULT.1)..].iter().rposition(is_bad);
    let recovery = last.map_or(0.0, |last| (last + 1) as f64 * WINDOW);
    let result = json!({
        "bench": "retries", "holds": amplification <= 1.1, "seed": SEED,
        "calls": ended.len(), "attemptsPerCall": amplification, "attemptsPerCallBound": 1.1,
        "targetErrors": errors, "medianBeforeMs": before, "recoverySeconds": recovery,
    });
    println!("{result}");
}
