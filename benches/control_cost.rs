//! Cost of the control work of an entry process, and how it grows with the number of entries,
//! targets, workspaces and configuration changes.

#[path = "../tests/fixture/mod.rs"]
mod fixture;

use std::cell::Cell;
use std::fs;

use cornellink::connection::client::Client;
use cornellink::edge::log::Log;
use cornellink::edge::stand_in::host::Host;
use cornellink::edge::stand_in::hosted::{host_platform, host_targets};
use cornellink::edge::stand_in::service::PlatformService;
use cornellink::edge::vms::{Vm, VmRole};
use cornellink::prelude::*;
use cornellink::process::runtime::block_on;
use cornellink::request::header;
use cornellink::version::record::{ConfigRecord, PublishRecord, STREAM};
use fixture::entry_process::EntryProcess;
use fixture::free_address;
use fixture::keys::{peers_section, Keys};

/// Seed printed first, as by other benchmarks; this one draws no random numbers.
const SEED: u64 = 7;
/// Rate of calls through each entry.
const CALLS_PER_SECOND: u64 = 100;
/// Duration of the measurement of one size.
const MEASUREMENT_DURATION: Duration = Duration::from_secs(3);
/// Time between the start of the calls and the measurement, in which the entries connect to all
/// targets.
const SETTLE_DURATION: Duration = Duration::from_millis(1300);
const DOMAINS: [&str; 3] = ["a", "b", "c"];
/// Timeout of each call that the benchmark sends.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
// Bounds from section 1 of `docs/design.md`, for each entry.
/// Bound on the share of a core without the work for calls.
const MAX_CONTROL_CORE_SHARE: f64 = 0.032;
const MAX_MEGABYTES: f64 = 64.0;
const MAX_BYTES_PER_SECOND: f64 = 10_000.0;

/// Size of a cluster and its load; its `Debug` text is printed.
#[derive(Clone, Copy, Debug)]
struct Size {
    entries: usize,
    targets: usize,
    workspaces: usize,
    /// Published revisions per second.
    changes: u64,
    has_peers: bool,
    has_calls: bool,
}

const BASE_SIZE: Size =
    Size { entries: 4, targets: 28, workspaces: 4, changes: 0, has_peers: true, has_calls: true };

/// Average resource usage of one entry, or the counters behind it, summed over all entries; its
/// `Debug` text is printed.
#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    /// Share of a core; as a sum of counters, seconds of run time.
    core: f64,
    megabytes: f64,
    /// Bytes per second on the peer socket in both directions, with the headers of UDP and IPv4.
    bytes: f64,
    /// Datagrams per second on the peer socket in both directions.
    datagrams: f64,
    /// Load reports per second that are sent to peers.
    hints: f64,
}

fn main() {
    println!("seed {SEED}");
    let idle = measure(Size { has_peers: false, has_calls: false, ..BASE_SIZE });
    let without_peers = measure(Size { has_peers: false, ..BASE_SIZE });
    let core_per_call = (without_peers.core - idle.core) / CALLS_PER_SECOND as f64;
    let base = measure(BASE_SIZE);
    let costs_by_entries = [
        base,
        measure(Size { entries: 8, ..BASE_SIZE }),
        measure(Size { entries: 16, ..BASE_SIZE }),
    ];
    let costs_by_targets = [
        base,
        measure(Size { targets: 56, ..BASE_SIZE }),
        measure(Size { targets: 112, ..BASE_SIZE }),
    ];
    let costs_by_workspaces = [
        base,
        measure(Size { workspaces: 64, ..BASE_SIZE }),
        measure(Size { workspaces: 1024, ..BASE_SIZE }),
    ];
    let costs_by_changes = [
        base,
        measure(Size { changes: 1, ..BASE_SIZE }),
        measure(Size { changes: 4, ..BASE_SIZE }),
    ];

    let all = [costs_by_entries, costs_by_targets, costs_by_workspaces, costs_by_changes].concat();
    let control_core = |cost: &Cost| cost.core - core_per_call * CALLS_PER_SECOND as f64;
    let max_core = all.iter().map(control_core).fold(0.0, f64::max);
    let max_megabytes = all.iter().map(|cost| cost.megabytes).fold(0.0, f64::max);
    let max_bytes = all.iter().map(|cost| cost.bytes).fold(0.0, f64::max);
    let result = serde_json::json!({
        "bench": "control_cost",
        "holds": max_core <= MAX_CONTROL_CORE_SHARE
            && max_megabytes <= MAX_MEGABYTES
            && max_bytes <= MAX_BYTES_PER_SECOND,
        "core": max_core, "maxCore": MAX_CONTROL_CORE_SHARE,
        "megabytes": max_megabytes, "maxMegabytes": MAX_MEGABYTES,
        "bytesPerSecond": max_bytes, "maxBytesPerSecond": MAX_BYTES_PER_SECOND,
        "corePerCall": core_per_call,
        "corePerIdleEntry": idle.core,
        "perEntry": slopes(&[4.0, 8.0, 16.0], &costs_by_entries),
        "perTarget": slopes(&[28.0, 56.0, 112.0], &costs_by_targets),
        "perWorkspace": slopes(&[4.0, 64.0, 1024.0], &costs_by_workspaces),
        "perChangePerSecond": slopes(&[0.0, 1.0, 4.0], &costs_by_changes),
        "documentBytes": document(&[SocketAddr::from(([127, 0, 0, 1], 10_000)); 28], 4).len(),
    });
    println!("{result}");
}

/// Increase of each cost per unit of size.
fn slopes(sizes: &[f64], costs: &[Cost]) -> serde_json::Value {
    let slope_of =
        |value: fn(&Cost) -> f64| slope(sizes, &costs.iter().map(value).collect::<Vec<_>>());
    serde_json::json!({
        "bytesPerSecond": slope_of(|cost| cost.bytes),
        "core": slope_of(|cost| cost.core),
        "datagramsPerSecond": slope_of(|cost| cost.datagrams),
        "megabytes": slope_of(|cost| cost.megabytes),
    })
}

/// Slope of the least-squares line through the points.
fn slope(x: &[f64], y: &[f64]) -> f64 {
    let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len() as f64;
    let (mean_x, mean_y) = (mean(x), mean(y));
    let pairs = || x.iter().zip(y).map(|(x, y)| (x - mean_x, y - mean_y));
    pairs().map(|(x, y)| x * y).sum::<f64>() / pairs().map(|(x, _)| x * x).sum::<f64>()
}

/// Starts a cluster of one size and measures the average cost of its entries.
fn measure(size: Size) -> Cost {
    // The platform keeps the records of its log for an hour.
    let (platform, platform_address) =
        host_platform(Duration::from_secs(3600)).expect("the platform starts");
    let (_target_host, target_addresses) =
        host_targets(size.targets, 3, Duration::from_millis(1)).expect("the targets start");
    publish(&platform, 0, &target_addresses, size.workspaces);
    let keys = Keys::new();
    // Name, failure domain and peer address of each entry.
    let entry_specs: Vec<(String, &str, SocketAddr)> = (0..size.entries)
        .map(|index| (format!("control-{index}"), DOMAINS[index % DOMAINS.len()], free_address()))
        .collect();
    let vm = |(_, domain, address): &(String, &str, SocketAddr)| Vm {
        address: *address,
        domain: (*domain).into(),
        role: VmRole::Entry,
        draining: false,
    };
    let vms: Vec<Vm> = entry_specs.iter().map(vm).collect();
    platform.with(move |service| service.set_vms(vms));
    let start = |(name, domain, peer_address): &(String, &str, SocketAddr)| {
        let peers = size.has_peers.then(|| keys.settings(name, *peer_address, &[]));
        EntryProcess::start_with(name, domain, platform_address, peers_section(peers.as_ref()))
    };
    let entries: Vec<EntryProcess> = entry_specs.iter().map(start).collect();
    let cost = block_on(measure_entries(size, &entries, &platform, &target_addresses))
        .expect("the runtime starts");
    println!("{size:?} {cost:?}");
    cost
}

/// Measures the average cost of running entries while calls are sent and documents published.
async fn measure_entries(
    size: Size,
    entries: &[EntryProcess],
    platform: &Host<Rc<PlatformService>>,
    target_addresses: &[SocketAddr],
) -> Cost {
    for entry in entries {
        wait_ready(entry, size.has_peers).await;
    }
    let is_done = Rc::new(Cell::new(false));
    let callers = entries.iter().filter(|_| size.has_calls);
    let callers = callers
        .map(|entry| monoio::spawn(send_calls(entry.listen, size.workspaces, is_done.clone())));
    let callers: Vec<_> = callers.collect();
    monoio::time::sleep(SETTLE_DURATION).await;
    let before = read_counters(entries).await;
    let start = Instant::now();
    let mut published = 0;
    while start.elapsed() < MEASUREMENT_DURATION {
        // Publishes on a schedule, `size.changes` documents per second. The document published
        // before the measurement is revision 1, so the increased count is the newest revision.
        if published < start.elapsed().as_millis() as u64 * size.changes / 1000 {
            published += 1;
            publish(platform, published, target_addresses, size.workspaces);
        }
        monoio::time::sleep(Duration::from_millis(5)).await;
    }
    let after = read_counters(entries).await;
    let seconds = start.elapsed().as_secs_f64();
    is_done.set(true);
    for caller in callers {
        caller.await;
    }
    let entry_seconds = seconds * entries.len() as f64;
    Cost {
        core: (after.core - before.core) / entry_seconds,
        megabytes: after.megabytes / entries.len() as f64,
        bytes: (after.bytes - before.bytes) / entry_seconds,
        datagrams: (after.datagrams - before.datagrams) / entry_seconds,
        hints: (after.hints - before.hints) / entry_seconds,
    }
}

/// Sums the counters of all entries.
async fn read_counters(entries: &[EntryProcess]) -> Cost {
    let mut sum = Cost::default();
    for entry in entries {
        let metrics = get(entry.admin, "/metrics").await;
        let metrics = String::from_utf8_lossy(&metrics).into_owned();
        sum.bytes += sum_metric(&metrics, "cornellink_peer_bytes_total");
        sum.datagrams += sum_metric(&metrics, "cornellink_peer_datagrams_total");
        sum.hints += sum_metric(&metrics, "cornellink_peer_hints_total");
        let read_proc_file = |file: &str| {
            fs::read_to_string(format!("/proc/{}/{file}", entry.id())).expect("the entry runs")
        };
        let schedstat = read_proc_file("schedstat");
        let run_time_ns = schedstat.split(' ').next().and_then(|text| text.parse::<f64>().ok());
        sum.core += run_time_ns.expect("the kernel counts run time") / 1e9;
        let status = read_proc_file("status");
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kibibytes =
            resident.and_then(|line| line.trim().strip_suffix(" kB")?.parse::<f64>().ok());
        sum.megabytes += kibibytes.expect("the kernel reports memory") * 1024.0 / 1e6;
    }
    sum
}

/// Sum of a metric over all its labels.
fn sum_metric(metrics: &str, name: &str) -> f64 {
    let lines = metrics.lines().filter(|line| line.starts_with(name));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}

async fn get(address: SocketAddr, path: &'static str) -> Bytes {
    let call = Call::new(Method::GET, Uri::from_static(path));
    let response = Client::new(address, CALL_TIMEOUT).call(&call).await;
    response.map(|response| response.body).unwrap_or_default()
}

/// Waits until an entry has a document and, with peers, at least two connections to them.
async fn wait_ready(entry: &EntryProcess, has_peers: bool) {
    loop {
        let status = get(entry.admin, "/status").await;
        let status: serde_json::Value = serde_json::from_slice(&status).unwrap_or_default();
        let peers = status.pointer("/peers/connected").and_then(|peers| peers.as_array());
        let is_connected = peers.is_some_and(|peers| peers.len() >= 2);
        if status["revision"].is_u64() && (is_connected || !has_peers) {
            return;
        }
        monoio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Sends calls through one entry at a fixed rate, with a client that reuses its connections.
async fn send_calls(entry: SocketAddr, workspaces: usize, is_done: Rc<Cell<bool>>) {
    let client = Rc::new(Client::new(entry, CALL_TIMEOUT));
    let interval = Duration::from_millis(1000 / CALLS_PER_SECOND);
    let mut due = Instant::now();
    let mut number = 0;
    while !is_done.get() {
        number += 1;
        let mut call = Call::new(Method::GET, Uri::from_static("/tickets/7"));
        call.set_header(header::WORKSPACE, &format!("w{}", number % workspaces));
        let client = client.clone();
        monoio::spawn(async move {
            let _ = client.call(&call).await;
        });
        due += interval;
        monoio::time::sleep_until(due.into()).await;
    }
}

fn publish(
    platform: &Host<Rc<PlatformService>>,
    replaces: u64,
    target_addresses: &[SocketAddr],
    workspaces: usize,
) {
    let record = ConfigRecord::Publish(PublishRecord {
        format: 1,
        environment: "trial".into(),
        author: "bench".into(),
        nonce: replaces + 1,
        replaces,
        text: document(target_addresses, workspaces),
    });
    let record = record.encode();
    platform.with(move |service| {
        let log = service.log.clone();
        monoio::spawn(async move { log.append(STREAM, vec![record]).await });
    });
}

fn document(target_addresses: &[SocketAddr], workspaces: usize) -> String {
    let indexed = target_addresses.iter().enumerate();
    let targets = indexed.map(|(index, address)| {
        serde_json::json!({ "address": address, "domain": DOMAINS[index % DOMAINS.len()] })
    });
    let workspaces = (0..workspaces).map(|index| {
        serde_json::json!({ "name": format!("w{index}"), "weight": 1, "retryPercent": 10.0 })
    });
    let document = serde_json::json!({
        "format": 1,
        "environment": "trial",
        "maxEntries": 16,
        "workspaces": workspaces.collect::<Vec<_>>(),
        "services": [{
            "name": "tickets", "prefix": "/tickets", "policy": "round_robin", "slots": 3,
            "connections": 200, "queue": 100, "probePercent": 1.0, "probeCostMs": 6,
            "classes": [{ "name": "lookup", "methods": ["GET"], "prefix": "/",
                          "deadlineMs": 1000, "idempotent": true }],
            "targets": targets.collect::<Vec<_>>(),
        }],
    });
    document.to_string()
}
