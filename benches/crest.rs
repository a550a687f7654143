//! Tail latency and fairness during a load peak, compared with the baseline policies.
//!
//! Ten targets with 3 slots each run at 60% load. In the run printed as `swing`, the load of all
//! workspaces rises to 150% of the capacity for 2 s. In the run printed as `flood`, the load of one
//! of the three workspaces rises to 10 times its share for 2 s.

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
/// Mean delay of the timers of the stand-in targets, which have a resolution of 1 ms; it adds to
/// the service time.
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
    /// Printed as `swing`.
    AllWorkspaces,
}

struct Run {
    planned_calls: Vec<TraceCall>,
    ended: Vec<CallOutcome>,
}

fn run_policy(policy: &'static str, peak: LoadPeak) -> Run {
    let capacity = (TARGETS * SLOTS_PER_TARGET) as f64 / (MEAN_SERVICE_US + TIMER_DELAY_US) * 1e6;
    let streams = WORKSPACES.map(|workspace| {
        // A multiple of the capacity: 3 * 0.2 = 60% outside of the peak, 3 * 0.5 = 150% at a peak
        // of all workspaces, and 2.0 = 10 * 0.2 for a flooding one.
        let peak_load = match peak {
            LoadPeak::Flood if workspace == FLOODING_WORKSPACE => 2.0,
            LoadPeak::Flood | LoadPeak::None => 0.2,
            LoadPeak::AllWorkspaces => 0.5,
        };
        let (base_rate, peak_rate) = (0.2 * capacity, peak_load * capacity);
        CallStream {
            workspace,
            class: "lookup",
            method: "GET",
            prefix: "/tickets",
            service_us: MEAN_SERVICE_US,
            rates: vec![(0.0, base_rate), (PEAK_SECONDS.0, peak_rate), (PEAK_SECONDS.1, base_rate)],
        }
    });
    let planned_calls = trace(&streams, RUN_SECONDS, &mut SmallRng::seed_from_u64(SEED));
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
    let ended = cluster.send(&planned_calls);
    Run { planned_calls, ended }
}

impl Run {
    fn all(&self) -> Summary {
        Summary::of(&self.planned_calls, &self.ended, |_| true)
    }

    /// The calls that arrive during the peak from workspaces other than the flooding one.
    fn others_at_peak(&self) -> Summary {
        Summary::of(&self.planned_calls, &self.ended, |call| {
            is_at_peak(call) && call.workspace != FLOODING_WORKSPACE
        })
    }

    /// Jain's fairness index of the answered work of each workspace divided by its fair share.
    ///
    /// The fair share of each workspace is its demand (0.2 of the capacity); the flooding one gets
    /// the rest. The work is in seconds and the shares are fractions of the capacity: their common
    /// scale cancels in the index.
    fn fairness_index(&self) -> f64 {
        let ratios = WORKSPACES.map(|workspace| {
            let fair_share = if workspace == FLOODING_WORKSPACE { 0.6 } else { 0.2 };
            let is_counted = |call: &TraceCall| is_at_peak(call) && call.workspace == workspace;
            Summary::of(&self.planned_calls, &self.ended, is_counted).work_seconds / fair_share
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
        let all = run_policy(policy, LoadPeak::AllWorkspaces).all();
        best_p99 = best_p99.min(all.quantile(0.99));
        best_answered_share = best_answered_share.max(all.answered_share());
        rows.push(print_row("swing", policy, &all));
        rows.push(print_row(
            "flood, others",
            policy,
            &run_policy(policy, LoadPeak::Flood).others_at_peak(),
        ));
    }
    let all_workspaces = run_policy("adaptive", LoadPeak::AllWorkspaces).all();
    let calm_others = run_policy("adaptive", LoadPeak::None).others_at_peak();
    let flood = run_policy("adaptive", LoadPeak::Flood);
    let flood_others = flood.others_at_peak();
    rows.push(print_row("swing", "adaptive", &all_workspaces));
    rows.push(print_row("calm, others", "adaptive", &calm_others));
    rows.push(print_row("flood, others", "adaptive", &flood_others));
    let all_workspaces_p99_ratio = all_workspaces.quantile(0.99) / best_p99;
    let flood_p99_ratio = flood_others.quantile(0.99) / calm_others.quantile(0.99);
    let holds = all_workspaces_p99_ratio <= 0.5
        && flood_p99_ratio <= 1.5
        && flood_others.answered_share() >= 0.999;
    let result = json!({
        "bench": "crest", "holds": holds, "seed": SEED, "rows": rows,
        "swingP99Ratio": all_workspaces_p99_ratio, "swingP99RatioBound": 0.5,
        "swingAnswered": all_workspaces.answered_share(),
        "bestBaselineAnswered": best_answered_share,
        "floodP99Ratio": flood_p99_ratio, "floodP99RatioBound": 1.5,
        "floodOthersAnswered": flood_others.answered_share(), "floodOthersAnsweredBound": 0.999,
        "floodJain": flood.fairness_index(),
    });
    println!("{result}");
}
