//! The whole path of a call through an entry process.

mod fixture;

use std::time::Duration;

use cornellink::connection::client::Client;
use cornellink::edge::stand_in::hosted::host_targets;
use cornellink::prelude::*;
use cornellink::process::runtime::block_on;
use cornellink::request::header;
use fixture::served::Published;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Guards against a break anywhere on the path from a caller to a target and back.
#[test]
fn call_is_answered_by_the_target() {
    let (_targets, targets) = host_targets(1, 3, Duration::from_millis(1)).unwrap();
    let entry = Published::new(&targets);
    let entry = entry.entry("path", serde_json::json!({}));
    let mut call = Call::new(Method::GET, Uri::from_static("/tickets/7"));
    call.set(header::WORKSPACE, "north");

    let answer = block_on(Client::new(entry.listen, TIMEOUT).call(&call)).unwrap().unwrap();

    assert_eq!(answer.header(header::CODE), Some("100"));
    assert_eq!(answer.body, "GET /tickets/7 ");
}
