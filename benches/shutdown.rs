//! Calls that are cut during a rolling restart of all entries under load; there must be none.

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
/// Callers, each of which has its own connection and sends one call at a time.
const CALLERS: usize = 24;
/// Interval at which the readiness of the entries is polled, as the platform's balancer does it.
const READY_INTERVAL: Duration = Duration::from_millis(50);
const TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Default)]
struct Shared {
    /// Addresses for callers of the ready entries.
    ready: RwLock<Vec<SocketAddr>>,
    /// Addresses for callers and admin addresses of the entries whose readiness is polled.
    entries: RwLock<Vec<(SocketAddr, SocketAddr)>>,
    is_done: AtomicBool,
    answered: AtomicU64,
    cut: AtomicU64,
    /// Calls that ended with another code.
    other_codes: AtomicU64,
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
    *shared.entries.write().unwrap() = entry_addresses(&entries);
    let balancer = spawn_with(&shared, poll_readiness);
    while shared.ready.read().unwrap().len() < ENTRIES {
        thread::sleep(READY_INTERVAL);
    }
    let callers: Vec<_> = (0..CALLERS)
        .map(|index| spawn_with(&shared, move |shared| run_caller(shared, SEED + index as u64)))
        .collect();

    let start = Instant::now();
    let mut cut_logged = 0;
    for index in 0..ENTRIES {
        let replacement = start_entry(index, 1);
        entries[index].terminate();
        assert!(entries[index].wait(), "the entry ends without an error");
        cut_logged += usize::from(entries[index].log().contains("calls were cut"));
        entries[index] = replacement;
        *shared.entries.write().unwrap() = entry_addresses(&entries);
    }
    let seconds = start.elapsed().as_secs_f64();
    shared.is_done.store(true, Ordering::Relaxed);
    callers.into_iter().chain([balancer]).for_each(|thread| thread.join().unwrap());

    let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    let (answered, cut) = (count(&shared.answered), count(&shared.cut));
    let result = serde_json::json!({
        "bench": "shutdown",
        "holds": cut == 0 && cut_logged == 0 && answered > 0,
        "entries": ENTRIES,
        "seconds": seconds,
        "answered": answered,
        "otherCodes": count(&shared.other_codes),
        "cut": cut,
        "cutLogged": cut_logged,
        "bounds": { "cut": 0 },
    });
    println!("{result}");
}

fn entry_addresses(entries: &[EntryProcess]) -> Vec<(SocketAddr, SocketAddr)> {
    entries.iter().map(|entry| (entry.listen, entry.admin)).collect()
}

/// Starts a thread that shares the state of the run.
fn spawn_with(
    shared: &Arc<Shared>,
    work: impl FnOnce(Arc<Shared>) + Send + 'static,
) -> thread::JoinHandle<()> {
    let shared = shared.clone();
    thread::spawn(move || work(shared))
}

/// Updates the list of ready entries at regular intervals.
fn poll_readiness(shared: Arc<Shared>) {
    let poll = async {
        while !shared.is_done.load(Ordering::Relaxed) {
            let entries = shared.entries.read().unwrap().clone();
            let mut ready = Vec::new();
            for (listen, admin) in entries {
                let call = Call::new(Method::GET, Uri::from_static("/ready"));
                let response = Client::new(admin, TIMEOUT).call(&call).await;
                if response.is_ok_and(|response| response.status == StatusCode::OK) {
                    ready.push(listen);
                }
            }
            *shared.ready.write().unwrap() = ready;
            monoio::time::sleep(READY_INTERVAL).await;
        }
    };
    block_on(poll).unwrap();
}

fn run_caller(shared: Arc<Shared>, seed: u64) {
    block_on(async {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut open = None;
        while !shared.is_done.load(Ordering::Relaxed) {
            open = send_call(&shared, &mut rng, open).await;
        }
    })
    .unwrap();
}

/// The open connection of a caller and the address of its entry.
type CallerConnection = Option<(SocketAddr, TargetConnection)>;

/// Sends one call and returns the connection if the next call can use it.
async fn send_call(
    shared: &Shared,
    rng: &mut SmallRng,
    open: CallerConnection,
) -> CallerConnection {
    let ready = shared.ready.read().unwrap().clone();
    // A connection to an entry that is no longer ready is closed without a further call.
    let open = open.filter(|(address, connection)| {
        ready.contains(address) && connection.is_open() && rng.random_range(0..50) > 0
    });
    let (address, mut connection) = match open {
        Some(open) => open,
        None => {
            let address = ready[rng.random_range(0..ready.len())];
            let connected =
                TargetConnection::connect(address, TIMEOUT, Limits::for_responses()).await;
            let Ok(connection) = connected else {
                shared.cut.fetch_add(1, Ordering::Relaxed);
                return None;
            };
            (address, connection)
        }
    };
    let mut call = Call::new(Method::POST, Uri::from_static("/tickets/1"));
    call.set_header(header::WORKSPACE, "north");
    let counter = match connection.exchange(&call).await {
        Ok(response) if response.header(header::CODE) == Some("100") => &shared.answered,
        Ok(_) => &shared.other_codes,
        Err(_) => &shared.cut,
    };
    counter.fetch_add(1, Ordering::Relaxed);
    connection.is_reusable().then_some((address, connection))
}
