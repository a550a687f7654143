//! Fetching documents from peers while the log is down, and key rotation, with entry processes.

mod fixture;

use cornellink::connection::client::Client;
use cornellink::edge::log::Log;
use cornellink::edge::stand_in::host::Host;
use cornellink::edge::stand_in::hosted::{host_platform, host_targets};
use cornellink::edge::stand_in::log::{LogFaults, MemoryLog};
use cornellink::edge::stand_in::service::PlatformService;
use cornellink::prelude::*;
use cornellink::process::config_stream;
use cornellink::process::peers::settings::PeerSettings;
use cornellink::process::runtime::block_on;
use cornellink::request::header;
use cornellink::version::record::{ConfigRecord, PublishRecord, STREAM};
use fixture::entry_process::EntryProcess;
use fixture::free_address;
use fixture::keys::{peers_section, Keys, DAY};
use fixture::node::{document, revision, start_node, wait_until};

const RETENTION: Duration = Duration::from_secs(3600);
const TIMEOUT: Duration = Duration::from_secs(5);

fn set_log_down(platform: &Host<Rc<PlatformService>>, down: bool) {
    platform.with(move |service| {
        service.log.set_faults(LogFaults { down, ..Default::default() });
    });
}

fn record(replaces: u64, nonce: u64, targets: &[SocketAddr]) -> Bytes {
    let record = ConfigRecord::Publish(PublishRecord {
        format: 1,
        environment: "trial".into(),
        author: "test".into(),
        nonce,
        replaces,
        text: document(targets),
    });
    record.encode()
}

fn publish(platform: &Host<Rc<PlatformService>>, replaces: u64, targets: &[SocketAddr]) {
    let record = record(replaces, replaces + 1, targets);
    platform.with(move |service| {
        let log = service.log.clone();
        monoio::spawn(async move { log.append(STREAM, vec![record]).await });
    });
}

async fn get(address: SocketAddr, path: &'static str) -> Option<Answer> {
    let call = Call::new(Method::GET, Uri::from_static(path));
    Client::new(address, TIMEOUT).call(&call).await.ok()
}

async fn status(entry: &EntryProcess) -> serde_json::Value {
    let answer = get(entry.admin, "/status").await;
    let status = answer.and_then(|answer| serde_json::from_slice(&answer.body).ok());
    status.unwrap_or_default()
}

async fn wait_status(entry: &EntryProcess, pointer: &str, value: serde_json::Value) {
    let end = Instant::now() + Duration::from_secs(30);
    loop {
        let status = status(entry).await;
        if status.pointer(pointer) == Some(&value) {
            return;
        }
        assert!(Instant::now() < end, "timed out waiting for `{pointer}`: {status}");
        monoio::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn call(entry: &EntryProcess) -> Answer {
    let mut call = Call::new(Method::GET, Uri::from_static("/tickets/7"));
    call.set_header(header::WORKSPACE, "north");
    Client::new(entry.listen, TIMEOUT).call(&call).await.unwrap()
}

/// Guards against an entry that stays unready without the log although a peer has the document,
/// that is ready without a document, or that does not resume reading the log when it is back.
#[test]
fn entry_without_the_log_fetches_the_document_from_a_peer() {
    let (platform, address) = host_platform(RETENTION).unwrap();
    let (_targets, targets) = host_targets(1, 3, Duration::from_millis(1)).unwrap();
    let keys = Keys::new();
    let (one, two) = (free_address(), free_address());
    let start = |name: &str, peers: Option<&PeerSettings>| {
        EntryProcess::start_with(name, "a", address, peers_section(peers))
    };
    let first = start("doc-1", Some(&keys.settings("doc-1", one, &[])));
    publish(&platform, 0, &targets);

    block_on(async move {
        wait_status(&first, "/revision", 1.into()).await;
        set_log_down(&platform, true);
        let second = start("doc-2", Some(&keys.settings("doc-2", two, &[one])));
        let alone = start("doc-3", None);
        wait_status(&second, "/revision", 1.into()).await;
        assert_eq!(call(&second).await.header(header::CODE), Some("100"));
        wait_status(&second, "/peers/connected", serde_json::json!(["doc-1"])).await;

        wait_status(&alone, "/peers/enabled", false.into()).await;
        assert_eq!(call(&alone).await.header(header::CODE), Some("600"));
        let ready = get(alone.admin, "/ready").await.unwrap();
        assert_eq!(ready.header(header::CODE), Some("600"));

        set_log_down(&platform, false);
        publish(&platform, 1, &targets);
        for entry in [&first, &second, &alone] {
            wait_status(entry, "/revision", 2.into()).await;
        }
    })
    .unwrap();
}

/// Guards against a key rotation that fails calls.
#[test]
fn key_rotation_fails_no_call() {
    let (platform, address) = host_platform(RETENTION).unwrap();
    let (_targets, targets) = host_targets(1, 3, Duration::from_millis(1)).unwrap();
    let (keys, next) = (Keys::new(), Keys::new());
    let addresses = [("turn-1", free_address()), ("turn-2", free_address())];
    let entries = addresses.map(|(name, own)| {
        let known = addresses.map(|(_, address)| address);
        EntryProcess::start_with(
            name,
            "a",
            address,
            peers_section(Some(&keys.settings(name, own, &known))),
        )
    });
    publish(&platform, 0, &targets);

    block_on(async move {
        for entry in &entries {
            wait_status(entry, "/revision", 1.into()).await;
        }
        wait_status(&entries[0], "/peers/connected", serde_json::json!(["turn-2"])).await;
        for step in 0..3 {
            match step {
                0 => keys.trust(&[&keys.authority, &next.authority]),
                1 => addresses.iter().for_each(|(name, _)| keys.issue(&next.authority, name, DAY)),
                _ => keys.trust(&[&next.authority]),
            }
            let changed = format!("cornellink_peer_key_changes_total {}", step + 1);
            for entry in &entries {
                let end = Instant::now() + Duration::from_secs(30);
                loop {
                    assert!(Instant::now() < end, "timed out waiting for step {step}");
                    assert_eq!(call(entry).await.header(header::CODE), Some("100"));
                    let metrics = get(entry.admin, "/metrics").await.unwrap();
                    if String::from_utf8_lossy(&metrics.body).contains(&changed) {
                        break;
                    }
                }
            }
        }
        wait_status(&entries[0], "/peers/connected", serde_json::json!(["turn-2"])).await;
        wait_status(&entries[1], "/peers/connected", serde_json::json!(["turn-1"])).await;
    })
    .unwrap();
}

/// Guards against an entry that keeps a peer's document although the log has a later revision, and
/// against one that reads the log from its start and returns to an older revision than a peer's.
#[test]
fn log_replaces_a_peers_document_only_by_later_revisions() {
    let target = SocketAddr::from(([127, 0, 0, 1], 1));
    block_on(async move {
        let log = Rc::new(MemoryLog::new(RETENTION));
        let keys = Keys::new();
        let node = |name: &str| {
            start_node(name, "a", keys.settings(name, free_address(), &[]), Rc::default())
        };
        let (behind, ahead) = (node("behind"), node("ahead"));
        assert!(config_stream::install(&behind, &revision(1, 11, &[target])));
        assert!(config_stream::install(&ahead, &revision(2, 22, &[target])));
        for (replaces, nonce) in [(0, 11), (1, 22)] {
            log.append(STREAM, vec![record(replaces, nonce, &[target])]).await.unwrap();
        }
        monoio::spawn(config_stream::follow(behind.clone(), log.clone()));
        monoio::spawn(config_stream::follow(ahead.clone(), log.clone()));
        let in_force = |entry: &cornellink::process::entry::Entry| {
            entry.revision().map(|revision| (revision.number, revision.nonce)).unwrap()
        };
        wait_until("the log's revision 2 is in force", || in_force(&behind) == (2, 22)).await;
        assert_eq!(in_force(&ahead), (2, 22));
        log.append(STREAM, vec![record(2, 44, &[target])]).await.unwrap();
        wait_until("the log's revision 3 is in force", || in_force(&ahead) == (3, 44)).await;
        wait_until("the log's revision 3 is in force", || in_force(&behind) == (3, 44)).await;
        assert!(!config_stream::install(&ahead, &revision(2, 22, &[target])));
    })
    .unwrap();
}
