//! Calls that a caller sends before the earlier ones are answered.

mod fixture;

use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use cornellink::connection::limits::Limits;
use cornellink::connection::server;
use cornellink::prelude::{Rc, SocketAddr};
use cornellink::process::gateway::run::caller_server;
use cornellink::process::runtime::block_on;
use cornellink::version::route::Route;
use fixture::gated::GatedServer;
use fixture::gateway::{idempotent_route, non_idempotent_route, TestGateway};
use fixture::raw::{field, RawClient};
use fixture::scripted::{Script, ScriptedTarget};

/// Most calls of one connection that run.
const MAX_RUNNING: usize = 8;
/// A response that is larger than the buffers of a socket.
const LARGE_BYTES: usize = 64 * 1024 * 1024;
/// Time after which a test stops waiting for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: app.test\r\ncall-id: {path}\r\n\r\n")
}

fn post(path: &str, body: &str) -> String {
    let length = body.len();
    format!("POST {path} HTTP/1.1\r\nhost: app.test\r\ncontent-length: {length}\r\n\r\n{body}")
}

/// A server and a client that has sent the given bytes.
fn sent(text: &str) -> (GatedServer, RawClient) {
    let server = GatedServer::start();
    let mut client = RawClient::connect(server.address);
    client.send(text.as_bytes());
    (server, client)
}

fn body(client: &mut RawClient) -> Option<String> {
    client.read_response(false).map(|(_, body)| String::from_utf8(body).unwrap())
}

fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "gave up waiting: {what}");
        thread::sleep(Duration::from_millis(1));
    }
}

/// Guards against calls that wait for those ahead although they may run beside them, and against
/// responses in the order of completion.
#[test]
fn idempotent_calls_run_side_by_side_and_are_answered_in_order() {
    let (server, mut client) = sent(&[get("/1"), get("/2"), get("/3")].concat());
    server.until_started(3);

    server.open("/3");
    server.open("/2");
    server.settle();
    let early = client.has_response();
    server.open("/1");
    let bodies = [body(&mut client), body(&mut client), body(&mut client)];

    assert!(!early, "no response overtakes the first");
    assert_eq!(bodies.map(Option::unwrap), ["/1", "/2", "/3"]);
    assert_eq!(server.pipelined(), 2);
}

/// Guards against a call that arrives in a later packet and is only read once the first is answered.
#[test]
fn call_that_arrives_later_starts_beside_the_first() {
    let (server, mut client) = sent(&get("/1"));
    server.until_started(1);

    client.send(get("/2").as_bytes());

    server.until_started(2);
    server.open("/1");
    assert_eq!(body(&mut client).as_deref(), Some("/1"));
    server.open("/2");
    assert_eq!(body(&mut client).as_deref(), Some("/2"));
}

/// Guards against a call that may run once only and runs beside others: a failure of the connection
/// would leave its caller without a way to tell which of them ran.
#[test]
fn call_that_may_run_once_only_runs_alone() {
    let (server, mut client) = sent(&[get("/1"), post("/once", ""), get("/3"), get("/4")].concat());
    server.until_started(1);
    server.settle();
    let behind_first = server.started();

    server.open("/1");
    let first = body(&mut client);
    server.until_started(2);
    server.settle();
    let behind_once = server.started();
    server.open("/once");
    let once = body(&mut client);
    server.until_started(4);

    assert_eq!(behind_first, ["/1"]);
    assert_eq!(behind_once, ["/1", "/once"]);
    assert_eq!([first, once].map(Option::unwrap), ["/1", "/once"]);
    server.open("/3");
    server.open("/4");
    assert_eq!([body(&mut client), body(&mut client)].map(Option::unwrap), ["/3", "/4"]);
}

/// Guards against a call that is passed on although its caller gets no response to it, as one ahead
/// closes the connection.
#[test]
fn call_behind_a_closing_response_is_never_started() {
    let closing = get("/2").replace("host:", "connection: close\r\nhost:");
    let (server, mut client) = sent(&[get("/1"), closing, get("/3")].concat());
    server.until_started(2);

    server.open("/3");
    server.open("/2");
    server.open("/1");
    let heads = [client.read_response(false), client.read_response(false)].map(Option::unwrap);

    assert_eq!(heads.each_ref().map(|(_, body)| body.as_slice()), [b"/1", b"/2"]);
    assert_eq!(heads.each_ref().map(|(head, _)| field(head, "connection")), [None, Some("close")]);
    assert!(client.read_response(false).is_none(), "the connection is closed");
    assert_eq!(server.started(), ["/1", "/2"]);
}

/// Guards against calls that go on, and stay counted as in flight, after their caller has left or has
/// ended its sending side.
#[test]
fn caller_that_leaves_cancels_all_calls() {
    for is_half_closed in [false, true] {
        let text = [get("/1"), get("/2"), get("/3"), post("/once", "")].concat();
        let (server, mut client) = sent(&text);
        server.until_started(3);

        match is_half_closed {
            true => client.shutdown_write(),
            false => drop(client),
        }

        server.until_cancelled(3);
        assert_eq!(server.started(), ["/1", "/2", "/3"]);
    }
}

/// Guards against a planned stop that drops running calls, starts waiting ones, or leaves the caller
/// without a sign that the connection ends.
#[test]
fn planned_stop_answers_running_calls_and_starts_no_other() {
    let (server, mut client) = sent(&[get("/1"), get("/2"), post("/once", "")].concat());
    server.until_started(2);
    let mut other = RawClient::connect(server.address);
    other.send(get("/1").as_bytes());
    server.until_started(3);

    server.stop();
    other.send(get("/late").as_bytes());
    thread::sleep(Duration::from_millis(50));
    server.open("/2");
    server.open("/1");
    let heads = [client.read_response(false), client.read_response(false)].map(Option::unwrap);
    let other_head = other.read_response(false).unwrap().0;

    assert_eq!(heads.each_ref().map(|(head, _)| field(head, "connection")), [None, Some("close")]);
    assert_eq!(field(&other_head, "connection"), Some("close"));
    assert!(client.read_response(false).is_none() && other.read_response(false).is_none());
    assert_eq!(server.started(), ["/1", "/2", "/1"]);
    drop((client, other));
    server.until_ended();
}

/// Guards against a malformed call that ends the calls ahead, is answered before them, or lets bytes
/// behind it pass as a call.
#[test]
fn malformed_call_is_answered_after_those_ahead_and_closes() {
    let repeated = "GET /2 HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n".to_owned();
    let lengths = "GET /2 HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n".to_owned();
    let too_large = "GET /2 HTTP/1.1\r\ncontent-length: 99999999\r\n\r\n".to_owned();
    for malformed in ["nonsense\r\n\r\n".to_owned(), repeated, lengths, too_large] {
        let (server, mut client) = sent(&[get("/1"), malformed, get("/3")].concat());
        server.until_started(1);

        server.settle();
        let early = client.has_response();
        server.open("/1");
        let first = client.read_response(false).unwrap();
        let second = client.read_response(false).unwrap().0;

        assert!(!early);
        assert_eq!(first.1, b"/1");
        assert_eq!(field(&first.0, "connection"), None);
        assert!(second.starts_with("http/1.1 4"), "{second}");
        assert_eq!(field(&second, "connection"), Some("close"));
        assert!(client.read_response(false).is_none(), "the connection is closed");
        assert_eq!(server.started(), ["/1"]);
    }
}

/// Guards against a connection that starts any number of calls.
#[test]
fn at_most_eight_calls_run() {
    let paths: Vec<String> = (1..=2 * MAX_RUNNING).map(|index| format!("/{index}")).collect();
    let (server, mut client) = sent(&paths.iter().map(|path| get(path)).collect::<String>());
    server.until_started(MAX_RUNNING);
    server.settle();
    let first = server.started().len();

    paths[1..].iter().for_each(|path| server.open(path));
    server.settle();
    let without_room = server.started().len();
    server.open(&paths[0]);
    let bodies: Vec<String> = paths.iter().filter_map(|_| body(&mut client)).collect();

    assert_eq!((first, without_room), (MAX_RUNNING, MAX_RUNNING));
    assert_eq!(bodies, paths);
}

/// Guards against a response that waits for the rest of the next call.
#[test]
fn slow_head_or_body_does_not_delay_the_response_ahead() {
    let chunked = "POST /2 HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    let cases = [(get("/2"), 3), (post("/2", "abc"), 2), (chunked.to_owned(), 4)];
    for (text, missing) in cases {
        let split = text.len() - missing;
        let (server, mut client) = sent(&[&get("/1"), &text[..split]].concat());
        server.until_started(1);

        server.open("/1");
        server.open("/2");
        let first = body(&mut client);
        let early = server.started();
        client.send(&text.as_bytes()[split..]);
        let second = body(&mut client).unwrap();

        assert_eq!(first.as_deref(), Some("/1"));
        assert_eq!(early, ["/1"], "{text}");
        assert!(second.starts_with("/2"), "{second}");
    }
}

/// Guards against bodies that are cut, or taken for the next call.
#[test]
fn calls_with_whole_bodies_run_side_by_side() {
    let large = "y".repeat(10_000);
    let text = [post("/1", "one"), post("/2", ""), post("/3", &large), get("/4")].concat();
    let (server, mut client) = sent(&text);
    server.until_started(4);

    ["/1", "/2", "/3", "/4"].iter().for_each(|path| server.open(path));
    let bodies: Vec<String> = (0..4).filter_map(|_| body(&mut client)).collect();

    assert_eq!(bodies, ["/1one".into(), "/2".into(), format!("/3{large}"), "/4".to_owned()]);
}

/// Guards against a body whose announcement is pipelined and which never gets `100 Continue`, or gets
/// it between the heads and bodies of responses ahead.
#[test]
fn expected_100_continue_follows_the_responses_ahead() {
    let head = "POST /2 HTTP/1.1\r\nexpect: 100-continue\r\ncontent-length: 3\r\n\r\n";
    let (server, mut client) = sent(&[&get("/1"), head].concat());
    server.until_started(1);

    server.open("/1");
    server.open("/2");
    let first = body(&mut client);
    let interim = client.read_response(false).unwrap().0;
    client.send(b"abc");

    assert_eq!(first.as_deref(), Some("/1"));
    assert!(interim.starts_with("http/1.1 100 "), "{interim}");
    assert_eq!(body(&mut client).as_deref(), Some("/2abc"));
}

/// Guards against a HEAD request whose response gets a body, or a GET request whose response gets
/// none, because another call was read in between.
#[test]
fn head_requests_keep_responses_without_a_body() {
    let head = get("/2").replace("GET", "HEAD");
    let (server, mut client) = sent(&[get("/1"), head, get("/3")].concat());
    server.until_started(3);

    ["/3", "/2", "/1"].iter().for_each(|path| server.open(path));

    assert_eq!(body(&mut client).as_deref(), Some("/1"));
    assert!(client.read_response(true).is_some());
    assert_eq!(body(&mut client).as_deref(), Some("/3"));
}

/// Guards against a caller that reads nothing and still makes the entry start further calls, and
/// against running calls that stand still meanwhile.
#[test]
fn slow_reader_starts_no_further_calls() {
    let (server, mut client) = sent(&[get("/1"), get("/2")].concat());
    server.until_started(2);
    server.open_with("/1", LARGE_BYTES);
    until("the response is being written", || client.has_response());

    client.send(get("/3").as_bytes());
    server.open("/2");
    server.until_completed("/2");
    server.settle();
    let started = server.started();
    let first = client.read_response(false).unwrap().1;
    let second = body(&mut client);
    server.open("/3");

    assert_eq!(started, ["/1", "/2"]);
    assert_eq!(first.len(), LARGE_BYTES);
    assert_eq!(second.as_deref(), Some("/2"));
    assert_eq!(body(&mut client).as_deref(), Some("/3"));
}

/// Guards against calls that go on after the response ahead could not be written in time.
#[test]
fn response_that_is_not_read_in_time_cancels_the_calls_behind() {
    let limits = Limits { write_timeout: Duration::from_millis(300), ..Limits::default() };
    let server = GatedServer::with_limits(limits);
    let mut client = RawClient::connect(server.address);
    client.send([get("/1"), get("/2"), get("/3")].concat().as_bytes());
    server.until_started(3);

    server.open_with("/1", LARGE_BYTES);

    server.until_cancelled(2);
    drop(client);
}

/// Guards against buffering without limit for a caller that sends more than may start.
#[test]
fn many_calls_are_all_answered_in_order() {
    const CALLS: usize = 5000;
    let server = GatedServer::start();
    let mut client = RawClient::connect(server.address);
    server.open("/same");
    let text = get("/same").repeat(CALLS);
    let mut sender = client.share();

    let writer = thread::spawn(move || sender.send(text.as_bytes()));
    let count = (0..CALLS).filter(|_| body(&mut client).as_deref() == Some("/same")).count();

    assert_eq!(count, CALLS);
    assert!(writer.join().unwrap());
}

/// Builds the route on the gateway's thread.
type NewRoute = fn() -> Route;

/// A gateway that serves callers on a thread of its own.
struct ServedGateway {
    address: SocketAddr,
    metrics: Arc<Mutex<String>>,
    targets: Arc<[ScriptedTarget; 2]>,
}

impl ServedGateway {
    fn start(route: NewRoute, script: Script) -> Self {
        let load = "0,0,4,100";
        let targets = ["one", "two"].map(|id| ScriptedTarget::start(id, script, load));
        let (targets, metrics) = (Arc::new(targets), Arc::new(Mutex::new(String::new())));
        let (sender, receiver) = channel();
        let (shared, rendered) = (targets.clone(), metrics.clone());
        thread::spawn(move || {
            block_on(async move {
                let [one, two] = &*shared;
                let fixture = TestGateway::start(route(), &[("one", one), ("two", two)]).await;
                let listener = server::bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
                sender.send(listener.local_addr().unwrap()).unwrap();
                let gateway = Rc::clone(&fixture.gateway);
                monoio::spawn(caller_server(&gateway, listener).serve());
                loop {
                    *rendered.lock().unwrap() = gateway.metrics.render();
                    monoio::time::sleep(Duration::from_millis(2)).await;
                }
            })
            .unwrap()
        });
        Self { address: receiver.recv().unwrap(), metrics, targets }
    }

    /// Whether a target has received a call with the identifier.
    fn has_received(&self, id: &str) -> bool {
        let mut calls = self.targets.iter().flat_map(ScriptedTarget::received_calls);
        calls.any(|call| call.id == id)
    }

    fn cancelled_calls(&self) -> u32 {
        self.targets.iter().map(ScriptedTarget::cancelled_calls).sum()
    }

    fn metrics(&self) -> String {
        self.metrics.lock().unwrap().clone()
    }
}

/// Guards against a gateway that sends pipelined calls of an idempotent route one after the other,
/// or lets them go on at the targets when the caller has left.
#[test]
fn targets_get_calls_of_an_idempotent_route_side_by_side() {
    let served = ServedGateway::start(idempotent_route, Script::Hang);
    let mut client = RawClient::connect(served.address);

    client.send([get("/a/1"), get("/a/2")].concat().as_bytes());
    until("both calls arrive", || served.has_received("/a/1") && served.has_received("/a/2"));
    let is_answered = client.has_response();
    until("the call is counted", || {
        served.metrics().contains("cornellink_calls_pipelined_total 1")
    });
    drop(client);

    assert!(!is_answered);
    until("both calls are cancelled", || served.cancelled_calls() >= 2);
}

/// Guards against a gateway that lets calls overlap which may run once only, or that have no route.
#[test]
fn calls_that_are_not_idempotent_do_not_overlap_in_a_gateway() {
    let served = ServedGateway::start(non_idempotent_route, Script::Respond);
    let mut client = RawClient::connect(served.address);
    let paths = ["/a/1", "/a/2", "/none", "/none", "/a/3"];

    client.send(paths.map(get).concat().as_bytes());
    let heads = paths.map(|_| client.read_response(false).unwrap().0);
    let is_ok = heads.map(|head| head.starts_with("http/1.1 200 "));

    assert_eq!(is_ok, [true, true, false, false, true]);
    until("the calls are counted", || served.metrics().contains("cornellink_calls_total"));
    assert!(!served.metrics().contains("cornellink_calls_pipelined_total"));
}
