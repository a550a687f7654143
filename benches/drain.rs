//! One target drains by its own answers, another by the list of VMs: the last new call after the
//! sign from each entry, and calls cut.

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
const SECONDS: f64 = 8.0;
/// Time of the signs.
const SIGN: Duration = Duration::from_secs(3);
const BOUND_MS: f64 = 2000.0;

fn main() {
    println!("seed {SEED}");
    let stream = CallStream {
        workspace: "north",
        class: "lookup",
        method: "GET",
        prefix: "/tickets",
        service_us: 20_000.0,
        rates: vec![(0.0, 500.0)],
    };
    let trace = trace(&[stream], SECONDS, &mut SmallRng::seed_from_u64(SEED));
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
    let (ended, sign) = std::thread::scope(|scope| {
        let signs = scope.spawn(|| {
            std::thread::sleep(SIGN);
            let sign = Instant::now();
            cluster.publish_vms(Some(1));
            cluster.targets.with(|targets| {
                targets[0].set_faults(TargetFaults { draining: true, ..TargetFaults::default() });
            });
            sign
        });
        (cluster.send(&trace), signs.join().unwrap())
    });
    let last = cluster.targets.with(move |targets| {
        [0, 1].map(|index| {
            let arrivals = targets[index].arrivals();
            let late = arrivals.values().map(|at| at.saturating_duration_since(sign));
            let mut late: Vec<f64> = late.map(|late| late.as_secs_f64() * 1000.0).collect();
            late.sort_by(f64::total_cmp);
            late
        })
    });
    let all = Summary::of(&trace, &ended, |_| true);
    let cut = all.calls - all.answered;
    let most = last.iter().flatten().copied().fold(0.0, f64::max);
    let result = json!({
        "bench": "drain", "holds": most <= BOUND_MS && cut == 0, "seed": SEED,
        "calls": all.calls, "cut": cut, "cutBound": 0,
        "lastByAnswerMs": last[0], "lastByListMs": last[1],
        "lastMs": most, "lastMsBound": BOUND_MS,
    });
    println!("{result}");
}
