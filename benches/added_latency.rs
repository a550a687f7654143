//! Latency that one entry adds at 2,000 calls/s, and its calls/s for each core at saturation.

#[path = "../tests/fixture/mod.rs"]
mod fixture;

use std::fs;
use std::thread;
use std::time::{Duration, Instant};

use cornellink::connection::limits::Limits;
use cornellink::connection::target::TargetConnection;
use cornellink::edge::stand_in::hosted::host_targets;
use cornellink::load::send::{send, SendOptions};
use cornellink::load::trace::TraceCall;
use cornellink::prelude::*;
use cornellink::process::runtime::block_on;
use cornellink::request::header;
use fixture::entry_process::EntryProcess;
use fixture::served::Published;
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SEED: u64 = 11;
const RATE: f64 = 2000.0;
/// Length of one segment; direct and through the entry take turns, so that a disturbance of the
/// machine meets both.
const SEGMENT_SECONDS: f64 = 4.0;
const SEGMENTS: usize = 4;
/// Bound on the latency added at p99 in microseconds.
const BOUND_US: i64 = 1700;
/// Largest p99 of the direct calls that can show the bound; on a busy machine the difference of two
/// large quantiles says nothing.
const MAX_DIRECT_US: i64 = 3 * BOUND_US;
const SATURATION: Duration = Duration::from_secs(6);
const SENDERS: usize = 3;
const CONNECTIONS: usize = 24;
const TIMEOUT: Duration = Duration::from_secs(5);
/// Clock ticks in a second, as `/proc` counts processor time.
const TICKS: f64 = 100.0;

fn main() {
    println!("seed: {SEED}");
    let (_first, mut addresses) = host_targets(2, 64, Duration::ZERO).unwrap();
    let (_second, others) = host_targets(2, 64, Duration::ZERO).unwrap();
    addresses.extend(others);
    let published = Published::new(&addresses);
    let entry = published.entry("added-latency", serde_json::json!({}));
    let mut direct = histogram();
    let mut through = histogram();
    let mut failed = 0;
    for segment in 0..SEGMENTS {
        let trace = trace(SEED + segment as u64);
        failed += measure(&trace, addresses.clone(), false, &mut direct);
        failed += measure(&trace, vec![entry.listen], true, &mut through);
    }
    let resident = entry.resident_kib();
    let (rate, per_core) = saturate(&entry);
    let at = |histogram: &Histogram<u64>, quantile| histogram.value_at_quantile(quantile) as i64;
    let added = |quantile| at(&through, quantile) - at(&direct, quantile);
    let valid = at(&direct, 0.99) <= MAX_DIRECT_US;
    let result = serde_json::json!({
        "bench": "added_latency",
        "holds": valid && added(0.99) <= BOUND_US && failed == 0,
        "baselineValid": valid,
        "callsPerSecond": RATE,
        "calls": through.len(),
        "failed": failed,
        "directP50Us": at(&direct, 0.5),
        "directP99Us": at(&direct, 0.99),
        "throughP50Us": at(&through, 0.5),
        "throughP99Us": at(&through, 0.99),
        "addedP50Us": added(0.5),
        "addedP99Us": added(0.99),
        "saturationCallsPerSecond": rate as u64,
        "callsPerCoreSecond": per_core as u64,
        "residentKib": resident,
        "residentAfterKib": entry.resident_kib(),
        "bounds": { "addedP99Us": BOUND_US, "failed": 0 },
    });
    println!("{result}");
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are a valid precision")
}

fn trace(seed: u64) -> Vec<TraceCall> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut at = 0.0;
    let mut calls = Vec::new();
    while at < SEGMENT_SECONDS {
        calls.push(TraceCall {
            at_us: (at * 1e6) as u64,
            workspace: "north".into(),
            service: "tickets".into(),
            class: "lookup".into(),
            method: "GET".into(),
            path: format!("/tickets/{}", calls.len()),
            key: None,
            bytes: 0,
            service_us: 0,
        });
        at += -(1.0 - random.random::<f64>()).ln() / RATE;
    }
    calls
}

/// Sends a trace and returns the number of calls without a right answer.
fn measure(
    trace: &[TraceCall],
    entries: Vec<SocketAddr>,
    has_codes: bool,
    latency: &mut Histogram<u64>,
) -> usize {
    let aim = SendOptions { entries, speed: 1.0 };
    let ended = block_on(send(trace, aim)).unwrap().unwrap();
    for call in &ended {
        latency.record(call.latency.as_micros() as u64).unwrap();
    }
    let is_right = |code| !has_codes || code == Some(Code::Answered);
    ended.iter().filter(|call| call.is_wrong || !is_right(call.code)).count()
}

/// Calls/s of the entry with many callers, and calls for each second of its processor time.
fn saturate(entry: &EntryProcess) -> (f64, f64) {
    let (listen, start, used) = (entry.listen, Instant::now(), processor_seconds(entry));
    let work = move || block_on(send_until(listen, start + SATURATION)).unwrap();
    let senders: Vec<_> = (0..SENDERS).map(|_| thread::spawn(work)).collect();
    let calls: u64 = senders.into_iter().map(|sender| sender.join().unwrap()).sum();
    let seconds = start.elapsed().as_secs_f64();
    (calls as f64 / seconds, calls as f64 / (processor_seconds(entry) - used))
}

async fn send_until(entry: SocketAddr, end: Instant) -> u64 {
    let callers = (0..CONNECTIONS).map(|_| {
        monoio::spawn(async move {
            let connection = TargetConnection::connect(entry, TIMEOUT, Limits::for_answers());
            let mut connection = connection.await.unwrap();
            let mut call = Call::new(Method::GET, Uri::from_static("/tickets/1"));
            call.set(header::WORKSPACE, "north");
            let mut calls = 0;
            while Instant::now() < end {
                let answer = connection.exchange(&call).await.unwrap();
                calls += u64::from(answer.header(header::CODE) == Some("100"));
            }
            calls
        })
    });
    let mut calls = 0;
    for caller in callers.collect::<Vec<_>>() {
        calls += caller.await;
    }
    calls
}

fn processor_seconds(entry: &EntryProcess) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{}/stat", entry.id())).unwrap();
    let fields = stat.rsplit(')').next().unwrap().split_whitespace();
    // User and system time are the fields 14 and 15; the name before them was field 2.
    let ticks: f64 = fields.skip(11).take(2).map(|field| field.parse::<f64>().unwrap()).sum();
    ticks / TICKS
}
