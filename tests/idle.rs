//! Idle connections from callers while their idle timeout changes.

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

fn limits(idle_ms: u64) -> Limits {
    Limits { idle_timeout: ms(idle_ms), ..Limits::default() }
}

/// Whether a call that arrives after 400 ms is read from a connection whose idle timeout changes
/// after 100 ms.
fn is_late_call_read(initial_ms: u64, changed_ms: u64) -> bool {
    block_on(async move {
        let listener = server::bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        let mut caller = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        let shared = Rc::new(Cell::new(limits(initial_ms)));
        let mut connection = CallerConnection::with_limits(stream, shared.clone());
        let change = async {
            monoio::time::sleep(ms(100)).await;
            shared.set(limits(changed_ms));
            monoio::time::sleep(ms(300)).await;
            let _ = caller.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n");
        };
        let (call, ()) = monoio::join!(connection.next_call(), change);
        call.is_ok()
    })
    .unwrap()
}

/// Guards against an open connection that is closed after the old idle timeout while its caller
/// relies on the new one.
#[test]
fn raised_idle_timeout_applies_to_open_connections() {
    assert!(is_late_call_read(200, 5000));
    assert!(!is_late_call_read(200, 200));
}
