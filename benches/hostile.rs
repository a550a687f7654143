//! Outcomes of malformed, abusive and slow calls, and the memory of the entry before and after.

#[path = "../tests/fixture/mod.rs"]
mod fixture;

use std::thread;
use std::time::{Duration, Instant};

use cornellink::edge::stand_in::hosted::host_targets;
use fixture::hostile::{cases, Case};
use fixture::served::Published;

/// Maximum number of rounds through the table of cases after the first one.
const MAX_ROUNDS: usize = 40;
/// Threads that each send the whole table in a round.
const SENDER_THREADS: usize = 8;
/// Bound on the growth of resident memory after the first round: the entry may keep the memory that
/// its largest calls used.
const MAX_GROWTH_KIB: u64 = 16 * 1024;
/// Time after which no further round starts.
const RUN_TIMEOUT: Duration = Duration::from_secs(45);

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
        let mark = if outcome == case.expected { "" } else { "  WRONG" };
        println!("{:<32} {:<16} {outcome}{mark}", case.name, case.expected);
        wrong += usize::from(outcome != case.expected);
    }
    let after_first = entry.resident_kib();
    let mut rounds = 0;
    while rounds < MAX_ROUNDS && start.elapsed() < RUN_TIMEOUT {
        wrong += send_round(listen);
        rounds += 1;
    }
    let after = entry.resident_kib();
    let expected_calls = table.iter().map(Case::expected_calls).sum::<u64>()
        * (1 + (rounds * SENDER_THREADS) as u64);
    let target_calls = targets.with(|targets| targets[0].calls());
    let holds =
        wrong == 0 && target_calls == expected_calls && after <= after_first + MAX_GROWTH_KIB;
    println!(
        "resident KiB: before {before}, after one round {after_first}, after the last {after}"
    );
    let result = serde_json::json!({
        "bench": "hostile",
        "holds": holds,
        "cases": table.len(),
        "sent": table.len() * (1 + rounds * SENDER_THREADS),
        "wrong": wrong,
        "ranAtTarget": target_calls,
        "ranExpected": expected_calls,
        "residentBeforeKib": before,
        "residentFirstKib": after_first,
        "residentAfterKib": after,
        "bounds": { "wrong": 0, "growthKib": MAX_GROWTH_KIB },
    });
    println!("{result}");
}

/// Sends the table from several threads at the same time; returns the number of wrong outcomes.
fn send_round(listen: std::net::SocketAddr) -> usize {
    let send = move || cases().iter().filter(|case| case.run(listen) != case.expected).count();
    let senders: Vec<_> = (0..SENDER_THREADS).map(|_| thread::spawn(send)).collect();
    senders.into_iter().map(|sender| sender.join().expect("a sender ends")).sum()
}
