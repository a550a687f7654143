//! Responses whose status lies outside of the classes of HTTP.

mod fixture;

use std::io::Write;
use std::net::TcpListener;
use std::thread;

use cornellink::connection::fault::Fault;
use cornellink::connection::limits::Limits;
use cornellink::connection::target::TargetConnection;
use cornellink::edge::directory::{DecodedChange, Feed};
use cornellink::prelude::*;
use cornellink::process::runtime::block_on;
use fixture::gateway::{get, idempotent_route, non_idempotent_route, until, TestGateway};
use fixture::head::read_head;
use fixture::registry::target;
use fixture::scripted::{Script, ScriptedTarget};

const TIMEOUT: Duration = Duration::from_secs(5);
/// Statuses of no class, and some that are hardly numbers.
const UNKNOWN: [&str; 11] =
    ["000", "001", "010", "099", "600", "601", "999", "00", "0200", "-20", "2oo"];

/// Starts a server that responds to its only call with this status.
fn start(status: &str) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let fields = "call-id: c-1\r\nseal: 1\r\ncontent-length: 4";
    let response = format!("HTTP/1.1 {status} Odd\r\n{fields}\r\n\r\nbody");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        read_head(&mut stream).expect("the call arrives");
        stream.write_all(response.as_bytes()).unwrap();
        // Returns when the other side closes the connection.
        let _ = read_head(&mut stream);
    });
    address
}

/// The status of the response to a call, or the fault.
async fn exchange(status: &str) -> std::result::Result<u16, Fault> {
    let address = start(status);
    let limits = Limits::for_responses();
    let mut connection = TargetConnection::connect(address, TIMEOUT, limits).await.unwrap();
    let response = connection.exchange(&get("/a/x", "c-1", 1000)).await;
    response.map(|response| response.status.as_u16()).map_err(|error| error.fault)
}

/// Guards against a status of no class that is taken for a response.
#[test]
fn statuses_of_no_class_are_faults() {
    block_on(async {
        for status in UNKNOWN {
            assert_eq!(exchange(status).await, Err(Fault::Framing), "{status}");
        }
        for status in ["200", "299", "304", "418", "500", "599"] {
            assert_eq!(exchange(status).await, Ok(status.parse().unwrap()), "{status}");
        }
    })
    .unwrap();
}

/// Guards against such a status at the caller: a call that may be repeated gets the response of another
/// target, and any other learns that its outcome is unknown.
#[test]
fn callers_get_no_status_of_no_class() {
    let healthy = ScriptedTarget::start("sound", Script::Respond, "1,0,4,150");
    block_on(async move {
        for status in ["000", "999"] {
            for (route, expected) in [(idempotent_route(), 200), (non_idempotent_route(), 502)] {
                let odd = ScriptedTarget::start("odd", Script::OddStatus(status), "0,0,4,100");
                let is_idempotent = route.idempotent;
                let gateway = TestGateway::start(route, &[("odd", &odd)]).await;
                if is_idempotent {
                    let decoded = DecodedChange::Target(target("sound", "s", healthy.address));
                    gateway.directory.append(Feed::Targets, "sound", decoded);
                    let registry = &gateway.gateway.registry;
                    until("both targets are known", || registry.borrow().len() == 2).await;
                }

                let response = gateway.call("c-1").await;

                assert_eq!(response.status.as_u16(), expected, "{status}");
            }
        }
    })
    .unwrap();
}
