//! Latency that one entry adds at 2,000 calls/s, and its throughput per core at saturation.

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
const CALLS_PER_SECOND: f64 = 2000.0;
/// Length of one segment. Segments with direct calls and with calls through the entry alternate, so
/// that noise on the machine affects both.
const SEGMENT_SECONDS: f64 = 4.0;
const SEGMENTS: usize = 4;
/// Bound on the difference between the p99 of calls through the entry and of direct calls.
const MAX_ADDED_P99_US: i64 = 1700;
/// Largest p99 of direct calls with which the result is valid: on a busy machine, the difference of
/// two large quantiles is meaningless.
const MAX_DIRECT_P99_US: i64 = 3 * MAX_ADDED_P99_US;
const SATURATION_DURATION: Duration = Duration::from_secs(6);
const SENDER_THREADS: usize = 3;
const CONNECTIONS_PER_SENDER: usize = 24;
const TIMEOUT: Duration = Duration::from_secs(5);
/// Unit of the CPU times in `/proc/PID/stat`.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

fn main() {
    println!("seed: {SEED}");
    let (_first_host, mut addresses) = host_targets(2, 64, Duration::ZERO).unwrap();
    let (_second_host, second_addresses) = host_targets(2, 64, Duration::ZERO).unwrap();
    addresses.extend(second_addresses);
    let published = Published::new(&addresses);
    let entry = published.entry("added-latency", serde_json::json!({}));
    let mut direct = new_histogram();
    let mut proxied = new_histogram();
    let mut failed = 0;
    for segment in 0..SEGMENTS {
        let trace = poisson_trace(SEED + segment as u64);
        failed += measure(&trace, addresses.clone(), false, &mut direct);
        failed += measure(&trace, vec![entry.listen], true, &mut proxied);
    }
    let resident_kib = entry.resident_kib();
    let (calls_per_second, calls_per_core) = measure_saturation(&entry);
    let quantile_us =
        |latency: &Histogram<u64>, quantile| latency.value_at_quantile(quantile) as i64;
    let added_us = |quantile| quantile_us(&proxied, quantile) - quantile_us(&direct, quantile);
    let is_baseline_valid = quantile_us(&direct, 0.99) <= MAX_DIRECT_P99_US;
    let result = serde_json::json!({
        "bench": "added_latency",
        "holds": is_baseline_valid && added_us(0.99) <= MAX_ADDED_P99_US && failed == 0,
        "baselineValid": is_baseline_valid,
        "callsPerSecond": CALLS_PER_SECOND,
        "calls": proxied.len(),
        "failed": failed,
        "directP50Us": quantile_us(&direct, 0.5),
        "directP99Us": quantile_us(&direct, 0.99),
        "throughP50Us": quantile_us(&proxied, 0.5),
        "throughP99Us": quantile_us(&proxied, 0.99),
        "addedP50Us": added_us(0.5),
        "addedP99Us": added_us(0.99),
        "saturationCallsPerSecond": calls_per_second as u64,
        "callsPerCoreSecond": calls_per_core as u64,
        "residentKib": resident_kib,
        "residentAfterKib": entry.resident_kib(),
        "bounds": { "addedP99Us": MAX_ADDED_P99_US, "failed": 0 },
    });
    println!("{result}");
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are a valid precision")
}

/// Calls of one segment, which arrive as a Poisson process.
fn poisson_trace(seed: u64) -> Vec<TraceCall> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut at_seconds = 0.0;
    let mut calls = Vec::new();
    while at_seconds < SEGMENT_SECONDS {
        calls.push(TraceCall {
            at_us: (at_seconds * 1e6) as u64,
            workspace: "north".into(),
            service: "tickets".into(),
            class: "lookup".into(),
            method: "GET".into(),
            path: format!("/tickets/{}", calls.len()),
            key: None,
            bytes: 0,
            service_us: 0,
        });
        at_seconds += -(1.0 - rng.random::<f64>()).ln() / CALLS_PER_SECOND;
    }
    calls
}

/// Sends a trace, records the latencies and returns the number of failed calls.
///
/// `has_codes` states whether responses carry a result code, as those of an entry do.
fn measure(
    trace: &[TraceCall],
    entries: Vec<SocketAddr>,
    has_codes: bool,
    latency: &mut Histogram<u64>,
) -> usize {
    let aim = SendOptions { entries, speed: 1.0 };
    let completed = block_on(send(trace, aim)).unwrap().unwrap();
    for call in &completed {
        latency.record(call.latency.as_micros() as u64).unwrap();
    }
    let is_answered = |code| !has_codes || code == Some(Code::Answered);
    completed.iter().filter(|call| call.is_wrong || !is_answered(call.code)).count()
}

/// Returns the calls per second of the entry with many callers, and the calls per second of its CPU
/// time.
fn measure_saturation(entry: &EntryProcess) -> (f64, f64) {
    let (listen, start, cpu_before) = (entry.listen, Instant::now(), cpu_seconds(entry));
    let send_calls = move || block_on(send_until(listen, start + SATURATION_DURATION)).unwrap();
    let senders: Vec<_> = (0..SENDER_THREADS).map(|_| thread::spawn(send_calls)).collect();
    let calls: u64 = senders.into_iter().map(|sender| sender.join().unwrap()).sum();
    let seconds = start.elapsed().as_secs_f64();
    (calls as f64 / seconds, calls as f64 / (cpu_seconds(entry) - cpu_before))
}

async fn send_until(entry: SocketAddr, end: Instant) -> u64 {
    let callers = (0..CONNECTIONS_PER_SENDER).map(|_| {
        monoio::spawn(async move {
            let connection = TargetConnection::connect(entry, TIMEOUT, Limits::for_responses());
            let mut connection = connection.await.unwrap();
            let mut call = Call::new(Method::GET, Uri::from_static("/tickets/1"));
            call.set_header(header::WORKSPACE, "north");
            let mut calls = 0;
            while Instant::now() < end {
                let response = connection.exchange(&call).await.unwrap();
                calls += u64::from(response.header(header::CODE) == Some("100"));
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

fn cpu_seconds(entry: &EntryProcess) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{}/stat", entry.id())).unwrap();
    let fields = stat.rsplit(')').next().unwrap().split_whitespace();
    // User and system time are fields 14 and 15; the process name, which ends at `)`, is field 2.
    let ticks: f64 = fields.skip(11).take(2).map(|field| field.parse::<f64>().unwrap()).sum();
    ticks / CLOCK_TICKS_PER_SECOND
}
