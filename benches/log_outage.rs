//! Lookups and bookings while the log is down and while it takes 2 s to respond, against the same
//! run's phases without a fault.

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
/// Bounds of the page.
const LOOKUP_FACTOR: f64 = 1.1;
const BOOKING_LIMIT_MS: f64 = 100.0;

#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Phase {
    Down,
    /// The time after a fault until bookings run again.
    Recovery,
    Normal,
    Slow,
}

/// Each fault comes twice between phases without one, so that a disturbance of the machine does
/// not fall on one of them only.
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
    is_over: Cell<bool>,
    numbers: Cell<u64>,
    /// Latency in microseconds by phase and by whether the call was a booking.
    latency: RefCell<BTreeMap<(Phase, bool), Histogram<u64>>>,
    codes: RefCell<BTreeMap<(Phase, bool), HashMap<u16, u64>>>,
}

fn main() {
    let (platform, address) = host_platform(Duration::from_secs(3600)).unwrap();
    let (_targets, addresses) = host_targets(8, 6, Duration::from_millis(4)).unwrap();
    let (results, recoveries) = block_on(async {
        publish(address, document(&[("jobs", 6, &addresses)])).await;
        let cluster = Rc::new(EntryCluster::start(ENTRIES, vec![address]));
        cluster.wait_ready().await;
        let results = Rc::new(Results {
            phase: Cell::new(Phase::Recovery),
            is_over: Cell::new(false),
            numbers: Cell::new(0),
            latency: RefCell::default(),
            codes: RefCell::default(),
        });
        until_normal(&cluster, &results).await;
        for entry in 0..ENTRIES {
            for (interval, is_booking) in [(LOOKUP_INTERVAL, false), (BOOKING_INTERVAL, true)] {
                monoio::spawn(send_all(
                    cluster.clone(),
                    results.clone(),
                    entry,
                    interval,
                    is_booking,
                ));
            }
        }
        let mut recoveries = BTreeMap::new();
        for (phase, span) in PHASES {
            results.phase.set(phase);
            platform.with(move |platform| platform.log.set_faults(faults(phase)));
            monoio::time::sleep(span).await;
            platform.with(move |platform| platform.log.set_faults(LogFaults::default()));
            if phase != Phase::Normal {
                results.phase.set(Phase::Recovery);
                let time = until_normal(&cluster, &results).await;
                let slowest: &mut f64 =
                    recoveries.entry(format!("{phase:?}").to_lowercase()).or_default();
                *slowest = slowest.max(millis(time));
            }
        }
        results.is_over.set(true);
        monoio::time::sleep(Duration::from_secs(3)).await;
        (results, recoveries)
    })
    .unwrap();
    report(&results, &recoveries);
}

fn faults(phase: Phase) -> LogFaults {
    match phase {
        Phase::Down => LogFaults { down: true, ..Default::default() },
        Phase::Normal | Phase::Recovery => LogFaults::default(),
        Phase::Slow => LogFaults { delay: Duration::from_secs(2), ..Default::default() },
    }
}

/// Sends bookings to all entries until each has run one, and returns the time.
async fn until_normal(cluster: &EntryCluster, results: &Results) -> Duration {
    let start = Instant::now();
    for entry in 0..ENTRIES {
        loop {
            let call = build(results, true);
            let answer = cluster.client(entry).call(&call).await.ok();
            if answer.as_ref().and_then(Answer::code) == Some(Code::Answered) {
                break;
            }
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    start.elapsed()
}

fn build(results: &Results, is_booking: bool) -> Call {
    let number = results.numbers.get();
    results.numbers.set(number + 1);
    let method = if is_booking { Method::POST } else { Method::GET };
    let mut call = Call::new(method, format!("/jobs/{number}").parse().unwrap());
    call.set(header::WORKSPACE, "north");
    if is_booking {
        call.set(header::IDEMPOTENCY_KEY, &number.to_string());
    }
    call
}

/// Sends calls at fixed times, whether or not earlier ones have been answered.
async fn send_all(
    cluster: Rc<EntryCluster>,
    results: Rc<Results>,
    entry: usize,
    interval: Duration,
    is_booking: bool,
) {
    // Entries and kinds of calls start at different times, so that calls do not come in bursts.
    let shift = interval.mul_f64(entry as f64 / ENTRIES as f64);
    let mut due = Instant::now() + shift;
    while !results.is_over.get() {
        let wait = due.saturating_duration_since(Instant::now());
        if !wait.is_zero() {
            monoio::time::sleep(wait).await;
        }
        let (client, results) = (cluster.client(entry), results.clone());
        let (phase, start) = (results.phase.get(), due);
        monoio::spawn(async move {
            let call = build(&results, is_booking);
            let answer = client.call(&call).await.ok();
            let code = answer.as_ref().and_then(Answer::code).unwrap_or(Code::UnknownConnection);
            let key = (phase, is_booking);
            let elapsed = start.elapsed().as_micros() as u64;
            let mut latency = results.latency.borrow_mut();
            let histogram = latency.entry(key).or_insert_with(|| Histogram::new(3).unwrap());
            histogram.record(elapsed).unwrap();
            count_code(results.codes.borrow_mut().entry(key).or_default(), code);
        });
        due += interval;
    }
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1000.0
}

fn report(results: &Results, recoveries: &BTreeMap<String, f64>) {
    let latency = results.latency.borrow();
    let at = |phase, is_booking, quantile| {
        latency
            .get(&(phase, is_booking))
            .map_or(0.0, |histogram| histogram.value_at_quantile(quantile) as f64 / 1000.0)
    };
    let codes = |phase, is_booking| {
        let codes = results.codes.borrow();
        let codes = codes.get(&(phase, is_booking)).cloned().unwrap_or_default();
        codes.into_iter().collect::<BTreeMap<u16, u64>>()
    };
    let normal = at(Phase::Normal, false, 0.99);
    let mut holds = normal > 0.0;
    let mut faults = serde_json::Map::new();
    for (name, phase) in [("down", Phase::Down), ("slow", Phase::Slow)] {
        let factor = at(phase, false, 0.99) / normal;
        let slowest = at(phase, true, 1.0);
        let lookups = codes(phase, false);
        let bookings = codes(phase, true);
        holds &= factor <= LOOKUP_FACTOR && slowest <= BOOKING_LIMIT_MS;
        holds &= lookups.keys().eq(&[100]) && bookings.keys().eq(&[206]);
        let result = serde_json::json!({
            "lookupP99Ms": at(phase, false, 0.99),
            "lookupFactor": factor,
            "lookupCodes": lookups,
            "bookingP50Ms": at(phase, true, 0.5),
            "bookingMaxMs": slowest,
            "bookingCodes": bookings,
            "recoveryMs": recoveries.get(name),
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
                "lookupP99Ms": normal,
                "bookingP50Ms": at(Phase::Normal, true, 0.5),
                "bookingP99Ms": at(Phase::Normal, true, 0.99),
                "bookingCodes": codes(Phase::Normal, true),
            },
            "faults": faults,
            "bounds": { "lookupFactor": LOOKUP_FACTOR, "bookingMaxMs": BOOKING_LIMIT_MS,
                        "lookupCodes": 100, "bookingCodes": 206 },
        })
    );
}
