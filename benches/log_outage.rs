//! Latency of lookups and bookings while the log is down and while it takes 2 s to respond,
//! compared with the phases of the same run without a fault.

#[path = "../tests/fixture/mod.rs"]
mod fixture;

use std::collections::{BTreeMap, HashMap};

use cornellink::edge::stand_in::hosted::{host_platform, host_targets};
use cornellink::edge::stand_in::log::LogFaults;
use cornellink::prelude::*;
use cornellink::process::runtime::block_on;
use cornellink::request::header;
use fixture::entry_cluster::{count_code, document, EntryCluster};
use fixture::publish::publish;
use hdrhistogram::Histogram;

const SEED: u64 = 22;
const ENTRIES: usize = 4;
/// Time between two lookups, and between two bookings, at each entry.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(10);
const BOOKING_INTERVAL: Duration = Duration::from_millis(25);
/// Bound on the p99 of lookups during a fault, divided by the p99 without one.
const MAX_LOOKUP_RATIO: f64 = 1.1;
/// Bound on the latency of every booking during a fault.
const MAX_BOOKING_MS: f64 = 100.0;

#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Phase {
    Down,
    /// The time after a fault until bookings run again.
    Recovery,
    Normal,
    Slow,
}

/// Each fault occurs twice, between phases without a fault, so that noise on the machine does not
/// affect only one of them.
const PHASES: [(Phase, Duration); 8] = [
    (Phase::Normal, Duration::from_secs(5)),
    (Phase::Down, Duration::from_secs(5)),
    (Phase::Normal, Duration::from_secs(5)),
    (Phase::Slow, Duration::from_secs(5)),
    (Phase::Normal, Duration::from_secs(5)),
    (Phase::Down, Duration::from_secs(5)),
    (Phase::Normal, Duration::from_secs(5)),
    (Phase::Slow, Duration::from_secs(5)),
];

struct Results {
    phase: Cell<Phase>,
    is_done: Cell<bool>,
    /// Number of the next call, which is part of its path and its idempotency key.
    next_number: Cell<u64>,
    /// Latency in microseconds by phase and by whether the call was a booking.
    latency: RefCell<BTreeMap<(Phase, bool), Histogram<u64>>>,
    /// Number of calls by result code, for the same keys.
    codes: RefCell<BTreeMap<(Phase, bool), HashMap<u16, u64>>>,
}

fn main() {
    let (platform, address) = host_platform(Duration::from_secs(3600)).unwrap();
    let (_targets, addresses) = host_targets(8, 6, Duration::from_millis(4)).unwrap();
    let (results, recoveries_ms) = block_on(async {
        publish(address, document(&[("jobs", 6, &addresses)])).await;
        let cluster = Rc::new(EntryCluster::start(ENTRIES, vec![address]));
        cluster.wait_ready().await;
        let results = Rc::new(Results {
            phase: Cell::new(Phase::Recovery),
            is_done: Cell::new(false),
            next_number: Cell::new(0),
            latency: RefCell::default(),
            codes: RefCell::default(),
        });
        wait_for_bookings(&cluster, &results).await;
        for entry in 0..ENTRIES {
            for (interval, is_booking) in [(LOOKUP_INTERVAL, false), (BOOKING_INTERVAL, true)] {
                monoio::spawn(send_calls(
                    cluster.clone(),
                    results.clone(),
                    entry,
                    interval,
                    is_booking,
                ));
            }
        }
        let mut recoveries_ms = BTreeMap::new();
        for (phase, duration) in PHASES {
            results.phase.set(phase);
            platform.with(move |platform| platform.log.set_faults(log_faults(phase)));
            monoio::time::sleep(duration).await;
            platform.with(move |platform| platform.log.set_faults(LogFaults::default()));
            if phase != Phase::Normal {
                results.phase.set(Phase::Recovery);
                let elapsed = wait_for_bookings(&cluster, &results).await;
                let slowest_ms: &mut f64 =
                    recoveries_ms.entry(format!("{phase:?}").to_lowercase()).or_default();
                *slowest_ms = slowest_ms.max(to_millis(elapsed));
            }
        }
        results.is_done.set(true);
        monoio::time::sleep(Duration::from_secs(3)).await;
        (results, recoveries_ms)
    })
    .unwrap();
    report(&results, &recoveries_ms);
}

fn log_faults(phase: Phase) -> LogFaults {
    match phase {
        Phase::Down => LogFaults { down: true, ..Default::default() },
        Phase::Normal | Phase::Recovery => LogFaults::default(),
        Phase::Slow => LogFaults { delay: Duration::from_secs(2), ..Default::default() },
    }
}

/// Sends bookings to every entry until one has been answered, and returns the time that this took.
async fn wait_for_bookings(cluster: &EntryCluster, results: &Results) -> Duration {
    let start = Instant::now();
    for entry in 0..ENTRIES {
        loop {
            let call = build_call(results, true);
            let response = cluster.client(entry).call(&call).await.ok();
            if response.as_ref().and_then(Answer::code) == Some(Code::Answered) {
                break;
            }
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    start.elapsed()
}

fn build_call(results: &Results, is_booking: bool) -> Call {
    let number = results.next_number.get();
    results.next_number.set(number + 1);
    let method = if is_booking { Method::POST } else { Method::GET };
    let mut call = Call::new(method, format!("/jobs/{number}").parse().unwrap());
    call.set_header(header::WORKSPACE, "north");
    if is_booking {
        call.set_header(header::IDEMPOTENCY_KEY, &number.to_string());
    }
    call
}

/// Sends calls at fixed intervals without waiting for the responses to earlier ones.
async fn send_calls(
    cluster: Rc<EntryCluster>,
    results: Rc<Results>,
    entry: usize,
    interval: Duration,
    is_booking: bool,
) {
    // The first calls of each entry and kind are staggered, so that calls do not arrive in bursts.
    let offset = interval.mul_f64(entry as f64 / ENTRIES as f64);
    let mut due = Instant::now() + offset;
    while !results.is_done.get() {
        let wait = due.saturating_duration_since(Instant::now());
        if !wait.is_zero() {
            monoio::time::sleep(wait).await;
        }
        let (client, results) = (cluster.client(entry), results.clone());
        let (phase, start) = (results.phase.get(), due);
        monoio::spawn(async move {
            let call = build_call(&results, is_booking);
            let response = client.call(&call).await.ok();
            let code = response.as_ref().and_then(Answer::code).unwrap_or(Code::UnknownConnection);
            let key = (phase, is_booking);
            let latency_us = start.elapsed().as_micros() as u64;
            let mut latency = results.latency.borrow_mut();
            let histogram = latency.entry(key).or_insert_with(|| Histogram::new(3).unwrap());
            histogram.record(latency_us).unwrap();
            count_code(results.codes.borrow_mut().entry(key).or_default(), code);
        });
        due += interval;
    }
}

fn to_millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}

fn report(results: &Results, recoveries_ms: &BTreeMap<String, f64>) {
    let latency = results.latency.borrow();
    let latency_ms = |phase, is_booking, quantile| {
        latency
            .get(&(phase, is_booking))
            .map_or(0.0, |histogram| histogram.value_at_quantile(quantile) as f64 / 1000.0)
    };
    let codes = |phase, is_booking| {
        let codes = results.codes.borrow();
        let codes = codes.get(&(phase, is_booking)).cloned().unwrap_or_default();
        codes.into_iter().collect::<BTreeMap<u16, u64>>()
    };
    let normal_p99_ms = latency_ms(Phase::Normal, false, 0.99);
    let mut holds = normal_p99_ms > 0.0;
    let mut faults = serde_json::Map::new();
    for (name, phase) in [("down", Phase::Down), ("slow", Phase::Slow)] {
        let lookup_ratio = latency_ms(phase, false, 0.99) / normal_p99_ms;
        let max_booking_ms = latency_ms(phase, true, 1.0);
        let lookups = codes(phase, false);
        let bookings = codes(phase, true);
        holds &= lookup_ratio <= MAX_LOOKUP_RATIO && max_booking_ms <= MAX_BOOKING_MS;
        holds &= lookups.keys().eq(&[100]) && bookings.keys().eq(&[206]);
        let result = serde_json::json!({
            "lookupP99Ms": latency_ms(phase, false, 0.99),
            "lookupFactor": lookup_ratio,
            "lookupCodes": lookups,
            "bookingP50Ms": latency_ms(phase, true, 0.5),
            "bookingMaxMs": max_booking_ms,
            "bookingCodes": bookings,
            "recoveryMs": recoveries_ms.get(name),
        });
        faults.insert(name.into(), result);
    }
    println!("seed {SEED}, {ENTRIES} entries");
    println!(
        "{}",
        serde_json::json!({
            "bench": "log_outage",
            "holds": holds,
            "normal": {
                "lookupP99Ms": normal_p99_ms,
                "bookingP50Ms": latency_ms(Phase::Normal, true, 0.5),
                "bookingP99Ms": latency_ms(Phase::Normal, true, 0.99),
                "bookingCodes": codes(Phase::Normal, true),
            },
            "faults": faults,
            "bounds": { "lookupFactor": MAX_LOOKUP_RATIO, "bookingMaxMs": MAX_BOOKING_MS,
                        "lookupCodes": 100, "bookingCodes": 206 },
        })
    );
}
