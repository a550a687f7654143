//! Connections between entries and what they exchange: drain signals, load reports, documents and
//! claim queries.

mod fixture;

use cornellink::edge::vms::{Vm, VmRole};
use cornellink::prelude::*;
use cornellink::process::claims::key::Key;
use cornellink::process::config_stream::install;
use cornellink::process::entry::Entry;
use cornellink::process::outcome::TargetFeedback;
use cornellink::process::peers::message::{ClaimQuery, ClaimReply};
use cornellink::process::runtime::block_on;
use cornellink::process::target::LoadReport;
use fixture::free_address;
use fixture::keys::Keys;
use fixture::node::{revision, start_node, wait_until, FixedVms};

const TIMEOUT: Duration = Duration::from_secs(10);

fn vm(address: SocketAddr, domain: &str) -> Vm {
    Vm { address, domain: domain.into(), role: VmRole::Entry, draining: false }
}

fn targets(count: u16) -> Vec<SocketAddr> {
    (0..count).map(|index| SocketAddr::from(([10, 0, 0, 1], 1000 + index))).collect()
}

fn connected_names(entry: &Entry) -> Vec<String> {
    let links = entry.peers.links();
    let mut names: Vec<String> = links.iter().map(|link| link.hello.name.clone()).collect();
    names.sort();
    names
}

/// Starts entries from pairs of name and failure domain; they find each other through the list of
/// VMs.
fn start(keys: &Keys, locations: &[(&str, &str)]) -> (Vec<Rc<Entry>>, Rc<FixedVms>) {
    let addresses: Vec<SocketAddr> = locations.iter().map(|_| free_address()).collect();
    let list = Rc::new(FixedVms::default());
    for (address, (_, domain)) in addresses.iter().zip(locations) {
        list.0.borrow_mut().push(vm(*address, domain));
    }
    let start = |(address, (name, domain)): (&SocketAddr, &(&str, &str))| {
        start_node(name, domain, keys.settings(name, *address, &[]), list.clone())
    };
    (addresses.iter().zip(locations).map(start).collect(), list)
}

fn report(running: u32) -> LoadReport {
    LoadReport { running, queued: 0, slots: 3 }
}

/// Guards against entries of one failure domain with two connections between them, or none.
#[test]
fn entries_of_one_domain_keep_one_connection_to_each_other() {
    let keys = Keys::new();
    block_on(async move {
        let (entries, _list) = start(&keys, &[("one", "a"), ("two", "a"), ("three", "a")]);
        wait_until("all are connected", || {
            entries.iter().all(|entry| connected_names(entry).len() == 2)
        })
        .await;
        assert_eq!(connected_names(&entries[0]), ["three", "two"]);
        assert_eq!(connected_names(&entries[1]), ["one", "three"]);
    })
    .unwrap();
}

/// Guards against a full mesh between failure domains.
#[test]
fn each_entry_connects_to_one_peer_of_another_domain() {
    let keys = Keys::new();
    block_on(async move {
        let locations = [("a1", "a"), ("b1", "b"), ("b2", "b"), ("b3", "b"), ("b4", "b")];
        let (entries, _list) = start(&keys, &locations);
        let relay_peers = |entry: &Rc<Entry>| {
            entry.peers.links().iter().filter(|link| link.relay_requested.get()).count()
        };
        wait_until("each requests a relay from one peer of the other domain", || {
            entries.iter().all(|entry| relay_peers(entry) == 1)
        })
        .await;
        wait_until("each is connected in its domain", || {
            entries[1..].iter().all(|entry| connected_names(entry).len() >= 3)
        })
        .await;
    })
    .unwrap();
}

/// Guards against drain signals that reach only directly connected peers.
#[test]
fn drain_signal_reaches_another_domain() {
    let keys = Keys::new();
    block_on(async move {
        let (entries, _list) = start(&keys, &[("a1", "a"), ("a2", "a"), ("b1", "b")]);
        let all = targets(2);
        entries.iter().for_each(|entry| assert!(install(entry, &revision(1, 7, &all))));
        wait_until("all are connected", || {
            entries.iter().all(|entry| !connected_names(entry).is_empty())
        })
        .await;
        entries[0].scheduler.borrow_mut().mark_draining(all[0], Instant::now());
        let is_draining = |entry: &Rc<Entry>, address| {
            let scheduler = entry.scheduler.borrow();
            let key = scheduler.target_key(address).expect("the document has the target");
            scheduler.get(key).expect("the key is current").drain.is_draining()
        };
        for entry in &entries {
            wait_until("the target drains", || is_draining(entry, all[0])).await;
            assert!(!is_draining(entry, all[1]));
        }
    })
    .unwrap();
}

/// Guards against load reports that are lost or not relayed to another failure domain.
#[test]
fn load_report_reaches_peers_and_the_other_domain() {
    let keys = Keys::new();
    block_on(async move {
        let (entries, _list) = start(&keys, &[("a1", "a"), ("a2", "a"), ("b1", "b")]);
        let all = targets(3);
        entries.iter().for_each(|entry| assert!(install(entry, &revision(1, 7, &all))));
        wait_until("all are connected", || {
            entries.iter().all(|entry| connected_names(entry).len() >= 2)
        })
        .await;
        let received = |entry: &Rc<Entry>| entry.peers.load_reports.last_received(all[1]);
        let mut running = 0;
        wait_until("all entries have the report", || {
            running += 1;
            let feedback =
                TargetFeedback { report: Some(report(running)), ..TargetFeedback::default() };
            let mut scheduler = entries[0].scheduler.borrow_mut();
            let key = scheduler.target_key(all[1]).expect("the document has the target");
            scheduler.record_feedback(key, feedback, Instant::now());
            drop(scheduler);
            entries[1..].iter().all(|entry| received(entry).is_some())
        })
        .await;
    })
    .unwrap();
}

/// Guards against an entry that stays without a document although a peer has it, and against a
/// lower revision that replaces a higher one.
#[test]
fn document_is_fetched_from_the_peer_with_the_highest_revision() {
    let keys = Keys::new();
    block_on(async move {
        let (entries, _list) = start(&keys, &[("old", "a"), ("new", "a"), ("empty", "a")]);
        let all = targets(1);
        install(&entries[0], &revision(4, 44, &all));
        install(&entries[1], &revision(5, 55, &all));
        let number =
            |entry: &Rc<Entry>| entry.revision().map(|revision| (revision.number, revision.nonce));
        wait_until("all have revision 5", || {
            entries.iter().all(|entry| number(entry) == Some((5, 55)))
        })
        .await;
        assert!(!install(&entries[2], &revision(4, 44, &all)));
        assert_eq!(number(&entries[2]), Some((5, 55)));
    })
    .unwrap();
}

/// Guards against claim queries that the wrong entry answers, or none.
#[test]
fn claim_query_reaches_the_holder_in_another_domain() {
    let keys = Keys::new();
    block_on(async move {
        let locations = [("querying", "a"), ("b1", "b"), ("b2", "b"), ("b3", "b")];
        let (entries, _list) = start(&keys, &locations);
        for entry in &entries[1..] {
            let name = entry.settings.name.clone();
            entry.peers.set_claim_handler(Box::new(move |query: &ClaimQuery| {
                let body = format!("{name} {}", query.digest);
                let mut answer = Answer::new(StatusCode::CREATED, body);
                answer.set_header("cornellink-load", "running=1");
                ClaimReply::Done { code: Code::Answered, answer }
            }));
        }
        wait_until("the querying entry is connected", || !connected_names(&entries[0]).is_empty())
            .await;
        for holder in ["b1", "b2", "b3"] {
            let mut reply = None;
            let end = Instant::now() + TIMEOUT * 3;
            while reply.is_none() {
                assert!(Instant::now() < end, "timed out waiting for `{holder}`");
                // The query fails at once while the name of the holder is unknown.
                monoio::time::sleep(Duration::from_millis(5)).await;
                let query = ClaimQuery { key: Key::new("north", "jobs", b"k-1"), digest: 17 };
                reply = entries[0].peers.query_claim(holder, query, TIMEOUT).await;
            }
            let Some(ClaimReply::Done { code, answer }) = reply else { panic!("{reply:?}") };
            assert_eq!((code, answer.status), (Code::Answered, StatusCode::CREATED));
            assert_eq!(answer.body, format!("{holder} 17"));
            assert_eq!(answer.header("cornellink-load"), Some("running=1"));
        }
    })
    .unwrap();
}

/// Guards against a large response that stalls as it exceeds the flow control windows of QUIC.
#[test]
fn claim_reply_carries_the_largest_response() {
    let keys = Keys::new();
    block_on(async move {
        let (entries, _list) = start(&keys, &[("querying", "a"), ("holder", "a")]);
        let body = Bytes::from(vec![7u8; 8 * 1024 * 1024]);
        let whole = body.clone();
        entries[1].peers.set_claim_handler(Box::new(move |_| {
            let answer = Answer::new(StatusCode::OK, whole.clone());
            ClaimReply::Done { code: Code::Answered, answer }
        }));
        wait_until("they are connected", || !connected_names(&entries[0]).is_empty()).await;
        let query = ClaimQuery { key: Key::new("north", "jobs", b"large"), digest: 18 };
        let reply = entries[0].peers.query_claim("holder", query, TIMEOUT).await;
        let Some(ClaimReply::Done { answer, .. }) = reply else { panic!("no response") };
        assert!(answer.body == body);
    })
    .unwrap();
}

/// Guards against connections that stay open after an entry stops, and against an entry without
/// connections after a restart.
#[test]
fn restarted_entries_reconnect() {
    let keys = Keys::new();
    block_on(async move {
        let addresses = [free_address(), free_address()];
        let start = |index: usize| {
            let name = ["one", "two"][index];
            let peers = keys.settings(name, addresses[index], &[addresses[1 - index]]);
            start_node(name, "a", peers, Rc::default())
        };
        let mut entries = [start(0), start(1)];
        for _ in 0..2 {
            let connected = |entry: &Rc<Entry>| !connected_names(entry).is_empty();
            wait_until("they are connected", || entries.iter().all(connected)).await;
            entries.iter().for_each(|entry| entry.peers.stop());
            wait_until("they are closed", || entries.iter().all(|entry| !connected(entry))).await;
            // The previous task of each entry must close its socket before the next one binds it.
            for address in addresses {
                wait_until("the port is free", || std::net::UdpSocket::bind(address).is_ok()).await;
            }
            entries = [start(0), start(1)];
        }
        wait_until("they are connected", || {
            entries.iter().all(|entry| !connected_names(entry).is_empty())
        })
        .await;
    })
    .unwrap();
}

/// Guards against a draining target of which peers of the entry that read the list learn nothing.
#[test]
fn drain_signal_from_the_vm_list_reaches_peers() {
    let keys = Keys::new();
    block_on(async move {
        let all = targets(2);
        let (addresses, reader) = ([free_address(), free_address()], Rc::new(FixedVms::default()));
        let entries = [("reader", reader.clone()), ("other", Rc::default())];
        let start = |(index, (name, list)): (usize, (&str, Rc<FixedVms>))| {
            let peers = keys.settings(name, addresses[index], &[addresses[1 - index]]);
            start_node(name, "a", peers, list)
        };
        let entries: Vec<Rc<Entry>> = entries.into_iter().enumerate().map(start).collect();
        entries.iter().for_each(|entry| assert!(install(entry, &revision(1, 7, &all))));
        wait_until("they are connected", || {
            entries.iter().all(|entry| !connected_names(entry).is_empty())
        })
        .await;

        let target = Vm { role: VmRole::Target, draining: true, ..vm(all[0], "a") };
        reader.0.borrow_mut().push(target);

        wait_until("the target drains at the other entry", || {
            let scheduler = entries[1].scheduler.borrow();
            let key = scheduler.target_key(all[0]).unwrap();
            scheduler.get(key).unwrap().drain.is_draining()
        })
        .await;
    })
    .unwrap();
}
