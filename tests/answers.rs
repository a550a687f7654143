//! Responses with unusual or faulty framing, and whether their connection is reused.

mod fixture;

use std::time::Duration;

use cornellink::connection::fault::{ExchangeError, Fault};
use cornellink::connection::limits::Limits;
use cornellink::connection::target::TargetConnection;
use cornellink::prelude::*;
use cornellink::process::runtime::block_on;
use fixture::raw::{AfterReply, RawServer};

const TIMEOUT: Duration = Duration::from_secs(5);

/// The expected result of an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Expected {
    /// A fault, after which the connection is not reusable.
    Fault(Fault),
    /// This body, on a connection that can be reused.
    Reusable(&'static str),
    /// This body, on a connection that cannot be reused.
    NotReusable(&'static str),
}
use Expected::{NotReusable, Reusable};

struct Observed {
    result: Result<Answer, ExchangeError>,
    reusable: bool,
}

fn exchange(reply: &[u8], after: AfterReply, method: Method) -> Observed {
    let server = RawServer::start(reply, after);
    let limits = Limits { head_timeout: Duration::from_millis(200), ..Limits::for_responses() };
    block_on(async move {
        let connection = TargetConnection::connect(server.address, TIMEOUT, limits);
        let mut connection = connection.await.unwrap();
        let result = connection.exchange(&Call::new(method, Uri::from_static("/a"))).await;
        Observed { result, reusable: connection.is_reusable() }
    })
    .unwrap()
}

fn check(reply: &[u8], after: AfterReply, method: &Method, expected: Expected) {
    let reply_start = String::from_utf8_lossy(&reply[..reply.len().min(120)]).into_owned();
    let observed = exchange(reply, after, method.clone());
    match expected {
        Expected::Fault(fault) => {
            assert_eq!(
                observed.result.unwrap_err(),
                ExchangeError { fault, maybe_sent: true },
                "{reply_start}"
            );
            assert!(!observed.reusable, "{reply_start}");
        }
        Reusable(body) | NotReusable(body) => {
            assert_eq!(observed.result.expect(&reply_start).body, body, "{reply_start}");
            assert_eq!(observed.reusable, expected == Reusable(body), "{reply_start}");
        }
    }
}

fn check_all(after: AfterReply, method: &Method, cases: &[(&str, Expected)]) {
    for (reply, expected) in cases {
        check(reply.as_bytes(), after, method, *expected);
    }
}

/// Guards against rejecting a complete response, and against reusing a connection that the server
/// closes or on which a body may still follow.
#[test]
fn complete_responses_are_accepted() {
    let cases = [
        ("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab", Reusable("ab")),
        ("HTTP/1.1 200 OK\r\nConTent-LengTH:\t2 \r\n\r\nab", Reusable("ab")),
        ("HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: x, Close\r\n\r\nab", NotReusable("ab")),
        ("HTTP/1.0 200 OK\r\ncontent-length: 2\r\n\r\nab", NotReusable("ab")),
        ("HTTP/1.1 204 No Content\r\n\r\n", Reusable("")),
        ("HTTP/1.1 304 Not Modified\r\ncontent-length: 9\r\n\r\n", NotReusable("")),
        ("HTTP/1.1 304 Not Modified\r\n\r\n", Reusable("")),
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", Reusable("ab")),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n1;x=\"y\"\r\na\r\n0\r\nt: u\r\n\r\n",
            Reusable("a"),
        ),
    ];
    check_all(AfterReply::KeepOpen, &Method::GET, &cases);
}

/// Guards against returning an interim response as the final one.
#[test]
fn interim_responses_are_skipped() {
    let last = "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na";
    let one = format!("HTTP/1.1 100 Continue\r\n\r\n{last}");
    let hints = "HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n".repeat(5);
    let several = format!("HTTP/1.1 100 Continue\r\n\r\n{hints}{last}");
    let endless = "HTTP/1.1 102 Processing\r\n\r\n".repeat(100);

    check(one.as_bytes(), AfterReply::KeepOpen, &Method::GET, Reusable("a"));
    check(several.as_bytes(), AfterReply::KeepOpen, &Method::GET, Reusable("a"));
    check(endless.as_bytes(), AfterReply::KeepOpen, &Method::GET, Expected::Fault(Fault::Framing));
}

/// Guards against waiting for a body, which a response to HEAD never has.
#[test]
fn responses_to_head_have_no_body() {
    let cases = [
        ("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n", NotReusable("")),
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", NotReusable("")),
        ("HTTP/1.1 200 OK\r\n\r\n", Reusable("")),
    ];
    check_all(AfterReply::KeepOpen, &Method::HEAD, &cases);
}

/// Guards against losing a body without a length, since the codec treats it as empty.
#[test]
fn response_without_length_ends_at_connection_close() {
    let cases = [
        ("HTTP/1.1 200 OK\r\n\r\nabc", NotReusable("abc")),
        ("HTTP/1.0 200 OK\r\n\r\nabc", NotReusable("abc")),
        ("HTTP/1.1 200 OK\r\n\r\n", NotReusable("")),
    ];
    check_all(AfterReply::Close, &Method::GET, &cases);
}

/// Guards against returning a truncated response as a complete one.
#[test]
fn truncated_responses_are_rejected() {
    let cases = [
        ("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nab", Expected::Fault(Fault::Truncated)),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nab",
            Expected::Fault(Fault::Truncated),
        ),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n",
            Expected::Fault(Fault::Truncated),
        ),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n",
            Expected::Fault(Fault::Truncated),
        ),
        ("HTTP/1.1 200 OK\r\ncontent-le", Expected::Fault(Fault::Truncated)),
        ("HTTP/1.1 100 Continue\r\n\r\n", Expected::Fault(Fault::Closed)),
        ("", Expected::Fault(Fault::Closed)),
    ];
    check_all(AfterReply::Close, &Method::GET, &cases);
}

/// Guards against accepting a response that two HTTP implementations would frame differently.
#[test]
fn ambiguous_responses_are_rejected() {
    let heads = [
        "content-length: 1\r\ncontent-length: 1\r\n\r\na",
        "content-length: 1\r\ncontent-length: 2\r\n\r\nab",
        "content-length: 1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        "transfer-encoding: identity\r\n\r\na",
        "transfer-encoding: xchunked\r\n\r\n0\r\n\r\n",
        "transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "content-length: +1\r\n\r\na",
        "content-length : 1\r\n\r\na",
        "a: b\r\n c\r\ncontent-length: 1\r\n\r\na",
        "a: b\nc: d\r\ncontent-length: 1\r\n\r\na",
        "a: b\0\r\ncontent-length: 1\r\n\r\na",
        "transfer-encoding: chunked\r\n\r\n1\na\r\n0\r\n\r\n",
        "transfer-encoding: chunked\r\n\r\n1\r\nabc\r\n0\r\n\r\n",
    ];
    for head in heads {
        let reply = format!("HTTP/1.1 200 OK\r\n{head}");
        check(
            reply.as_bytes(),
            AfterReply::KeepOpen,
            &Method::GET,
            Expected::Fault(Fault::Framing),
        );
    }
    let cases = [
        ("HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", Expected::Fault(Fault::Framing)),
        ("HTTP/1.1 101 Switching Protocols\r\n\r\nab", Expected::Fault(Fault::Framing)),
        ("SSH-2.0-server\r\n\r\n", Expected::Fault(Fault::Framing)),
    ];
    check_all(AfterReply::KeepOpen, &Method::GET, &cases);
}

/// Guards against buffering without limit what a target sends.
#[test]
fn oversized_responses_are_rejected() {
    let fields = (0..97).map(|n| format!("h{n}: v\r\n")).collect::<String>();
    let cases = [
        (format!("a: {}", "x".repeat(40_000)), Fault::HeadTooLarge),
        ("a: b\r\n".repeat(5000), Fault::HeadTooLarge),
        (format!("{fields}content-length: 0\r\n\r\n"), Fault::Framing),
        ("content-length: 1000000000\r\n\r\n".into(), Fault::BodyTooLarge),
        ("transfer-encoding: chunked\r\n\r\n3b9aca00\r\n".into(), Fault::BodyTooLarge),
        ("transfer-encoding: chunked\r\n\r\nffffffffffffffff\r\n".into(), Fault::Framing),
        (format!("\r\n{}", "x".repeat(9_000_000)), Fault::BodyTooLarge),
        ("content-length: 1\r\n".into(), Fault::TooSlow),
    ];
    for (rest, fault) in cases {
        let reply = format!("HTTP/1.1 200 OK\r\n{rest}");
        check(reply.as_bytes(), AfterReply::KeepOpen, &Method::GET, Expected::Fault(fault));
    }
}

/// Guards against using a second response as the response to the next call.
#[test]
fn extra_bytes_prevent_connection_reuse() {
    let response = "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n";
    let twice = format!("{response}a{response}b");
    check(twice.as_bytes(), AfterReply::KeepOpen, &Method::GET, NotReusable("a"));
    check(
        format!("{response}abc").as_bytes(),
        AfterReply::KeepOpen,
        &Method::GET,
        NotReusable("a"),
    );
}

/// Guards against a late response that is returned to the next call on the same connection.
#[test]
fn late_bytes_fail_the_next_exchange_unsent() {
    use std::io::{Read, Write};
    let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let response = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na";
        let count = stream.read(&mut [0; 4096]).unwrap();
        stream.write_all(response).unwrap();
        std::thread::sleep(Duration::from_millis(20));
        stream.write_all(response).unwrap();
        let rest = stream.read(&mut [0; 4096]).unwrap_or(0);
        (count, rest)
    });

    let second = block_on(async move {
        let limits = Limits::for_responses();
        let connection = TargetConnection::connect(address, TIMEOUT, limits);
        let mut connection = connection.await.unwrap();
        let call = Call::new(Method::GET, Uri::from_static("/a"));
        connection.exchange(&call).await.unwrap();
        while connection.is_open() {
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
        connection.exchange(&call).await
    });

    assert_eq!(
        second.unwrap().unwrap_err(),
        ExchangeError { fault: Fault::Closed, maybe_sent: false }
    );
    assert_eq!(server.join().unwrap().1, 0, "no byte of the second call was sent");
}
