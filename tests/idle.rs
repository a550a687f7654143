//! Idle connections from callers, whose time may change.

use std::io::Write;
use std::net::TcpStream;

use cornellink::connection::caller::CallerConnection;
use cornellink::connection::limits::Limits;
use cornellink::connection::server;
use cornellink::prelude::*;
use cornellink::process::runtime::block_on;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn limits(idle: u64) -> Limits {
    Limits { idle_time: ms(idle), ..Limits::default() }
}

/// Reads a call that comes after 400 ms on a connection whose idle time changes after 100 ms.
fn late_call(idle: u64, changed: u64) -> bool {
    block_on(async move {
        let listener = server::bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        let mut caller = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        let shared = Rc::new(Cell::new(limits(idle)));
        let mut connection = CallerConnection::with_limits(stream, shared.clone());
        let change = async {
            monoio::time::sleep(ms(100)).await;
            shared.set(limits(changed));
            monoio::time::sleep(ms(300)).await;
            let _ = caller.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n");
        };
        let (call, ()) = monoio::join!(connection.next(), change);
        call.is_ok()
    })
    .unwrap()
}

/// Guards against a connection that ends by an old idle time while its caller relies on the new
/// one.
#[test]
fn idle_time_that_grows_holds_for_open_connections() {
    assert!(late_call(200, 5000));
    assert!(!late_call(200, 200));
}
