//! Numbers at the ends of their ranges in what targets, callers, the directory and other entries state.

mod fixture;

use std::io::Write;
use std::thread;

use cornellink::connection::limits::Limits;
use cornellink::connection::target::TargetConnection;
use cornellink::edge::directory::{DecodedChange, Feed};
use cornellink::edge::position::Position;
use cornellink::prelude::*;
use cornellink::process::gateway::run::caller_server;
use cornellink::process::gateway::sharing::update::Update;
use cornellink::process::runtime::block_on;
use cornellink::version::route::Route;
use cornellink::version::route_table::{CallerBounds, RouteTable, ServicePlan};
use fixture::gateway::{get, idempotent_route, until, TestGateway, HEADER_NAMES};
use fixture::head::read_head;
use fixture::registry::PROBE_PATH;
use fixture::scripted::{Script, ScriptedTarget};
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::{TcpListener, TcpStream};

const TIMEOUT: Duration = Duration::from_secs(5);
const FREE: &str = "0,0,4,100";
/// Numbers around the limits of whole numbers, durations and clocks.
const NUMBERS: [&str; 12] = [
    "0",
    "1",
    "4294967295",
    "4294967296",
    "9223372036854775807",
    "9223372036854775808",
    "18446744073709551",
    "18446744073709551614",
    "18446744073709551615",
    "18446744073709551616",
    "99999999999999999999999999",
    "-1",
];

/// Guards against a `keep-alive` timeout beyond the range of the clock that ends the process.
#[test]
fn keep_alive_timeouts_of_any_size_are_survived() {
    block_on(async {
        for number in NUMBERS {
            let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).unwrap();
            let address = listener.local_addr().unwrap();
            thread::spawn(move || {
                let (mut stream, _) = listener.accept().unwrap();
                while read_head(&mut stream).is_some() {
                    let fields = format!("keep-alive: timeout={number}, max={number}");
                    let head = format!("HTTP/1.1 200 OK\r\n{fields}\r\ncontent-length: 0\r\n\r\n");
                    stream.write_all(head.as_bytes()).unwrap();
                }
            });
            let limits = Limits::for_responses();
            let mut connection = TargetConnection::connect(address, TIMEOUT, limits).await.unwrap();

            connection.exchange(&get("/a/x", "c-1", 1000)).await.unwrap();

            // A short timeout ends the use of the connection, a long one does not.
            assert_eq!(connection.is_open(), !matches!(number, "0" | "1"), "{number}");
        }
    })
    .unwrap();
}

/// Guards against numbers in responses to calls and probes that end the process or take the target out
/// of use for good.
#[test]
fn headers_of_targets_with_any_number_are_survived() {
    let receiver = ScriptedTarget::start("one", Script::Respond, FREE);
    block_on(async move {
        let gateway = TestGateway::start(idempotent_route(), &[("one", &receiver)]).await;
        for number in NUMBERS {
            let loads = format!("load: {number},{number},{number},{number}\r\n");
            let fields = format!(
                "{loads}keep-alive: timeout={number}\r\nwarmup-ms: {number}\r\nretry-after: {number}\r\n"
            );
            receiver.set_probe_fields(&fields);
            receiver.set_call_fields(&fields);

            // A target that says that it has no room gets no call.
            gateway.call(&format!("c-{number}")).await;

            receiver.set_probe_fields("");
            receiver.set_call_fields("");
            let end = Instant::now() + TIMEOUT;
            while gateway.call(&format!("c-{number}")).await.status != StatusCode::OK {
                assert!(Instant::now() < end, "no call is served after {number}");
                monoio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    })
    .unwrap();
}

/// Guards against deadlines of callers that end the process or leave a call without a limit.
#[test]
fn deadlines_of_any_size_are_survived() {
    let receiver = ScriptedTarget::start("one", Script::Respond, FREE);
    block_on(async move {
        let gateway = TestGateway::start(idempotent_route(), &[("one", &receiver)]).await;
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let server = caller_server(&gateway.gateway, listener);
        monoio::spawn(async move { server.serve().await });
        for number in NUMBERS.iter().filter(|number| !matches!(**number, "0" | "1")) {
            let fields = format!("host: app.test\r\ncall-id: c-1\r\ndeadline-ms: {number}\r\n");
            let keep_alive = format!("keep-alive: timeout={number}\r\n");
            let text = format!("GET /a/x HTTP/1.1\r\n{fields}{keep_alive}\r\n");

            assert!(status_line(address, text).await.contains(" 200 "), "{number}");

            let sent = receiver.received_calls().pop().unwrap().deadline_ms;
            assert!((1..=800).contains(&sent), "{number}: {sent}");
        }
    })
    .unwrap();
}

/// Sends a request and returns the first line of the response.
async fn status_line(address: SocketAddr, text: String) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(text.into_bytes()).await.0.unwrap();
    let (length, buffer) = stream.read(vec![0; 4096]).await;
    let head = String::from_utf8_lossy(&buffer[..length.unwrap()]).into_owned();
    head.lines().next().unwrap_or_default().to_owned()
}

/// Guards against limits and times of a configuration that end the process: it serves by them, or by the
/// longest time that the clock allows.
#[test]
fn times_of_a_configuration_of_any_size_are_survived() {
    let receiver = ScriptedTarget::start("one", Script::Respond, FREE);
    block_on(async move {
        let gateway = TestGateway::start(idempotent_route(), &[("one", &receiver)]).await;
        let longest =
            [Duration::from_millis(u64::MAX), Duration::from_secs(u64::MAX / 2), Duration::MAX];
        for (number, time) in longest.into_iter().enumerate() {
            let bounds = CallerBounds {
                head_bytes: usize::MAX,
                body_bytes: usize::MAX,
                head_timeout: time,
                idle_timeout: time,
            };
            let plan = ServicePlan {
                probe_path: PROBE_PATH.into(),
                connections: u32::MAX,
                warmup_rate: Some(f64::MAX),
            };
            let route = Route {
                timeout: time,
                objective: time,
                max_attempts: u32::MAX,
                priority: u32::MAX,
                ..idempotent_route()
            };
            let services = [("s".into(), plan)].into_iter().collect();
            let version = u64::MAX - 2 + number as u64;
            let table = RouteTable::new(version, bounds, services, vec![route]).unwrap();
            gateway.directory.append(Feed::Routes, "config", DecodedChange::Routes(Rc::new(table)));
            until("the version is in force", || {
                gateway.gateway.table().is_some_and(|table| table.version == version)
            })
            .await;
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let address = listener.local_addr().unwrap();
            let server = caller_server(&gateway.gateway, listener);
            monoio::spawn(async move { server.serve().await });

            let fields = "host: app.test\r\ncall-id: c-1\r\n";
            let text = format!("GET /a/x HTTP/1.1\r\n{fields}\r\n");
            assert!(status_line(address, text).await.contains(" 200 "), "{time:?}");
            let in_process = get("/a/x", "c-2", u64::MAX);
            let response =
                cornellink::request::relay::relay(gateway.gateway.clone(), in_process).await;
            assert_eq!(response.status, StatusCode::OK);
        }
    })
    .unwrap();
}

/// Guards against numbers of other entries that end the process, or by which this one divides its
/// shares or allocates memory.
#[test]
fn numbers_of_other_entries_are_survived() {
    let receiver = ScriptedTarget::start("one", Script::Respond, FREE);
    block_on(async move {
        let gateway = TestGateway::start(idempotent_route(), &[("one", &receiver)]).await;
        let directory = gateway.directory.clone();
        for number in [0, 1, u64::MAX - 1, u64::MAX] {
            let position = Position::new(0, number);
            let update = Update {
                routes_next: Some(position),
                targets_next: Some(position),
                age: Some(Duration::from_micros(number)),
                hops: u8::MAX,
                entries: Some(number as u32),
                ..Update::default()
            };
            gateway.gateway.apply_update(&*directory, &update);
            gateway.gateway.update_for(&gateway.gateway.subscribe_request());
        }

        // A fleet of that size cannot be; its number would leave this entry no share at all.
        assert!(gateway.gateway.entry_count() <= 100_000, "{}", gateway.gateway.entry_count());
        assert_eq!(gateway.call("c-1").await.status, StatusCode::OK);
        assert_eq!(HEADER_NAMES.call_id, "call-id");
    })
    .unwrap();
}
