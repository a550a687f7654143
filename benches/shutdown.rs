//! A rolling restart of all entries under load, without a call cut.

#[path = "../tests/fixture/mod.rs"]
mod fixture;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, RwLock};
use std::thread;
use std::time::{Duration, Instant};

use cornellink::connection::client::Client;
use cornellink::connection::limits::Limits;
use cornellink::connection::target::TargetConnection;
use cornellink::edge::stand_in::hosted::host_targets;
use cornellink::prelude::*;
use cornellink::process::runtime::block_on;
use cornellink::request::header;
use fixture::entry_process::EntryProcess;
use fixture::served::Published;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SEED: u64 = 7;
const ENTRIES: usize = 6;
/// Callers, each with a connection of its own and one call at a time.
const CALLERS: usize = 24;
/// Time between two looks at the readiness of the entries, as the platform's balancer does it.
const READY_INTERVAL: Duration = Duration::from_millis(50);
const TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Default)]
struct Shared {
    /// Addresses of the ready entries, callers and admin.
    ready: RwLock<Vec<SocketAddr>>,
    entries: RwLock<Vec<(SocketAddr, SocketAddr)>>,
    done: AtomicBool,
    answered: AtomicU64,
    cut: AtomicU64,
    other: AtomicU64,
}

fn main() {
    println!("seed: {SEED}");
    let (_targets, addresses) = host_targets(6, 64, Duration::from_millis(5)).unwrap();
    let published = Published::new(&addresses);
    let start_entry = |index: usize, generation: usize| {
        let settings = serde_json::json!({ "shutdown": { "delayMs": 500 }, "log": "info" });
        published.entry(&format!("shutdown-{index}-{generation}"), settings)
    };
    let shared = Arc::new(Shared::default());
    let mut entries: Vec<_> = (0..ENTRIES).map(|index| start_entry(index, 0)).collect();
    *shared.entries.write().unwrap() = list(&entries);
    let balancer = run(&shared, watch_ready);
    while shared.ready.read().unwrap().len() < ENTRIES {
        thread::sleep(READY_INTERVAL);
    }
    let callers: Vec<_> = (0..CALLERS)
        .map(|index| run(&shared, move |shared| call_on(shared, SEED + index as u64)))
        .collect();

    let start = Instant::now();
    let mut logged = 0;
    for index in 0..ENTRIES {
        let next = start_entry(index, 1);
        entries[index].terminate();
        assert!(entries[index].wait(), "the entry ends without an error");
        logged += usize::from(entries[index].log().contains("calls were cut"));
        entries[index] = next;
        *shared.entries.write().unwrap() = list(&entries);
    }
    let seconds = start.elapsed().as_secs_f64();
    shared.done.store(true, Ordering::Relaxed);
    callers.into_iter().chain([balancer]).for_each(|thread| thread.join().unwrap());

    let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    let (answered, cut) = (count(&shared.answered), count(&shared.cut));
    let result = serde_json::json!({
        "bench": "shutdown",
        "holds": cut == 0 && logged == 0 && answered > 0,
        "entries": ENTRIES,
        "seconds": seconds,
        "answered": answered,
        "otherCodes": count(&shared.other),
        "cut": cut,
        "cutLogged": logged,
        "bounds": { "cut": 0 },
    });
    println!("{result}");
}

fn list(entries: &[EntryProcess]) -> Vec<(SocketAddr, SocketAddr)> {
    entries.iter().map(|entry| (entry.listen, entry.admin)).collect()
}

fn run(
    shared: &Arc<Shared>,
    work: impl FnOnce(Arc<Shared>) + Send + 'static,
) -> thread::JoinHandle<()> {
    let shared = shared.clone();
    thread::spawn(move || work(shared))
}

/// Keeps the list of ready entries.
fn watch_ready(shared: Arc<Shared>) {
    let look = async {
        while !shared.done.load(Ordering::Relaxed) {
            let entries = shared.entries.read().unwrap().clone();
            let mut ready = Vec::new();
            for (listen, admin) in entries {
                let call = Call::new(Method::GET, Uri::from_static("/ready"));
                let answer = Client::new(admin, TIMEOUT).call(&call).await;
                if answer.is_ok_and(|answer| answer.status == StatusCode::OK) {
                    ready.push(listen);
                }
            }
            *shared.ready.write().unwrap() = ready;
            monoio::time::sleep(READY_INTERVAL).await;
        }
    };
    block_on(look).unwrap();
}

fn call_on(shared: Arc<Shared>, seed: u64) {
    block_on(async {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut kept = None;
        while !shared.done.load(Ordering::Relaxed) {
            kept = call_once(&shared, &mut random, kept).await;
        }
    })
    .unwrap();
}

type Kept = Option<(SocketAddr, TargetConnection)>;

async fn call_once(shared: &Shared, random: &mut SmallRng, kept: Kept) -> Kept {
    let ready = shared.ready.read().unwrap().clone();
    // A connection to an entry that is no longer ready gets no further call.
    let kept = kept.filter(|(address, connection)| {
        ready.contains(address) && connection.is_open() && random.random_range(0..50) > 0
    });
    let (address, mut connection) = match kept {
        Some(kept) => kept,
        None => {
            let address = ready[random.random_range(0..ready.len())];
            let opened = TargetConnection::connect(address, TIMEOUT, Limits::for_responses()).await;
            let Ok(connection) = opened else {
                shared.cut.fetch_add(1, Ordering::Relaxed);
                return None;
            };
            (address, connection)
        }
    };
    let mut call = Call::new(Method::POST, Uri::from_static("/tickets/1"));
    call.set(header::WORKSPACE, "north");
    let counter = match connection.exchange(&call).await {
        Ok(answer) if answer.header(header::CODE) == Some("100") => &shared.answered,
        Ok(_) => &shared.other,
        Err(_) => &shared.cut,
    };
    counter.fetch_add(1, Ordering::Relaxed);
    connection.is_reusable().then_some((address, connection))
}
