//! Responses that their target does not finish: after every byte of the head and the body the target
//! closes or resets the connection, or only ends its side.

mod fixture;

use std::io::Write;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::thread;

use cornellink::connection::limits::Limits;
use cornellink::connection::target::TargetConnection;
use cornellink::prelude::*;
use cornellink::process::runtime::block_on;
use fixture::head::read_head;
use rustix::net::sockopt;

const TIMEOUT: Duration = Duration::from_secs(5);
const BODY: &str = "abcdef";

/// How the target ends the connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Close,
    Reset,
    HalfClose,
}

/// How the response tells the end of its body.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Framing {
    Length,
    Chunked,
    UntilClose,
}

impl Framing {
    /// The head and the body of a successful response.
    fn response(self) -> (String, &'static str) {
        let head = "HTTP/1.1 200 OK\r\ncall-id: c-1\r\nseal: 1\r\n";
        match self {
            Self::Length => (format!("{head}content-length: 6\r\n\r\n"), BODY),
            Self::Chunked => {
                let body = "3\r\nabc\r\n3\r\ndef\r\n0\r\n\r\n";
                (format!("{head}transfer-encoding: chunked\r\n\r\n"), body)
            }
            Self::UntilClose => (format!("{head}\r\n"), BODY),
        }
    }
}

/// Starts a target that responds to its only call with `response`, and then ends the connection.
fn start(response: Vec<u8>, end: End) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        read_head(&mut stream).expect("the call arrives");
        stream.write_all(&response).unwrap();
        end_connection(stream, end);
    });
    address
}

fn end_connection(mut stream: TcpStream, end: End) {
    match end {
        End::Close => {}
        End::Reset => {
            let linger = Some(Duration::ZERO);
            sockopt::set_socket_linger(stream.as_fd(), linger).expect("the option is known");
        }
        End::HalfClose => {
            let _ = stream.shutdown(Shutdown::Write);
            // Returns when the other side closes the connection.
            let _ = read_head(&mut stream);
        }
    }
}

/// The body of the response of a target that ends the connection after `response`.
fn exchange(response: &[u8], end: End) -> Option<Bytes> {
    let address = start(response.to_vec(), end);
    block_on(async move {
        let limits = Limits::for_responses();
        let mut connection = TargetConnection::connect(address, TIMEOUT, limits).await.unwrap();
        let call = Call::new(Method::GET, Uri::from_static("/a/x"));
        connection.exchange(&call).await.ok().map(|response| response.body)
    })
    .unwrap()
}

/// Guards against a response that its target has not finished and that is passed on as whole: with
/// an empty or a short body, or with the end of its head missing.
#[test]
fn response_that_ends_early_is_not_passed_on_as_whole() {
    for framing in [Framing::Length, Framing::Chunked] {
        let (head, body) = framing.response();
        let response = head + body;
        for end in [End::Close, End::Reset, End::HalfClose] {
            for sent in 0..response.len() {
                let found = exchange(&response.as_bytes()[..sent], end);
                assert_eq!(found, None, "{framing:?}, {end:?} after {sent} bytes");
            }
        }
        assert_eq!(exchange(response.as_bytes(), End::Close).as_deref(), Some(BODY.as_bytes()));
    }
}

/// Guards against a response without a length that is taken as whole when its head is incomplete or
/// its connection is reset.
#[test]
fn response_without_a_length_is_whole_only_at_the_regular_end_of_its_connection() {
    let (head, body) = Framing::UntilClose.response();
    let head_length = head.len();
    let response = head + body;
    for sent in 0..=response.len() {
        let bytes = &response.as_bytes()[..sent];
        assert_eq!(exchange(bytes, End::Reset), None, "reset after {sent} bytes");
        for end in [End::Close, End::HalfClose] {
            let found = exchange(bytes, end);
            assert_eq!(found.is_some(), sent >= head_length, "{end:?} after {sent} bytes");
        }
    }
}
