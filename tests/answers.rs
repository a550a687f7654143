//! Responses that the codec cannot be trusted with, and connections after them.

mod fixture;

use std::time::Duration;

use cornellink::connection::fault::{ExchangeError, Fault};
use cornellink::connection::limits::Limits;
use cornellink::connection::target::TargetConnection;
use cornellink::prelude::*;
use cornellink::process::runtime::block_on;
use fixture::raw::{RawServer, Then};

const TIMEOUT: Duration = Duration::from_secs(5);

/// What is expected of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Want {
    /// A fault, after which the connection is not reusable.
    Fault(Fault),
    /// A whole body on a connection that stays reusable.
    Kept(&'static str),
    /// A whole body on a connection that is not used again.
    Once(&'static str),
}
use Want::{Kept, Once};

struct Seen {
    result: Result<Answer, ExchangeError>,
    reusable: bool,
}

fn exchange(reply: &[u8], then: Then, method: Method) -> Seen {
    let server = RawServer::start(reply, then);
    let limits = Limits { head_timeout: Duration::from_millis(200), ..Limits::for_responses() };
    block_on(async move {
        let connection = TargetConnection::connect(server.address, TIMEOUT, limits);
        let mut connection = connection.await.unwrap();
        let result = connection.exchange(&Call::new(method, Uri::from_static("/a"))).await;
        Seen { result, reusable: connection.is_reusable() }
    })
    .unwrap()
}

fn check(reply: &[u8], then: Then, method: &Method, want: Want) {
    let shown = String::from_utf8_lossy(&reply[..reply.len().min(120)]).into_owned();
    let seen = exchange(reply, then, method.clone());
    match want {
        Want::Fault(fault) => {
            assert_eq!(
                seen.result.unwrap_err(),
                ExchangeError { fault, maybe_sent: true },
                "{shown}"
            );
            assert!(!seen.reusable, "{shown}");
        }
        Kept(body) | Once(body) => {
            assert_eq!(seen.result.expect(&shown).body, body, "{shown}");
            assert_eq!(seen.reusable, want == Kept(body), "{shown}");
        }
    }
}

fn check_all(then: Then, method: &Method, cases: &[(&str, Want)]) {
    for (reply, want) in cases {
        check(reply.as_bytes(), then, method, *want);
    }
}

/// Guards against a complete response that is refused or whose connection is used wrongly.
#[test]
fn whole_answers_are_read() {
    let cases = [
        ("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab", Kept("ab")),
        ("HTTP/1.1 200 OK\r\nConTent-LengTH:\t2 \r\n\r\nab", Kept("ab")),
        ("HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: x, Close\r\n\r\nab", Once("ab")),
        ("HTTP/1.0 200 OK\r\ncontent-length: 2\r\n\r\nab", Once("ab")),
        ("HTTP/1.1 204 No Content\r\n\r\n", Kept("")),
        ("HTTP/1.1 304 Not Modified\r\ncontent-length: 9\r\n\r\n", Once("")),
        ("HTTP/1.1 304 Not Modified\r\n\r\n", Kept("")),
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", Kept("ab")),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n1;x=\"y\"\r\na\r\n0\r\nt: u\r\n\r\n",
            Kept("a"),
        ),
    ];
    check_all(Then::Hold, &Method::GET, &cases);
}

/// Guards against an interim response that is passed on as the final one.
#[test]
fn interim_answers_are_skipped() {
    let last = "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na";
    let one = format!("HTTP/1.1 100 Continue\r\n\r\n{last}");
    let hints = "HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n".repeat(5);
    let several = format!("HTTP/1.1 100 Continue\r\n\r\n{hints}{last}");
    let endless = "HTTP/1.1 102 Processing\r\n\r\n".repeat(100);

    check(one.as_bytes(), Then::Hold, &Method::GET, Kept("a"));
    check(several.as_bytes(), Then::Hold, &Method::GET, Kept("a"));
    check(endless.as_bytes(), Then::Hold, &Method::GET, Want::Fault(Fault::Framing));
}

/// Guards against waiting for the body that a response to HEAD never has.
#[test]
fn head_answers_have_no_body() {
    let cases = [
        ("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n", Once("")),
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", Once("")),
        ("HTTP/1.1 200 OK\r\n\r\n", Kept("")),
    ];
    check_all(Then::Hold, &Method::HEAD, &cases);
}

/// Guards against a body without a length that is lost, since the codec takes it for empty.
#[test]
fn answer_without_length_ends_with_the_connection() {
    let cases = [
        ("HTTP/1.1 200 OK\r\n\r\nabc", Once("abc")),
        ("HTTP/1.0 200 OK\r\n\r\nabc", Once("abc")),
        ("HTTP/1.1 200 OK\r\n\r\n", Once("")),
    ];
    check_all(Then::Close, &Method::GET, &cases);
}

/// Guards against a truncated response that is passed on as a whole one.
#[test]
fn truncated_answers_are_faults() {
    let cases = [
        ("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nab", Want::Fault(Fault::Truncated)),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nab",
            Want::Fault(Fault::Truncated),
        ),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n",
            Want::Fault(Fault::Truncated),
        ),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n",
            Want::Fault(Fault::Truncated),
        ),
        ("HTTP/1.1 200 OK\r\ncontent-le", Want::Fault(Fault::Truncated)),
        ("HTTP/1.1 100 Continue\r\n\r\n", Want::Fault(Fault::Closed)),
        ("", Want::Fault(Fault::Closed)),
    ];
    check_all(Then::Close, &Method::GET, &cases);
}

/// Guards against a response that two readers would frame differently.
#[test]
fn ambiguous_answers_are_faults() {
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
        check(reply.as_bytes(), Then::Hold, &Method::GET, Want::Fault(Fault::Framing));
    }
    let cases = [
        ("HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", Want::Fault(Fault::Framing)),
        ("HTTP/1.1 101 Switching Protocols\r\n\r\nab", Want::Fault(Fault::Framing)),
        ("SSH-2.0-server\r\n\r\n", Want::Fault(Fault::Framing)),
    ];
    check_all(Then::Hold, &Method::GET, &cases);
}

/// Guards against memory that grows with what a target sends.
#[test]
fn oversized_answers_are_faults() {
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
        check(reply.as_bytes(), Then::Hold, &Method::GET, Want::Fault(fault));
    }
}

/// Guards against a second response that is taken for the answer to the next call.
#[test]
fn extra_bytes_end_the_connection() {
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n";
    let twice = format!("{answer}a{answer}b");
    check(twice.as_bytes(), Then::Hold, &Method::GET, Once("a"));
    check(format!("{answer}abc").as_bytes(), Then::Hold, &Method::GET, Once("a"));
}

/// Guards against a late response that reaches the next caller on the same connection.
#[test]
fn late_bytes_are_noticed_before_the_next_call() {
    use std::io::{Read, Write};
    let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na";
        let count = stream.read(&mut [0; 4096]).unwrap();
        stream.write_all(answer).unwrap();
        std::thread::sleep(Duration::from_millis(20));
        stream.write_all(answer).unwrap();
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
