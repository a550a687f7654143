//! Servers that send one part of a response without end.

mod fixture;

use std::io::Write;
use std::net::TcpListener;
use std::sync::mpsc;
use std::thread;

use cornellink::connection::limits::Limits;
use cornellink::connection::target::TargetConnection;
use cornellink::prelude::*;
use cornellink::process::runtime::block_on;
use fixture::gateway::get;
use fixture::head::read_head;

const TIMEOUT: Duration = Duration::from_secs(5);
/// Most bytes that are read of one response: its head and body, and what is in the sockets' buffers.
const MAX_WRITTEN_BYTES: usize = 32 * 1024 * 1024;
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// Starts a server that responds with `start` and then repeats `part` until the connection is closed;
/// it reports the bytes that it has written.
fn start(start: String, part: &'static str) -> (SocketAddr, mpsc::Receiver<usize>) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        read_head(&mut stream).expect("the call arrives");
        let (mut written, block) = (start.len(), part.repeat(4096 / part.len()));
        stream.write_all(start.as_bytes()).unwrap();
        while stream.write_all(block.as_bytes()).is_ok() {
            written += block.len();
        }
        sender.send(written).unwrap();
    });
    (address, receiver)
}

/// Guards against any part of a response that is read without a limit: the memory fills until the server
/// stops. The client of the directory reads by the same code.
#[test]
fn every_part_of_a_response_is_bounded() {
    let parts = [
        ("status line", String::new(), "HTTP/1.1 200 O"),
        ("field", "HTTP/1.1 200 OK\r\nx: ".into(), "y"),
        ("fields", "HTTP/1.1 200 OK\r\n".into(), "x: y\r\n"),
        ("interim responses", String::new(), "HTTP/1.1 100 Continue\r\n\r\n"),
        ("body", "HTTP/1.1 200 OK\r\n\r\n".into(), "more"),
        ("stated body", "HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n".into(), "x"),
        ("chunks", CHUNKED.into(), "4\r\nmore\r\n"),
        ("chunk", format!("{CHUNKED}ffffffff\r\n"), "more"),
        ("chunk size", CHUNKED.into(), "0"),
        ("chunk extension", format!("{CHUNKED}4;"), "name=value;"),
        ("trailers", format!("{CHUNKED}0\r\n"), "x: y\r\n"),
        ("trailer", format!("{CHUNKED}0\r\nx: "), "y"),
    ];
    block_on(async {
        for (name, head, part) in parts {
            let (address, written) = start(head, part);
            let limits = Limits::for_responses();
            let mut connection = TargetConnection::connect(address, TIMEOUT, limits).await.unwrap();

            let call = get("/a/x", "c-1", 1000);
            let result = monoio::time::timeout(TIMEOUT, connection.exchange(&call)).await;
            drop(connection);

            assert!(result.expect("the response is given up").is_err(), "{name}");
            let bytes = written.recv_timeout(TIMEOUT).expect("the connection is closed");
            assert!(bytes < MAX_WRITTEN_BYTES, "{name}: {bytes} bytes");
        }
    })
    .unwrap();
}
