//! The whole path of a call through an entry process.

mod fixture;

use std::time::Duration;

use cornellink::connection::client::Client;
use cornellink::platform::http_log::HttpLog;
use cornellink::platform::log::Log;
use cornellink::platform::stand_in::hosted::{host_platform, host_targets};
use cornellink::prelude::*;
use cornellink::process::runtime::block_on;
use cornellink::request::header;
use cornellink::version::record::{ConfigRecord, PublishRecord, STREAM};
use fixture::entry_process::EntryProcess;

const TIMEOUT: Duration = Duration::from_secs(5);

fn document(target: SocketAddr) -> String {
    let document = serde_json::json!({
        "format": 1,
        "environment": "trial",
        "maxEntries": 16,
        "workspaces": [{ "name": "north", "weight": 1, "retryPercent": 10.0 }],
        "services": [{
            "name": "tickets", "prefix": "/tickets", "slots": 3, "connections": 200,
            "queue": 100, "probePercent": 1.0, "probeCostMs": 6,
            "classes": [{ "name": "lookup", "methods": ["GET"], "prefix": "/",
                          "deadlineMs": 1000, "idempotent": true }],
            "targets": [{ "address": target, "domain": "a" }],
        }],
    });
    document.to_string()
}

async fn publish(platform: SocketAddr, text: String) {
    let record = ConfigRecord::Publish(PublishRecord {
        format: 1,
        environment: "trial".into(),
        author: "test".into(),
        nonce: 1,
        replaces: 0,
        text,
    });
    let log = HttpLog::new(platform, TIMEOUT);
    log.append(STREAM, vec![record.encode()]).await.expect("the log takes the record");
}

async fn wait_ready(admin: SocketAddr) {
    let client = Client::new(admin, TIMEOUT);
    let call = Call::new(Method::GET, Uri::from_static("/ready"));
    loop {
        if client.call(&call).await.is_ok_and(|answer| answer.status == StatusCode::OK) {
            return;
        }
        monoio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against a break anywhere on the path from a caller to a target and back.
#[test]
fn call_is_answered_by_the_target() {
    let (_platform, platform) = host_platform(Duration::from_secs(3600)).unwrap();
    let (_targets, targets) = host_targets(1, 3, Duration::from_millis(1)).unwrap();
    let entry = EntryProcess::start("path", "a", platform);

    let answer = block_on(async move {
        publish(platform, document(targets[0])).await;
        wait_ready(entry.admin).await;
        let mut call = Call::new(Method::GET, Uri::from_static("/tickets/7"));
        call.set(header::WORKSPACE, "north");
        Client::new(entry.listen, TIMEOUT).call(&call).await.unwrap()
    });
    let answer = answer.unwrap();

    assert_eq!(answer.header(header::CODE), Some("100"));
    assert_eq!(answer.body, "GET /tickets/7 ");
}
