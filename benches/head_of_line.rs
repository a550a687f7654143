//! Short checks beside log pulls that run 40 times longer, on targets with 6 slots.
//!
//! The capacity left over for pulls is all slots but one on each target; the checks use less than
//! the slots that are left to them.

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
const SLOTS: usize = 6;
const CHECK_US: f64 = 5_000.0;
const PULL_US: f64 = 40.0 * CHECK_US;
/// Mean time by which the stand-ins' timers are late.
const TIMER_US: f64 = 1_500.0;
/// Arrivals of checks, which use about 3 of the 12 slots left to them.
const CHECKS: f64 = 400.0;
const SECONDS: f64 = 10.0;
/// Start of the window in which completions count, after the pulls have filled their slots.
const WARM: f64 = 2.0;

fn stream(class: &'static str, prefix: &'static str, service_us: f64, rate: f64) -> CallStream {
    let rates = vec![(0.0, rate)];
    CallStream { workspace: "north", class, method: "GET", prefix, service_us, rates }
}

fn run(pulls: f64) -> (Summary, f64) {
    let streams =
        [stream("check", "/yard", CHECK_US, CHECKS), stream("pull", "/log", PULL_US, pulls)];
    let trace = trace(&streams, SECONDS, &mut SmallRng::seed_from_u64(SEED));
    let cluster = Cluster::start(&Plan {
        policy: "adaptive",
        entries: ENTRIES,
        targets: TARGETS,
        slots: SLOTS,
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
    let ended = cluster.send(&trace);
    let is_warm = |at: f64| (WARM..SECONDS).contains(&at);
    let checks = Summary::of(&trace, &ended, |call| {
        call.class == "check" && is_warm(call.at_us as f64 / 1e6)
    });
    let done = ended.iter().filter(|end| {
        let call = &trace[end.index];
        let at = call.at_us as f64 / 1e6 + end.latency.as_secs_f64();
        call.class == "pull" && end.code.is_some_and(|code| code.number() == 100) && is_warm(at)
    });
    (checks, done.count() as f64 / (SECONDS - WARM))
}

fn main() {
    println!("seed {SEED}");
    let left_over = (TARGETS * (SLOTS - 1)) as f64 / (PULL_US + TIMER_US) * 1e6;
    let (alone, _) = run(0.0);
    // A little more than the left-over capacity keeps the pulls' slots in demand.
    let (beside, rate) = run(left_over * 1.1);
    let p99_ratio = beside.quantile(0.99) / alone.quantile(0.99);
    let pull_ratio = rate / left_over;
    let holds = p99_ratio <= 1.3 && pull_ratio >= 0.9;
    let result = json!({
        "bench": "head_of_line", "holds": holds, "seed": SEED,
        "checkP99AloneMs": alone.quantile(0.99), "checkP99Ms": beside.quantile(0.99),
        "checkP50AloneMs": alone.quantile(0.5), "checkP50Ms": beside.quantile(0.5),
        "checksAnswered": beside.answered_share(),
        "p99Ratio": p99_ratio, "p99RatioBound": 1.3,
        "pullsPerSecond": rate, "leftOverPerSecond": left_over,
        "pullRatio": pull_ratio, "pullRatioBound": 0.9,
    });
    println!("{result}");
}
