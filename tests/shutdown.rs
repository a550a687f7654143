//! The shutdown of an entry process, and the descriptors, threads and processes it uses.

mod fixture;

use std::fs;
use std::time::Duration;

use cornellink::connection::client::Client;
use cornellink::edge::stand_in::hosted::{host_targets, TargetHost};
use cornellink::prelude::*;
use cornellink::process::runtime::block_on;
use cornellink::request::header;
use fixture::entry_process::EntryProcess;
use fixture::raw::{field, RawClient};
use fixture::served::Published;

const TIMEOUT: Duration = Duration::from_secs(5);

/// A request that the stand-in target serves in `micros` microseconds.
fn request(micros: u64) -> Vec<u8> {
    let fields = format!("cornellink-workspace: north\r\nstand-in-service-us: {micros}\r\n");
    format!("POST /tickets/1 HTTP/1.1\r\n{fields}\r\n").into_bytes()
}

fn wait_for(condition: impl Fn() -> bool) {
    while !condition() {
        std::thread::sleep(Duration::from_millis(1));
    }
}

fn call_count(targets: &TargetHost) -> u64 {
    targets.with(|targets| targets[0].calls())
}

fn ready_code(entry: &EntryProcess) -> Option<u16> {
    let admin = entry.admin;
    let ready = Call::new(Method::GET, Uri::from_static("/ready"));
    let response = block_on(async move { Client::new(admin, TIMEOUT).call(&ready).await });
    response.unwrap().ok()?.header(header::CODE)?.parse().ok()
}

/// Guards against a shutdown that aborts a call in flight, refuses callers before the platform has
/// read "not ready", or leaves idle connections open.
#[test]
fn shutdown_completes_calls_in_flight_and_closes_idle_connections() {
    let (targets, addresses) = host_targets(1, 8, Duration::ZERO).unwrap();
    let published = Published::new(&addresses);
    let settings = serde_json::json!({ "shutdown": { "delayMs": 1000 } });
    let mut entry = published.entry("graceful", settings);
    let (mut idle, mut busy) = (RawClient::connect(entry.listen), RawClient::connect(entry.listen));
    idle.send(&request(0));
    let first = idle.read_response(false).expect("the call is answered").0;
    busy.send(&request(1_500_000));
    wait_for(|| call_count(&targets) == 2);

    entry.terminate();
    wait_for(|| ready_code(&entry) == Some(600));
    let mut late = RawClient::connect(entry.listen);
    late.send(&request(0));

    let late =
        late.read_response(false).expect("a caller that connects during the delay is answered").0;
    assert_eq!(field(&first, "connection"), None);
    assert_eq!(field(&late, "cornellink-code"), Some("100"));
    assert_eq!(field(&late, "connection"), Some("close"));
    assert!(idle.read_response(false).is_none(), "the idle connection is closed");
    let busy_response = busy.read_response(false).expect("the call in flight is answered").0;
    assert_eq!(field(&busy_response, "cornellink-code"), Some("100"));
    assert_eq!(field(&busy_response, "connection"), Some("close"));
    drop((idle, busy));
    assert!(entry.wait(), "the process ends without an error");
    assert!(!entry.log().contains("cut"), "{}", entry.log());
}

/// Guards against a shutdown that closes a connection which it has just accepted, before the first
/// call can arrive on it.
#[test]
fn connection_accepted_during_the_shutdown_is_served() {
    let (_targets, addresses) = host_targets(1, 8, Duration::ZERO).unwrap();
    let published = Published::new(&addresses);
    let settings = serde_json::json!({ "shutdown": { "delayMs": 300 } });
    let mut entry = published.entry("accepted", settings);

    entry.terminate();
    wait_for(|| ready_code(&entry) == Some(600));
    std::thread::sleep(Duration::from_millis(230));
    let mut late = RawClient::connect(entry.listen);
    // The listener is closed by the time the call arrives.
    std::thread::sleep(Duration::from_millis(200));
    late.send(&request(0));

    let response = late.read_response(false).expect("the call is answered").0;
    assert_eq!(field(&response, "cornellink-code"), Some("100"));
    drop(late);
    assert!(entry.wait(), "the process ends without an error");
}

/// Guards against a call that is read late in a shutdown, sent to a target, and aborted there.
#[test]
fn call_read_late_in_a_shutdown_is_refused_instead_of_aborted() {
    let (targets, addresses) = host_targets(1, 8, Duration::ZERO).unwrap();
    let published = Published::new(&addresses);
    let settings = serde_json::json!({ "shutdown": { "delayMs": 1000, "limitMs": 2000 } });
    let mut entry = published.entry("late", settings);

    entry.terminate();
    wait_for(|| ready_code(&entry) == Some(600));
    std::thread::sleep(Duration::from_millis(800));
    let mut late = RawClient::connect(entry.listen);
    late.send(&request(1_500_000));

    let response = late.read_response(false).expect("the call is answered").0;
    assert_eq!(field(&response, "cornellink-code"), Some("603"));
    assert_eq!(call_count(&targets), 0);
    drop(late);
    assert!(entry.wait(), "the process ends without an error");
}

/// Guards against a shutdown without a timeout, and against calls that are aborted without a log
/// line.
#[test]
fn shutdown_timeout_aborts_calls_and_logs_their_number() {
    let (targets, addresses) = host_targets(1, 8, Duration::ZERO).unwrap();
    let published = Published::new(&addresses);
    let settings = serde_json::json!({ "shutdown": { "delayMs": 0, "limitMs": 200 } });
    let mut entry = published.entry("limit", settings);
    let mut clients = [RawClient::connect(entry.listen), RawClient::connect(entry.listen)];
    clients.iter_mut().for_each(|client| assert!(client.send(&request(600_000_000))));
    wait_for(|| call_count(&targets) == 2);

    entry.terminate();

    assert!(clients.iter_mut().all(|client| client.read_response(false).is_none()));
    assert!(entry.wait(), "the process ends without an error");
    assert!(entry.log().contains(r#""cut":2"#), "{}", entry.log());
}

/// Guards against a runtime that selects io_uring, and against additional processes and threads.
#[test]
fn entry_uses_epoll_in_one_process_with_one_thread() {
    let (_targets, addresses) = host_targets(1, 8, Duration::ZERO).unwrap();
    let published = Published::new(&addresses);
    let entry = published.entry("descriptors", serde_json::json!({}));
    let mut client = RawClient::connect(entry.listen);
    client.send(&request(0));
    client.read_response(false).expect("the call is answered");

    let path = format!("/proc/{}", entry.id());
    let links = fs::read_dir(format!("{path}/fd")).unwrap().flatten();
    let links: Vec<_> = links.filter_map(|file| fs::read_link(file.path()).ok()).collect();
    let has_link = |word: &str| links.iter().any(|link| link.to_string_lossy().contains(word));

    assert!(has_link("eventpoll") && has_link("socket"), "{links:?}");
    assert!(!has_link("io_uring"), "{links:?}");
    assert_eq!(fs::read_dir(format!("{path}/task")).unwrap().count(), 1, "threads");
    assert_eq!(child_count(entry.id()), 0, "processes");
}

fn child_count(parent: u32) -> usize {
    let stats = fs::read_dir("/proc").unwrap().flatten();
    let stats = stats.filter_map(|file| fs::read_to_string(file.path().join("stat")).ok());
    // The parent's ID is the second field after the process name, which is in parentheses.
    let parents = stats
        .filter_map(|stat| stat.rsplit(')').next()?.split_whitespace().nth(1)?.parse::<u32>().ok());
    parents.filter(|found| *found == parent).count()
}
