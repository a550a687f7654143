//! The configuration of entry processes whose log drops records after a short retention.

mod fixture;

use std::time::Duration;

use cornellink::edge::http_log::HttpLog;
use cornellink::edge::log::Log;
use cornellink::edge::stand_in::hosted::host_platform;
use cornellink::edge::stand_in::log::LogFaults;
use cornellink::prelude::*;
use cornellink::process::runtime::block_on;
use cornellink::version::record::{ConfigRecord, PublishRecord, STREAM};
use fixture::admin::{status, wait_revision};
use fixture::entry_process::EntryProcess;
use fixture::stream::document;

const RETENTION: Duration = Duration::from_millis(1500);
const TIMEOUT: Duration = Duration::from_secs(5);

fn start(name: &str, platform: SocketAddr) -> EntryProcess {
    let retention = RETENTION.as_millis() as u64;
    EntryProcess::start_with(name, "a", platform, serde_json::json!({ "retentionMs": retention }))
}

fn publish(platform: SocketAddr, format: u32, replaces: u64) -> Result<u64, Error> {
    let record = ConfigRecord::Publish(PublishRecord {
        format,
        environment: "trial".into(),
        author: "test".into(),
        nonce: replaces + 100,
        replaces,
        text: document("trial", replaces),
    });
    let log = HttpLog::new(platform, TIMEOUT);
    block_on(async move { log.append(STREAM, vec![record.encode()]).await })?
}

fn first_offset(platform: SocketAddr) -> u64 {
    let log = HttpLog::new(platform, TIMEOUT);
    block_on(async move { log.read(STREAM, 0, Duration::ZERO).await }).unwrap().unwrap().first
}

/// Guards against a document that is not renewed: the log drops it after the retention, and an
/// entry that starts later has no document.
#[test]
fn entry_started_after_retention_reads_renewed_document() {
    let (_platform, platform) = host_platform(RETENTION).unwrap();
    let first_entry = start("renewing", platform);
    publish(platform, 1, 0).unwrap();
    wait_revision(first_entry.admin, 1);
    while first_offset(platform) < 2 {
        std::thread::sleep(Duration::from_millis(20));
    }

    let late_entry = start("late", platform);
    wait_revision(late_entry.admin, 1);
    publish(platform, 1, 1).unwrap();

    wait_revision(late_entry.admin, 2);
    wait_revision(first_entry.admin, 2);
}

/// Guards against an entry that loses its document in a log outage longer than the retention, and
/// against a document that cannot be replaced after such an outage.
#[test]
fn document_survives_log_outage_longer_than_retention() {
    let (host, platform) = host_platform(RETENTION).unwrap();
    let entry = start("outage", platform);
    publish(platform, 1, 0).unwrap();
    wait_revision(entry.admin, 1);
    host.with(|service| {
        service.log.set_faults(LogFaults { down: true, ..LogFaults::default() });
    });
    std::thread::sleep(RETENTION + RETENTION / 2);
    assert_eq!(status(entry.admin)["revision"], 1);
    assert!(status(entry.admin)["configuration"]["logFault"].is_string());

    host.with(|service| service.log.set_faults(LogFaults::default()));
    publish(platform, 1, 1).unwrap();

    wait_revision(entry.admin, 2);
    let late = start("after-outage", platform);
    wait_revision(late.admin, 2);
}

/// Guards against an entry that silently ignores a document of a newer format.
#[test]
fn document_of_unknown_format_is_refused_and_reported() {
    let (_platform, platform) = host_platform(RETENTION).unwrap();
    let entry = start("formats", platform);
    publish(platform, 1, 0).unwrap();
    wait_revision(entry.admin, 1);

    publish(platform, 2, 1).unwrap();
    while status(entry.admin)["configuration"]["unknownFormat"] != 2 {
        std::thread::sleep(Duration::from_millis(5));
    }

    let status = status(entry.admin);
    assert_eq!(status["revision"], 1);
    assert_eq!(status["configuration"]["refusals"][0]["verdict"], "unknownFormat");
}
