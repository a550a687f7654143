//! Connections from callers: headers, cancellation and limits.

mod fixture;

use std::time::Duration;

use cornellink::edge::stand_in::hosted::host_targets;
use fixture::raw::{field, AfterReply, RawClient, RawServer};
use fixture::served::Published;

const CALL: &str = "GET /tickets/1 HTTP/1.1\r\nhost: x\r\ncornellink-workspace: north\r\n";
const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n";

fn wait_for(condition: impl Fn() -> bool) {
    while !condition() {
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Guards against hop-by-hop headers that reach the target, and against headers of the load
/// balancer that a caller forged.
#[test]
fn hop_by_hop_and_forged_headers_of_calls_are_removed() {
    let target = RawServer::start(format!("{OK}\r\n"), AfterReply::KeepOpen);
    let published = Published::new(&[target.address]);
    let entry = published.entry("call-headers", serde_json::json!({}));
    let forged = "cornellink-call-id: forged\r\ncornellink-class: forged\r\n\
                  cornellink-refused: forged\r\ncornellink-code: 204\r\ncornellink-x: forged\r\n";
    let hops = "connection: keep-alive, x-named, idempotency-key\r\nx-named: hop\r\n\
                keep-alive: hop\r\nproxy-connection: hop\r\nte: hop\r\ntrailer: hop\r\n\
                upgrade: hop\r\nproxy-authorization: hop\r\nexpect: hop\r\n";
    let mut client = RawClient::connect(entry.listen);

    client
        .send(format!("{CALL}{forged}{hops}idempotency-key: k1\r\nx-kept: yes\r\n\r\n").as_bytes());
    let response = client.read_response(false).expect("the call is answered");

    assert_eq!(field(&response.0, "cornellink-code"), Some("100"));
    let request = target.requests().concat().to_lowercase();
    assert!(!request.contains("forged") && !request.contains("hop"), "{request}");
    assert!(!request.contains("cornellink-code"), "{request}");
    assert_eq!(field(&request, "x-kept"), Some("yes"));
    assert_eq!(field(&request, "host"), Some("x"));
    assert_eq!(field(&request, "idempotency-key"), Some("k1"));
    assert_eq!(field(&request, "cornellink-class"), Some("lookup"));
    assert_eq!(field(&request, "cornellink-workspace"), Some("north"));
    assert_eq!(field(&request, "cornellink-attempt"), Some("1"));
}

/// Guards against a target's result code or connection headers that reach a caller.
#[test]
fn hop_by_hop_and_forged_headers_of_responses_are_removed() {
    let fields = "cornellink-code: 204\r\ncornellink-refused: forged\r\nkeep-alive: hop\r\n\
                  connection: x-named\r\nx-named: hop\r\nupgrade: hop\r\nx-kept: yes\r\n";
    let target = RawServer::start(format!("{OK}{fields}\r\n"), AfterReply::KeepOpen);
    let published = Published::new(&[target.address]);
    let entry = published.entry("answer-headers", serde_json::json!({}));
    let mut client = RawClient::connect(entry.listen);

    client.send(format!("{CALL}\r\n").as_bytes());
    let (head, _) = client.read_response(false).expect("the call is answered");

    assert_eq!(field(&head, "cornellink-code"), Some("100"));
    assert_eq!(head.matches("cornellink-code").count(), 1, "{head}");
    assert_eq!(field(&head, "x-kept"), Some("yes"));
    assert!(!head.contains("forged") && !head.contains("hop"), "{head}");
}

/// Guards against an entry that drops or changes the content length of a HEAD response.
#[test]
fn head_response_keeps_its_content_length() {
    let target =
        RawServer::start("HTTP/1.1 200 OK\r\ncontent-length: 77\r\n\r\n", AfterReply::KeepOpen);
    let published = Published::new(&[target.address]);
    let entry = published.entry("head", serde_json::json!({}));
    let mut client = RawClient::connect(entry.listen);

    client.send(CALL.replace("GET", "HEAD").as_bytes());
    client.send(b"\r\n");
    let (head, _) = client.read_response(true).expect("the call is answered");

    assert_eq!(field(&head, "content-length"), Some("77"));
}

/// Guards against an entry that never sends `100 Continue` to a caller that waits for it before it
/// sends the body.
#[test]
fn caller_expecting_100_continue_receives_it() {
    let (_targets, addresses) = host_targets(1, 1, Duration::ZERO).unwrap();
    let published = Published::new(&addresses);
    let entry = published.entry("expect", serde_json::json!({}));
    let mut client = RawClient::connect(entry.listen);
    let fields = "expect: 100-Continue\r\ncontent-length: 3\r\n\r\n";

    client.send(format!("{}{fields}", CALL.replace("GET", "POST")).as_bytes());
    let interim = client.read_response(false).expect("an interim response").0;
    client.send(b"abc");
    let (head, body) = client.read_response(false).expect("the call is answered");

    assert!(interim.starts_with("http/1.1 100 "), "{interim}");
    assert_eq!(field(&head, "cornellink-code"), Some("100"));
    assert_eq!(body, b"POST /tickets/1 abc");
}

/// Guards against an attempt that continues at the target after its caller has disconnected.
#[test]
fn attempt_is_cancelled_when_its_caller_disconnects() {
    let target = RawServer::start("", AfterReply::KeepOpen);
    let published = Published::new(&[target.address]);
    let entry = published.entry("cancel", serde_json::json!({}));
    for pipelined in ["", "GET /tickets/2 HTTP/1.1\r\n"] {
        let before = target.requests().len();
        let mut client = RawClient::connect(entry.listen);
        client.send(format!("{CALL}\r\n{pipelined}").as_bytes());
        wait_for(|| target.requests().len() > before);
        assert_eq!(target.closed_count(), before);

        drop(client);

        wait_for(|| target.closed_count() > before);
    }
}

/// Guards against a stand-in target that continues a call after its client has disconnected, which
/// would hide the effect of a cancellation.
#[test]
fn stand_in_cancels_its_handler_when_the_client_disconnects() {
    let (targets, addresses) = host_targets(1, 1, Duration::ZERO).unwrap();
    let mut first = RawClient::connect(addresses[0]);
    first.send(b"GET /long HTTP/1.1\r\nstand-in-service-us: 600000000\r\n\r\n");
    wait_for(|| targets.with(|targets| targets[0].calls()) == 1);
    let mut second = RawClient::connect(addresses[0]);
    second.send(b"GET /short HTTP/1.1\r\n\r\n");

    drop(first);

    let (_, body) = second.read_response(false).expect("the slot is free again");
    assert_eq!(body, b"GET /short ");
}

/// Guards against callers whose connections use up all file descriptors of the entry.
#[test]
fn connection_above_the_limit_is_refused() {
    let (_targets, addresses) = host_targets(1, 1, Duration::ZERO).unwrap();
    let published = Published::new(&addresses);
    let settings = serde_json::json!({ "callers": { "maxConnections": 2 } });
    let entry = published.entry("bounded", settings);
    let code = |client: &mut RawClient| {
        client.send(format!("{CALL}\r\n").as_bytes());
        let response = client.read_response(false).map(|(head, _)| head);
        response.and_then(|head| field(&head, "cornellink-code").map(str::to_owned))
    };
    let mut kept = [RawClient::connect(entry.listen), RawClient::connect(entry.listen)];
    let served = kept.iter_mut().map(code).collect::<Vec<_>>();

    let refused = code(&mut RawClient::connect(entry.listen));

    assert_eq!(served, [Some("100".into()), Some("100".into())]);
    assert_eq!(refused.as_deref(), Some("601"));
    drop(kept);
    wait_for(|| code(&mut RawClient::connect(entry.listen)).as_deref() == Some("100"));
}

/// Guards against incomplete bodies that together exhaust the memory of the entry, and against
/// memory that stays counted after its calls have ended.
#[test]
fn body_above_the_memory_limit_of_all_callers_is_refused() {
    let (_targets, addresses) = host_targets(1, 1, Duration::ZERO).unwrap();
    let published = Published::new(&addresses);
    let settings = serde_json::json!({ "callers": { "memoryLimit": 300_000 } });
    let entry = published.entry("memory", settings);
    let head = CALL.replace("GET", "POST");
    let code = |response: Option<(String, Vec<u8>)>| {
        response.and_then(|(head, _)| field(&head, "cornellink-code").map(str::to_owned))
    };
    let upload = |bytes: usize| {
        let mut client = RawClient::connect(entry.listen);
        client.send(format!("{head}content-length: 200000\r\n\r\n").as_bytes());
        client.send(&vec![b'x'; bytes]);
        client
    };

    let mut kept = upload(199_999);
    let mut refused = upload(199_999);
    let refused = code(refused.read_response(false));
    let mut small = RawClient::connect(entry.listen);
    small.send(format!("{CALL}\r\n").as_bytes());
    let small = code(small.read_response(false));
    kept.send(b"x");

    assert_eq!(refused.as_deref(), Some("602"));
    assert_eq!(small.as_deref(), Some("100"));
    assert_eq!(code(kept.read_response(false)).as_deref(), Some("100"));
    wait_for(|| code(upload(200_000).read_response(false)).as_deref() == Some("100"));
}
