//! Head-of-line blocking: latency of short `check` calls while `pull` calls, which take 40 times
//! longer, run on the same targets with 6 slots each.
//!
//! Pulls may occupy all slots but one on each target. The checks need less capacity than the slots
//! that remain for them.

#[path = "../tests/fixture/mod.rs"]
mod fixture;

use fixture::arrivals::{trace, CallStream, Summary};
use fixture::cluster::{Cluster, Plan};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use serde_json::json;

const SEED: u64 = 11;
const ENTRIES: usize = 4;
const TARGETS: usize = 12;
const SLOTS_PER_TARGET: usize = 6;
const CHECK_SERVICE_US: f64 = 5_000.0;
const PULL_SERVICE_US: f64 = 40.0 * CHECK_SERVICE_US;
/// Mean delay of the timers of the stand-in targets, which adds to the service time.
const TIMER_DELAY_US: f64 = 1_500.0;
/// Arrival rate of checks, which use about 3 of the 12 slots that remain for them.
const CHECKS_PER_SECOND: f64 = 400.0;
const RUN_SECONDS: f64 = 10.0;
/// Time until the measurement starts, which lets the pulls fill their slots.
const WARM_UP_SECONDS: f64 = 2.0;

fn stream(class: &'static str, prefix: &'static str, service_us: f64, rate: f64) -> CallStream {
    let rates = vec![(0.0, rate)];
    CallStream { workspace: "north", class, method: "GET", prefix, service_us, rates }
}

/// Runs both streams; returns the statistics of the checks and the pulls completed per second.
fn run(pulls_per_second: f64) -> (Summary, f64) {
    let streams = [
        stream("check", "/yard", CHECK_SERVICE_US, CHECKS_PER_SECOND),
        stream("pull", "/log", PULL_SERVICE_US, pulls_per_second),
    ];
    let trace = trace(&streams, RUN_SECONDS, &mut SmallRng::seed_from_u64(SEED));
    let cluster = Cluster::start(&Plan {
        policy: "adaptive",
        entries: ENTRIES,
        targets: TARGETS,
        slots: SLOTS_PER_TARGET,
        queue: 200,
        workspaces: vec![("north", 1)],
        classes: json!([
            { "name": "pull", "methods": ["GET"], "prefix": "/log", "deadlineMs": 20000,
              "idempotent": true, "length": "long" },
            { "name": "check", "methods": ["GET"], "prefix": "/yard", "deadlineMs": 1000,
              "idempotent": true },
        ]),
        peers: true,
    });
    let completed = cluster.send(&trace);
    let is_measured = |at_seconds: f64| (WARM_UP_SECONDS..RUN_SECONDS).contains(&at_seconds);
    let checks = Summary::of(&trace, &completed, |call| {
        call.class == "check" && is_measured(call.at_us as f64 / 1e6)
    });
    let pulls = completed.iter().filter(|ended| {
        let call = &trace[ended.index];
        let end_seconds = call.at_us as f64 / 1e6 + ended.latency.as_secs_f64();
        call.class == "pull"
            && ended.code.is_some_and(|code| code.number() == 100)
            && is_measured(end_seconds)
    });
    (checks, pulls.count() as f64 / (RUN_SECONDS - WARM_UP_SECONDS))
}

fn main() {
    println!("seed {SEED}");
    let pull_capacity =
        (TARGETS * (SLOTS_PER_TARGET - 1)) as f64 / (PULL_SERVICE_US + TIMER_DELAY_US) * 1e6;
    let (checks_alone, _) = run(0.0);
    // Pulls arrive at slightly more than their capacity, so that their slots stay occupied.
    let (checks_with_pulls, pull_rate) = run(pull_capacity * 1.1);
    let p99_ratio = checks_with_pulls.quantile(0.99) / checks_alone.quantile(0.99);
    let pull_ratio = pull_rate / pull_capacity;
    let holds = p99_ratio <= 1.3 && pull_ratio >= 0.9;
    let result = json!({
        "bench": "head_of_line", "holds": holds, "seed": SEED,
        "checkP99AloneMs": checks_alone.quantile(0.99),
        "checkP99Ms": checks_with_pulls.quantile(0.99),
        "checkP50AloneMs": checks_alone.quantile(0.5),
        "checkP50Ms": checks_with_pulls.quantile(0.5),
        "checksAnswered": checks_with_pulls.answered_share(),
        "p99Ratio": p99_ratio, "p99RatioBound": 1.3,
        "pullsPerSecond": pull_rate, "leftOverPerSecond": pull_capacity,
        "pullRatio": pull_ratio, "pullRatioBound": 0.9,
    });
    println!("{result}");
}
