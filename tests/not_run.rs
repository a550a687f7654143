//! "Not run" and "outcome unknown": the result code of a call agrees with what its target received.

mod fixture;

use std::net::SocketAddr;
use std::time::Duration;

use cornellink::connection::fault::{ExchangeError, Fault};
use cornellink::connection::limits::Limits;
use cornellink::connection::target::TargetConnection;
use cornellink::prelude::*;
use cornellink::process::runtime::block_on;
use fixture::raw::{field, AfterReply, RawClient, RawServer};
use fixture::served::Published;

const TIMEOUT: Duration = Duration::from_secs(5);
/// Number of calls, so that each target of a random choice gets some.
const CALL_COUNT: usize = 12;

/// Sends a call to an entry and returns its result code.
fn send(entry: SocketAddr, method: &str, fields: &str) -> u16 {
    let mut client = RawClient::connect(entry);
    let head = "HTTP/1.1\r\nhost: x\r\ncornellink-workspace: north\r\nconnection: close\r\n";
    client.send(format!("{method} /tickets/1 {head}{fields}\r\n").as_bytes());
    let (head, _) = client.read_response(false).expect("every call is answered");
    field(&head, "cornellink-code").unwrap().parse().unwrap()
}

/// Sends one booking through an entry to a target that responds with `reply`; returns the result
/// code and the number of requests that the target received.
fn send_booking(name: &str, reply: &str, then: AfterReply, fields: &str) -> (u16, usize) {
    let target = RawServer::start(reply, then);
    let published = Published::new(&[target.address]);
    let entry = published.entry(name, serde_json::json!({}));
    let code = send(entry.listen, "POST", fields);
    (code, target.requests().len())
}

/// Guards against "not run" for a call that the target has received.
#[test]
fn booking_received_by_a_failing_target_has_unknown_outcome() {
    let refused = "HTTP/1.1 503 Service Unavailable\r\ncornellink-refused: overloaded\r\n";
    let cases = [
        ("closed", "", AfterReply::Close, "", 301),
        ("held", "", AfterReply::KeepOpen, "cornellink-deadline-ms: 100\r\n", 302),
        ("truncated", "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n", AfterReply::Close, "", 303),
        (
            "cut-refusal",
            &format!("{refused}content-length: 9\r\n\r\nx"),
            AfterReply::Close,
            "",
            303,
        ),
        ("cut-head", refused, AfterReply::Close, "", 303),
        (
            "malformed",
            "HTTP/1.1 200 OK\r\ncontent-length: x\r\n\r\n",
            AfterReply::KeepOpen,
            "",
            303,
        ),
    ];
    for (name, reply, then, fields, want) in cases {
        assert_eq!(send_booking(name, reply, then, fields), (want, 1), "{name}");
    }
}

/// Guards against a response that is taken for a refusal with the status alone or the header alone.
#[test]
fn only_503_with_the_header_is_a_refusal() {
    let cases = [
        ("refused", "503 Service Unavailable\r\ncornellink-refused: overloaded", 204),
        ("ok", "200 OK\r\ncornellink-refused: overloaded", 100),
        ("error", "500 Internal Server Error\r\ncornellink-refused: overloaded", 100),
        ("unavailable", "503 Service Unavailable", 100),
    ];
    for (name, head, want) in cases {
        let reply = format!("HTTP/1.1 {head}\r\ncontent-length: 0\r\n\r\n");
        let (code, _) = send_booking(name, &reply, AfterReply::KeepOpen, "");
        assert_eq!(code, want, "{name}");
    }
}

/// Guards against an idempotent call that is reported as "not run" because its last attempt could
/// not connect, although an earlier attempt may have run.
#[test]
fn failed_connect_after_an_unknown_attempt_stays_unknown() {
    let lossy = RawServer::start("", AfterReply::Close);
    let published = Published::new(&[lossy.address, fixture::free_address()]);
    let entry = published.entry("mixed", serde_json::json!({}));
    for _ in 0..CALL_COUNT {
        let before = lossy.requests().len();
        let code = Code::from_number(send(entry.listen, "GET", "")).unwrap();
        let has_received = lossy.requests().len() > before;
        assert_eq!(code.is_unknown(), has_received, "{code:?}");
    }
}

/// Guards against a booking that is sent, and so lost, on an idle connection that the target has
/// closed.
#[test]
fn closed_idle_connection_is_not_used() {
    let target =
        RawServer::start("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", AfterReply::Close);
    let published = Published::new(&[target.address]);
    let entry = published.entry("idle", serde_json::json!({}));
    for count in 1..=CALL_COUNT {
        assert_eq!(send(entry.listen, "POST", ""), 100);
        assert_eq!(target.requests().len(), count);
        // The target has closed its side when its thread has ended.
        while target.closed_count() < count {
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

async fn connect(address: SocketAddr) -> TargetConnection {
    TargetConnection::connect(address, TIMEOUT, Limits::for_responses()).await.unwrap()
}

async fn wait_for_first_byte(peer: &std::net::TcpStream) {
    peer.set_nonblocking(true).unwrap();
    while peer.peek(&mut [0]).is_err() {
        monoio::time::sleep(Duration::from_millis(1)).await;
    }
}

async fn close_after_first_byte(peer: std::net::TcpStream) {
    wait_for_first_byte(&peer).await;
    drop(peer);
    std::future::pending().await
}

/// Guards against a wrong `sent` flag: it must be false on an idle connection that the peer has
/// closed, and true once a part of the call may have been sent.
#[test]
fn target_connection_reports_whether_bytes_were_sent() {
    let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let (closed, cut, cancelled) = block_on(async move {
        let mut first = connect(address).await;
        drop(listener.accept().unwrap());
        let mut call = Call::new(Method::POST, Uri::from_static("/a"));
        let closed = first.exchange(&call).await.unwrap_err();

        let mut second = connect(address).await;
        let peer = listener.accept().unwrap().0;
        // Larger than the buffers of both sides, so that the peer closes within the body.
        call.body = vec![b'x'; 64 << 20].into();
        let cut = monoio::select! {
            result = second.exchange(&call) => result.unwrap_err(),
            () = close_after_first_byte(peer) => unreachable!("the exchange ends first"),
        };

        let mut third = connect(address).await;
        let peer = listener.accept().unwrap().0;
        monoio::select! {
            _ = third.exchange(&call) => unreachable!("the peer does not read the call"),
            () = wait_for_first_byte(&peer) => {}
        }
        (closed, cut, (third.maybe_sent(), third.is_reusable()))
    })
    .unwrap();

    assert_eq!(closed, ExchangeError { fault: Fault::Closed, maybe_sent: false });
    assert_eq!(cut, ExchangeError { fault: Fault::Closed, maybe_sent: true });
    assert_eq!(cancelled, (true, false));
}

/// Guards against an exchange on a connection whose previous exchange was cancelled.
#[test]
fn connection_of_a_cancelled_exchange_is_not_reused() {
    let server = RawServer::start("", AfterReply::KeepOpen);
    let second = block_on(async {
        let mut connection = connect(server.address).await;
        let call = Call::new(Method::GET, Uri::from_static("/a"));
        let received = async {
            while server.requests().is_empty() {
                monoio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        monoio::select! {
            _ = connection.exchange(&call) => unreachable!("the server does not answer"),
            () = received => {}
        }
        connection.exchange(&call).await
    });
    assert_eq!(
        second.unwrap().unwrap_err(),
        ExchangeError { fault: Fault::Closed, maybe_sent: false }
    );
    assert_eq!(server.requests().len(), 1);
}
