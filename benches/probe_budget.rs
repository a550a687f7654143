//! Largest number of probes that a target receives within one second.
//!
//! There are 16 entry processes and no calls. Half of the entries repeatedly lose their connection
//! to the log and regain it, and entries are paused and restarted at random.

#[path = "../tests/fixture/mod.rs"]
mod fixture;

use cornellink::edge::stand_in::hosted::{host_platforms, host_targets, TargetHost};
use cornellink::edge::stand_in::log::LogFaults;
use cornellink::prelude::*;
use cornellink::process::runtime::block_on;
use fixture::entry_cluster::{document, EntryCluster};
use fixture::publish::publish;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SEED: u64 = 21;
const ENTRIES: usize = 16;
const TARGETS: usize = 6;
const RUN_DURATION: Duration = Duration::from_secs(52);
/// Time without faults at the start, which lets the entries obtain the first leases.
const FAULT_FREE_DURATION: Duration = Duration::from_secs(10);
/// Slots of a target, and the probes per second that fit into 1% of their time at 6 ms per probe.
const PROBE_BUDGETS: [(usize, usize); 2] = [(3, 5), (6, 10)];

fn main() {
    let (platform, platforms) = host_platforms(2, Duration::from_secs(3600)).unwrap();
    let hosts = PROBE_BUDGETS
        .map(|(slots, _)| host_targets(TARGETS, slots, Duration::from_millis(4)).unwrap());
    let mut rng = SmallRng::seed_from_u64(SEED);
    let faults = block_on(async {
        let services = [("jobs", 3, &hosts[0].1[..]), ("stock", 6, &hosts[1].1[..])];
        publish(platforms[0], document(&services)).await;
        let cluster = EntryCluster::start(ENTRIES, platforms);
        cluster.wait_ready().await;
        let end = Instant::now() + RUN_DURATION;
        monoio::time::sleep(FAULT_FREE_DURATION).await;
        let mut faults = 0;
        let mut paused: Vec<(usize, Instant)> = Vec::new();
        while Instant::now() < end {
            faults += 1;
            let entry = rng.random_range(0..ENTRIES);
            match rng.random_range(0..12) {
                0 => platform.with(|services| services[1].set_log_unreachable(true)),
                1..=2 => platform.with(|services| services[1].set_log_unreachable(false)),
                3 if !paused.iter().any(|(index, _)| *index == entry) => cluster.restart(entry),
                4 => platform.with(|services| {
                    let faults = LogFaults { lose_responses: true, ..Default::default() };
                    services[0].log.set_faults(faults);
                }),
                5 => platform.with(|services| services[0].log.set_faults(LogFaults::default())),
                _ if paused.iter().all(|(index, _)| *index != entry) => {
                    let pause_duration = Duration::from_millis(rng.random_range(300..10_000));
                    cluster.pause(entry);
                    paused.push((entry, Instant::now() + pause_duration));
                }
                _ => {}
            }
            monoio::time::sleep(Duration::from_millis(rng.random_range(50..500))).await;
            let now = Instant::now();
            paused.retain(|(entry, until)| {
                if *until <= now {
                    cluster.resume(*entry);
                }
                *until > now
            });
        }
        paused.iter().for_each(|(entry, _)| cluster.resume(*entry));
        monoio::time::sleep(Duration::from_secs(2)).await;
        faults
    });
    report(faults.unwrap(), &hosts);
}

/// Returns the largest number of probes of a target in any window of one second, and the number of
/// all probes of the host.
fn count_probes(host: &TargetHost) -> (usize, usize) {
    let probes = host.with(|targets| targets.iter().map(|t| t.probes()).collect::<Vec<_>>());
    let window = Duration::from_secs(1);
    let counts = probes.iter().flat_map(|times| {
        times.iter().map(|start| {
            times.iter().filter(|at| **at >= *start && **at - *start <= window).count()
        })
    });
    (counts.max().unwrap_or(0), probes.iter().map(Vec::len).sum())
}

fn report(faults: u32, hosts: &[(TargetHost, Vec<SocketAddr>); 2]) {
    let results: Vec<_> = hosts.iter().map(|(host, _)| count_probes(host)).collect();
    let is_within = |((worst, count), (_, budget)): (&(usize, usize), &(usize, usize))| {
        worst <= budget && *count > 0
    };
    let holds = results.iter().zip(&PROBE_BUDGETS).all(is_within);
    println!("seed {SEED}, {ENTRIES} entries, {faults} faults");
    println!(
        "{}",
        serde_json::json!({
            "bench": "probe_budget",
            "holds": holds,
            "worstSecond": { "slots3": results[0].0, "slots6": results[1].0 },
            "probesPerTargetAndSecond": {
                "slots3": results[0].1 as f64 / TARGETS as f64 / RUN_DURATION.as_secs_f64(),
                "slots6": results[1].1 as f64 / TARGETS as f64 / RUN_DURATION.as_secs_f64(),
            },
            "faults": faults,
            "bounds": { "slots3": PROBE_BUDGETS[0].1, "slots6": PROBE_BUDGETS[1].1 },
        })
    );
}
