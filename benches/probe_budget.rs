//! The worst second of probes at each target: 16 entry processes, half of which lose sight of the
//! log and regain it, entries paused and restarted, no calls at all.

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
const RUN_TIME: Duration = Duration::from_secs(52);
/// Time without faults at the start, until the first leases are granted.
const START_TIME: Duration = Duration::from_secs(10);
/// 1% of the slot time of 3 and of 6 slots in probes of 6 ms.
const BUDGETS: [(usize, usize); 2] = [(3, 5), (6, 10)];

fn main() {
    let (platform, platforms) = host_platforms(2, Duration::from_secs(3600)).unwrap();
    let hosts =
        BUDGETS.map(|(slots, _)| host_targets(TARGETS, slots, Duration::from_millis(4)).unwrap());
    let mut random = SmallRng::seed_from_u64(SEED);
    let faults = block_on(async {
        let services = [("jobs", 3, &hosts[0].1[..]), ("stock", 6, &hosts[1].1[..])];
        publish(platforms[0], document(&services)).await;
        let cluster = EntryCluster::start(ENTRIES, platforms);
        cluster.wait_ready().await;
        let end = Instant::now() + RUN_TIME;
        monoio::time::sleep(START_TIME).await;
        let mut faults = 0;
        let mut paused: Vec<(usize, Instant)> = Vec::new();
        while Instant::now() < end {
            faults += 1;
            let entry = random.random_range(0..ENTRIES);
            match random.random_range(0..12) {
                0 => platform.with(|services| services[1].set_cut(true)),
                1..=2 => platform.with(|services| services[1].set_cut(false)),
                3 if !paused.iter().any(|(paused, _)| *paused == entry) => cluster.restart(entry),
                4 => platform.with(|services| {
                    let faults = LogFaults { lose_answers: true, ..Default::default() };
                    services[0].log.set_faults(faults);
                }),
                5 => platform.with(|services| services[0].log.set_faults(LogFaults::default())),
                _ if paused.iter().all(|(paused, _)| *paused != entry) => {
                    let span = Duration::from_millis(random.random_range(300..10_000));
                    cluster.pause(entry);
                    paused.push((entry, Instant::now() + span));
                }
                _ => {}
            }
            monoio::time::sleep(Duration::from_millis(random.random_range(50..500))).await;
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

/// The most probes in any one-second window, and the number of all probes.
fn worst(host: &TargetHost) -> (usize, usize) {
    let probes = host.with(|targets| targets.iter().map(|t| t.probes()).collect::<Vec<_>>());
    let window = Duration::from_secs(1);
    let worst = probes.iter().flat_map(|times| {
        times
            .iter()
            .map(|from| times.iter().filter(|at| **at >= *from && **at - *from <= window).count())
    });
    (worst.max().unwrap_or(0), probes.iter().map(Vec::len).sum())
}

fn report(faults: u32, hosts: &[(TargetHost, Vec<SocketAddr>); 2]) {
    let results: Vec<_> = hosts.iter().map(|(host, _)| worst(host)).collect();
    let is_within = |((worst, count), (_, budget)): (&(usize, usize), &(usize, usize))| {
        worst <= budget && *count > 0
    };
    let holds = results.iter().zip(&BUDGETS).all(is_within);
    println!("seed {SEED}, {ENTRIES} entries, {faults} faults");
    println!(
        "{}",
        serde_json::json!({
            "bench": "probe_budget",
            "holds": holds,
            "worstSecond": { "slots3": results[0].0, "slots6": results[1].0 },
            "probesPerTargetAndSecond": {
                "slots3": results[0].1 as f64 / TARGETS as f64 / RUN_TIME.as_secs_f64(),
                "slots6": results[1].1 as f64 / TARGETS as f64 / RUN_TIME.as_secs_f64(),
            },
            "faults": faults,
            "bounds": { "slots3": BUDGETS[0].1, "slots6": BUDGETS[1].1 },
        })
    );
}
