//! A booking that a gateway reads more than 3 s after its SIGTERM is cut without an answer.

#[path = "stand_ins.rs"]
#[allow(dead_code)]
mod lib;

use std::io::Write;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use lib::{sleep_until, Folder, Gateway, Instance, Machine, Message, Record, Rotation, Route, Store, Work, MS};

/// Bounds and figures of `aec-gateway-grown`.
const GRACE: Duration = Duration::from_secs(6);
const TIMEOUT: Duration = Duration::from_secs(3);
const DEADLINE: Duration = Duration::from_secs(6);
/// Requests that were sent no later than this after the SIGTERM are excused if their instance is
/// still at work in the last sixth of the grace period.
const EXCUSED: Duration = Duration::from_secs(3);
/// Work on most bookings and on a long one (mean 420 ms, at most 4,500 ms in the site file).
const SHORT_WORK: Duration = Duration::from_millis(150);
const LONG_WORK: Duration = Duration::from_millis(2800);
/// How long a pooled connection is open before its first request.
const POOLED: Duration = Duration::from_millis(450);
const GATEWAYS: usize = 5;
/// Gateways that are stopped at the same time (`roll_term`: `x = 5.0` at a time at most).
const STOPPED: usize = 3;

#[derive(Debug, PartialEq)]
enum End {
    Answered(u16, bool),
    Closed,
    NotConnected,
    TimedOut,
}

struct Sent {
    id: String,
    node: usize,
    sent: Instant,
    ended: Instant,
    end: End,
}

fn main() {
    let path = std::env::args().nth(1).expect("the path of the record");
    let record = Record::create(&path);
    let code = play(&record);
    std::process::exit(code);
}

fn play(record: &Record) -> i32 {
    let trouble = lib::has_trouble();
    let (folder, network) = (Folder::create(), lib::network());
    let store = Store::start(Ipv4Addr::new(127, network, 200, 1));
    let route = Route { name: "r-booking".into(), prefix: "/booking/".into(), kind: "unsafe", timeout_ms: TIMEOUT.as_millis() as u32, service: "reservas" };
    store.put("keyed.op", "config", &lib::config(5, &[route], &["reservas"], 1220));
    let work: Work = Arc::new(|request| if request.second().ends_with("/long") { LONG_WORK } else { SHORT_WORK });
    for index in 0..12u8 {
        let ip = Ipv4Addr::new(127, network, 100, index + 1);
        Instance::start(&format!("i-{index:02}"), "reservas", "tudela", 6, ip, work.clone(), record).register(&store);
    }
    let mut gateways: Vec<Gateway> = (0..GATEWAYS)
        .map(|index| {
            let machine = Machine {
                name: format!("front-tudela-{}", index + 1),
                zone: "tudela".into(),
                ip: Ipv4Addr::new(127, network, 1, index as u8 + 1),
                grace_s: GRACE.as_secs() as u32,
                memory_mb: 160,
                probes_per_s: 42,
                retry_slack: 222,
            };
            Gateway::start(&machine, store.address, &[], &folder.0)
        })
        .collect();
    if !lib::wait_ready(&gateways, 20_000 * MS) {
        record.say("the gateways did not become ready");
        return 2;
    }
    let rotation = Rotation::start(&gateways);
    thread::sleep(3000 * MS);
    let fronts: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.front).collect();
    let results: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let start = Instant::now();
    let stop = start + 2000 * MS;
    // Clients that send at once, all the while, and clients that open a connection ahead of use.
    let mut clients = Vec::new();
    let mut plan: Vec<(Instant, Duration, &str)> = (0..100).map(|n| (start + n * 100 * MS, Duration::ZERO, "short")).collect();
    plan.extend((0..45).map(|n| (stop + 1900 * MS + n * 20 * MS, POOLED, "long")));
    for (number, (at, held, kind)) in plan.into_iter().enumerate() {
        let (rotation, fronts, results, record) = (rotation.clone(), fronts.clone(), results.clone(), record.clone());
        clients.push(thread::spawn(move || {
            sleep_until(at);
            // The platform picks the node by a hash of the client.
            let hash = number.wrapping_mul(2_654_435_761) >> 7;
            let Some(node) = (0..GATEWAYS).map(|step| (hash + step) % GATEWAYS).find(|node| rotation.is_used(*node)) else { return };
            let id = format!("{kind}-{number:04}");
            let sent = send(&record, &id, node, fronts[node], held, kind);
            results.lock().unwrap().push(sent);
        }));
    }
    sleep_until(stop);
    if trouble {
        for (index, gateway) in gateways.iter().take(STOPPED).enumerate() {
            gateway.signal("TERM");
            record.add(format!("SIGTERM to node {index}, {}", gateway.name));
        }
    }
    for client in clients {
        let _ = client.join();
    }
    sleep_until(stop + GRACE);
    for (index, gateway) in gateways.iter_mut().enumerate() {
        let ended = gateway.has_ended();
        record.add(format!("node {index} has ended: {ended}"));
    }
    let results = results.lock().unwrap();
    judge(record, &results, trouble.then_some(stop))
}

fn send(record: &Record, id: &str, node: usize, front: SocketAddr, held: Duration, kind: &str) -> Sent {
    let done = |sent, end| {
        record.add(format!("client {id} at node {node}: {end:?}"));
        Sent { id: id.into(), node, sent, ended: Instant::now(), end }
    };
    let opened = Instant::now();
    let Ok(mut stream) = TcpStream::connect_timeout(&front, 1000 * MS) else { return done(opened, End::NotConnected) };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(DEADLINE + 500 * MS));
    record.add(format!("client {id} is connected to node {node}"));
    sleep_until(opened + held);
    let body = "b".repeat(1200);
    let head = format!(
        "POST /booking/{kind} HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n",
        lib::HOST, DEADLINE.as_millis(), body.len()
    );
    let sent = Instant::now();
    record.add(format!("client {id} sends its whole request to node {node}"));
    if stream.write_all(format!("{head}{body}").as_bytes()).is_err() {
        return done(sent, End::Closed);
    }
    let answer = Message::read(&mut stream);
    let end = match answer {
        Some(answer) => End::Answered(answer.status(), answer.field("x-response-seal").is_some()),
        None if sent.elapsed() >= DEADLINE => End::TimedOut,
        None => End::Closed,
    };
    let _ = stream.shutdown(Shutdown::Both);
    done(sent, end)
}

/// LOST, around a SIGTERM: the instance was at work on the whole request, and the connection ended
/// without a complete answer, or with one of the gateway's own in its place.
fn judge(record: &Record, results: &[Sent], stopped: Option<Instant>) -> i32 {
    let text = std::fs::read_to_string(std::env::args().nth(1).unwrap()).unwrap_or_default();
    let has_run = |id: &str| text.lines().any(|line| line.ends_with(&format!(" runs {id}")));
    let (mut lost, mut excused, mut answered, mut other) = (0, 0, 0, 0);
    for request in results {
        let Sent { id, node, sent, ended, end } = request;
        let reached_timeout = ended.duration_since(*sent) >= TIMEOUT;
        match end {
            End::Answered(200, true) => answered += 1,
            _ if has_run(id) && !reached_timeout => {
                let after = stopped.map(|stopped| sent.saturating_duration_since(stopped));
                let late = stopped.is_some_and(|stopped| sent.saturating_duration_since(stopped) > EXCUSED);
                match late || *node >= STOPPED || stopped.is_none() {
                    true => lost += 1,
                    false => excused += 1,
                }
                let verdict = if late { "LOST" } else { "excused" };
                record.say(format!(
                    "{verdict}: {id} at node {node}, sent {:?} after the SIGTERM, run by an instance, ended {end:?} {:?} after the SIGTERM",
                    after.unwrap_or_default(),
                    stopped.map(|stopped| ended.saturating_duration_since(stopped)).unwrap_or_default()
                ));
            }
            _ => other += 1,
        }
    }
    record.say(format!("{} requests: {answered} answered, {lost} lost, {excused} cut but excused, {other} not run", results.len()));
    if results.is_empty() || answered == 0 {
        return 2;
    }
    i32::from(lost > 0)
}
