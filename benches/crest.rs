//! Tail latency and fairness at the peak of a demand swing, beside the baselines.
//!
//! Ten targets with 3 slots at 60% load. `swing` raises all workspaces to 150% for 2 s; `flood`
//! raises one of three workspaces to 10 times its share for 2 s.

#[path = "../tests/fixture/mod.rs"]
mod fixture;

use cornellink::load::report::CallOutcome;
use cornellink::load::trace::TraceCall;
use fixture::arrivals::{trace, CallStream, Summary};
use fixture::cluster::{Cluster, Plan};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use serde_json::{json, Value};

const SEED: u64 = 7;
const ENTRIES: usize = 8;
const TARGETS: usize = 10;
const SLOTS: usize = 3;
const SERVICE_US: f64 = 20_000.0;
/// Mean time by which the stand-ins' timers are late.
const TIMER_US: f64 = 1_500.0;
const SECONDS: f64 = 5.0;
/// Start and end of the peak in seconds.
const PEAK: (f64, f64) = (1.5, 3.5);
const WORKSPACES: [&str; 3] = ["east", "north", "south"];
const FLOODING: &str = "south";
const BASELINES: [&str; 3] = ["least_local", "round_robin", "two_choices"];

/// Load of each workspace at the peak as a part of the capacity.
#[derive(Clone, Copy)]
enum Peak {
    Flood,
    None,
    Swing,
}

struct Run {
    trace: Vec<TraceCall>,
    ended: Vec<CallOutcome>,
}

fn run(policy: &'static str, peak: Peak) -> Run {
    let capacity = (TARGETS * SLOTS) as f64 / (SERVICE_US + TIMER_US) * 1e6;
    let streams = WORKSPACES.map(|workspace| {
        let high = match peak {
            Peak::Flood if workspace == FLOODING => 2.0,
            Peak::Flood | Peak::None => 0.2,
            Peak::Swing => 0.5,
        };
        let (low, high) = (0.2 * capacity, high * capacity);
        CallStream {
            workspace,
            class: "lookup",
            method: "GET",
            prefix: "/tickets",
            service_us: SERVICE_US,
            rates: vec![(0.0, low), (PEAK.0, high), (PEAK.1, low)],
        }
    });
    let trace = trace(&streams, SECONDS, &mut SmallRng::seed_from_u64(SEED));
    let cluster = Cluster::start(&Plan {
        policy,
        entries: ENTRIES,
        targets: TARGETS,
        slots: SLOTS,
        queue: 16,
        workspaces: WORKSPACES.map(|name| (name, 1)).to_vec(),
        classes: json!([{ "name": "lookup", "methods": ["GET"], "prefix": "/",
                          "deadlineMs": 400, "idempotent": true }]),
        peers: true,
    });
    let ended = cluster.send(&trace);
    Run { trace, ended }
}

impl Run {
    fn all(&self) -> Summary {
        Summary::of(&self.trace, &self.ended, |_| true)
    }

    /// Calls at the peak of the workspaces that do not flood.
    fn others(&self) -> Summary {
        Summary::of(&self.trace, &self.ended, |call| is_at_peak(call) && call.workspace != FLOODING)
    }

    /// Jain's index of answered work in relation to the fair share, which is the demand of the
    /// workspaces below their share and the rest of the capacity for the flooding one.
    fn jain(&self) -> f64 {
        let parts = WORKSPACES.map(|workspace| {
            let fair = if workspace == FLOODING { 0.6 } else { 0.2 };
            let own = |call: &TraceCall| is_at_peak(call) && call.workspace == workspace;
            Summary::of(&self.trace, &self.ended, own).work_seconds / fair
        });
        let sum: f64 = parts.iter().sum();
        let squares: f64 = parts.iter().map(|part| part * part).sum();
        sum * sum / (parts.len() as f64 * squares)
    }
}

fn is_at_peak(call: &TraceCall) -> bool {
    (PEAK.0..PEAK.1).contains(&(call.at_us as f64 / 1e6))
}

fn show(run: &str, policy: &str, figures: &Summary) -> Value {
    let (p50, p99) = (figures.quantile(0.5), figures.quantile(0.99));
    let (calls, share) = (figures.calls, figures.answered_share());
    println!("{run:<14} {policy:<12} {calls:>6} calls, answered {share:.4}, p50 {p50:.1}, p99 {p99:.1} ms");
    json!({ "run": run, "policy": policy, "calls": calls, "answered": share, "p50Ms": p50, "p99Ms": p99 })
}

fn main() {
    println!("seed {SEED}");
    let mut rows = Vec::new();
    let (mut best_p99, mut best_share) = (f64::INFINITY, 0.0f64);
    for policy in BASELINES {
        let all = run(policy, Peak::Swing).all();
        best_p99 = best_p99.min(all.quantile(0.99));
        best_share = best_share.max(all.answered_share());
        rows.push(show("swing", policy, &all));
        rows.push(show("flood, others", policy, &run(policy, Peak::Flood).others()));
    }
    let swing = run("adaptive", Peak::Swing).all();
    let calm = run("adaptive", Peak::None).others();
    let flood = run("adaptive", Peak::Flood);
    let others = flood.others();
    rows.push(show("swing", "adaptive", &swing));
    rows.push(show("calm, others", "adaptive", &calm));
    rows.push(show("flood, others", "adaptive", &others));
    let swing_ratio = swing.quantile(0.99) / best_p99;
    let flood_ratio = others.quantile(0.99) / calm.quantile(0.99);
    let holds = swing_ratio <= 0.5 && flood_ratio <= 1.5 && others.answered_share() >= 0.999;
    let result = json!({
        "bench": "crest", "holds": holds, "seed": SEED, "rows": rows,
        "swingP99Ratio": swing_ratio, "swingP99RatioBound": 0.5,
        "swingAnswered": swing.answered_share(), "bestBaselineAnswered": best_share,
        "floodP99Ratio": flood_ratio, "floodP99RatioBound": 1.5,
        "floodOthersAnswered": others.answered_share(), "floodOthersAnsweredBound": 0.999,
        "floodJain": flood.jain(),
    });
    println!("{result}");
}
