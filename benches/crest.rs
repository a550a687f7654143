//! Tail latency and fairness during a load peak, compared with the baseline policies.
//!
//! Ten targets with 3 slots each run at 60% load. In the run `swing`, the load of all workspaces
//! rises to 150% of the capacity for 2 s. In the run `flood`, the load of one of the three
//! workspaces rises to 10 times its share for 2 s.

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
const SLOTS_PER_TARGET: usize = 3;
const MEAN_SERVICE_US: f64 = 20_000.0;
/// Mean delay of the timers of the stand-in targets, which adds to the service time.
const TIMER_DELAY_US: f64 = 1_500.0;
const RUN_SECONDS: f64 = 5.0;
/// Start and end of the load peak, in seconds after the start of the run.
const PEAK_SECONDS: (f64, f64) = (1.5, 3.5);
const WORKSPACES: [&str; 3] = ["east", "north", "south"];
const FLOODING_WORKSPACE: &str = "south";
const BASELINES: [&str; 3] = ["least_local", "round_robin", "two_choices"];

/// Workspaces whose load rises during the peak.
#[derive(Clone, Copy)]
enum LoadPeak {
    /// `FLOODING_WORKSPACE` alone.
    Flood,
    None,
    /// All workspaces; printed as `swing`.
    Spike,
}

struct Run {
    trace: Vec<TraceCall>,
    completed: Vec<CallOutcome>,
}

fn run_policy(policy: &'static str, peak: LoadPeak) -> Run {
    let capacity = (TARGETS * SLOTS_PER_TARGET) as f64 / (MEAN_SERVICE_US + TIMER_DELAY_US) * 1e6;
    let streams = WORKSPACES.map(|workspace| {
        let peak_share = match peak {
            LoadPeak::Flood if workspace == FLOODING_WORKSPACE => 2.0,
            LoadPeak::Flood | LoadPeak::None => 0.2,
            LoadPeak::Spike => 0.5,
        };
        let (base_rate, peak_rate) = (0.2 * capacity, peak_share * capacity);
        CallStream {
            workspace,
            class: "lookup",
            method: "GET",
            prefix: "/tickets",
            service_us: MEAN_SERVICE_US,
            rates: vec![(0.0, base_rate), (PEAK_SECONDS.0, peak_rate), (PEAK_SECONDS.1, base_rate)],
        }
    });
    let trace = trace(&streams, RUN_SECONDS, &mut SmallRng::seed_from_u64(SEED));
    let cluster = Cluster::start(&Plan {
        policy,
        entries: ENTRIES,
        targets: TARGETS,
        slots: SLOTS_PER_TARGET,
        queue: 16,
        workspaces: WORKSPACES.map(|name| (name, 1)).to_vec(),
        classes: json!([{ "name": "lookup", "methods": ["GET"], "prefix": "/",
                          "deadlineMs": 400, "idempotent": true }]),
        peers: true,
    });
    let completed = cluster.send(&trace);
    Run { trace, completed }
}

impl Run {
    fn all(&self) -> Summary {
        Summary::of(&self.trace, &self.completed, |_| true)
    }

    /// The calls that arrive during the peak from workspaces other than the flooding one.
    fn other_workspaces(&self) -> Summary {
        Summary::of(&self.trace, &self.completed, |call| {
            is_at_peak(call) && call.workspace != FLOODING_WORKSPACE
        })
    }

    /// Jain's fairness index of the answered work of each workspace divided by its fair share.
    ///
    /// The fair share is the demand of the workspaces that stay below their share, and the rest of
    /// the capacity for the flooding one.
    fn fairness_index(&self) -> f64 {
        let ratios = WORKSPACES.map(|workspace| {
            let fair_share = if workspace == FLOODING_WORKSPACE { 0.6 } else { 0.2 };
            let is_counted = |call: &TraceCall| is_at_peak(call) && call.workspace == workspace;
            Summary::of(&self.trace, &self.completed, is_counted).work_seconds / fair_share
        });
        let sum: f64 = ratios.iter().sum();
        let squares: f64 = ratios.iter().map(|ratio| ratio * ratio).sum();
        sum * sum / (ratios.len() as f64 * squares)
    }
}

fn is_at_peak(call: &TraceCall) -> bool {
    (PEAK_SECONDS.0..PEAK_SECONDS.1).contains(&(call.at_us as f64 / 1e6))
}

/// Prints the statistics of one run and returns them as a row of the JSON result.
fn print_row(run_name: &str, policy: &str, summary: &Summary) -> Value {
    let (p50, p99) = (summary.quantile(0.5), summary.quantile(0.99));
    let (calls, share) = (summary.calls, summary.answered_share());
    println!("{run_name:<14} {policy:<12} {calls:>6} calls, answered {share:.4}, p50 {p50:.1}, p99 {p99:.1} ms");
    json!({ "run": run_name, "policy": policy, "calls": calls, "answered": share,
            "p50Ms": p50, "p99Ms": p99 })
}

fn main() {
    println!("seed {SEED}");
    let mut rows = Vec::new();
    let (mut best_p99, mut best_answered_share) = (f64::INFINITY, 0.0f64);
    for policy in BASELINES {
        let all = run_policy(policy, LoadPeak::Spike).all();
        best_p99 = best_p99.min(all.quantile(0.99));
        best_answered_share = best_answered_share.max(all.answered_share());
        rows.push(print_row("swing", policy, &all));
        rows.push(print_row(
            "flood, others",
            policy,
            &run_policy(policy, LoadPeak::Flood).other_workspaces(),
        ));
    }
    let spike = run_policy("adaptive", LoadPeak::Spike).all();
    let calm_others = run_policy("adaptive", LoadPeak::None).other_workspaces();
    let flood = run_policy("adaptive", LoadPeak::Flood);
    let flood_others = flood.other_workspaces();
    rows.push(print_row("swing", "adaptive", &spike));
    rows.push(print_row("calm, others", "adaptive", &calm_others));
    rows.push(print_row("flood, others", "adaptive", &flood_others));
    let spike_p99_ratio = spike.quantile(0.99) / best_p99;
    let flood_p99_ratio = flood_others.quantile(0.99) / calm_others.quantile(0.99);
    let holds =
        spike_p99_ratio <= 0.5 && flood_p99_ratio <= 1.5 && flood_others.answered_share() >= 0.999;
    let result = json!({
        "bench": "crest", "holds": holds, "seed": SEED, "rows": rows,
        "swingP99Ratio": spike_p99_ratio, "swingP99RatioBound": 0.5,
        "swingAnswered": spike.answered_share(), "bestBaselineAnswered": best_answered_share,
        "floodP99Ratio": flood_p99_ratio, "floodP99RatioBound": 1.5,
        "floodOthersAnswered": flood_others.answered_share(), "floodOthersAnsweredBound": 0.999,
        "floodJain": flood.fairness_index(),
    });
    println!("{result}");
}
