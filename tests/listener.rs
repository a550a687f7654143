//! Listening sockets.

use cornellink::connection::server;
use cornellink::prelude::*;
use cornellink::process::runtime::block_on;

/// Guards against two processes that listen on the same port, so that callers of one reach the
/// other.
#[test]
fn second_listener_on_the_same_port_fails() {
    block_on(async {
        let first = server::bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        let address = first.local_addr().unwrap();

        let second = server::bind(address).err().map(|error| error.to_string());

        assert!(second.unwrap().contains(&format!("cannot bind `{address}`")));
        drop(first);
        assert!(server::bind(address).is_ok());
    })
    .unwrap();
}
