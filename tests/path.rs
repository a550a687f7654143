//! End-to-end path of a call through an entry process.

mod fixture;

use std::time::Duration;

use cornellink::connection::client::Client;
use cornellink::edge::stand_in::hosted::host_targets;
use cornellink::prelude::*;
use cornellink::process::runtime::block_on;
use cornellink::request::header;
use fixture::served::Published;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Guards against a failure anywhere on the path from a caller to a target and back.
#[test]
fn call_through_an_entry_gets_the_targets_response() {
    let (_targets, targets) = host_targets(1, 3, Duration::from_millis(1)).unwrap();
    let published = Published::new(&targets);
    let entry = published.entry("path", serde_json::json!({}));
    let mut call = Call::new(Method::GET, Uri::from_static("/tickets/7"));
    call.set_header(header::WORKSPACE, "north");

    let response = block_on(Client::new(entry.listen, TIMEOUT).call(&call)).unwrap().unwrap();

    assert_eq!(response.header(header::CODE), Some("100"));
    assert_eq!(response.body, "GET /tickets/7 ");
}
