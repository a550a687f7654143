//! Malformed, abusive and slow calls: outcomes, and the entry's memory before and after.

#[path = "../tests/fixture/mod.rs"]
mod fixture;

use std::thread;
use std::time::{Duration, Instant};

use cornellink::edge::stand_in::hosted::host_targets;
use fixture::hostile::{cases, Case};
use fixture::served::Published;

/// Rounds through the table after the first one.
const ROUNDS: usize = 40;
/// Senders of a round.
const SENDERS: usize = 8;
/// Bound on the growth of resident memory in KiB: the entry may keep what its largest calls used.
const MAX_GROWTH_KIB: u64 = 16 * 1024;
/// Longest time of the whole run.
const TIME_LIMIT: Duration = Duration::from_secs(45);

fn main() {
    println!("seed: none, the table is fixed");
    let (targets, addresses) = host_targets(1, 64, Duration::ZERO).unwrap();
    let published = Published::new(&addresses);
    let limits = serde_json::json!({ "headMs": 100, "bodyMs": 100, "idleMs": 200 });
    let entry = published.entry("hostile-bench", serde_json::json!({ "callers": limits }));
    let listen = entry.listen;
    let table = cases();
    let start = Instant::now();
    let before = entry.resident_kib();
    let mut wrong = 0;
    println!("{:<32} {:<16} outcome", "case", "expected");
    for case in &table {
        let outcome = case.run(listen);
        let mark = if outcome == case.want { "" } else { "  WRONG" };
        println!("{:<32} {:<16} {outcome}{mark}", case.name, case.want);
        wrong += usize::from(outcome != case.want);
    }
    let first = entry.resident_kib();
    let mut rounds = 0;
    while rounds < ROUNDS && start.elapsed() < TIME_LIMIT {
        wrong += round(listen);
        rounds += 1;
    }
    let after = entry.resident_kib();
    let runs = table.iter().map(Case::runs).sum::<u64>() * (1 + (rounds * SENDERS) as u64);
    let ran = targets.with(|targets| targets[0].calls());
    let holds = wrong == 0 && ran == runs && after <= first + MAX_GROWTH_KIB;
    println!("resident KiB: before {before}, after one round {first}, after the last {after}");
    let result = serde_json::json!({
        "bench": "hostile",
        "holds": holds,
        "cases": table.len(),
        "sent": table.len() * (1 + rounds * SENDERS),
        "wrong": wrong,
        "ranAtTarget": ran,
        "ranExpected": runs,
        "residentBeforeKib": before,
        "residentFirstKib": first,
        "residentAfterKib": after,
        "bounds": { "wrong": 0, "growthKib": MAX_GROWTH_KIB },
    });
    println!("{result}");
}

/// Sends the table from several senders at a time; returns the number of wrong outcomes.
fn round(listen: std::net::SocketAddr) -> usize {
    let send = move || cases().iter().filter(|case| case.run(listen) != case.want).count();
    let senders: Vec<_> = (0..SENDERS).map(|_| thread::spawn(send)).collect();
    senders.into_iter().map(|sender| sender.join().expect("a sender ends")).sum()
}
