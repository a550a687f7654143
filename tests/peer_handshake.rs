//! Who is let in as a peer, and what a peer may send.

mod fixture;

use cornellink::connection::quic::identity::Identity;
use cornellink::prelude::*;
use cornellink::process::entry::Entry;
use cornellink::process::peers::frame::{Frame, CONTROL_BYTES};
use cornellink::process::peers::message::{Hello, Message};
use cornellink::process::peers::settings::PeerSettings;
use cornellink::process::runtime::block_on;
use fixture::keys::{Keys, DAY};
use fixture::node::{free_udp, start_node, until};
use fixture::stranger::{hello, unknown_frame, Stranger};

const NAME: &str = "stranger";

/// Starts an entry and returns its address.
fn start(keys: &Keys) -> (Rc<Entry>, SocketAddr) {
    let address = free_udp();
    let entry = start_node("entry", "a", keys.settings("entry", address, &[]), Rc::default());
    (entry, address)
}

fn stranger(keys: &Keys) -> PeerSettings {
    keys.settings(NAME, free_udp(), &[])
}

fn count(entry: &Entry, name: &str) -> u64 {
    let text = entry.metrics.render();
    let line = text.lines().find(|line| line.starts_with(&format!("{name} ")));
    line.and_then(|line| line.split(' ').nth(1)?.parse().ok()).unwrap_or(0)
}

async fn is_refused(entry: &Entry, mut peer: Stranger) {
    // The dialling side may complete its handshake before the entry has checked its certificate.
    if peer.open().await.is_ok() {
        peer.greet(NAME);
        peer.lost().await;
    }
    assert!(entry.peers.links().is_empty());
    until("the refusal is counted", || count(entry, "cornellink_peer_handshakes_failed_total") > 0)
        .await;
}

/// Guards against a peer that is let in with a certificate of another authority.
#[test]
fn wrong_authority_is_refused() {
    let (keys, other) = (Keys::new(), Keys::new());
    block_on(async move {
        let (entry, address) = start(&keys);
        // The stranger accepts the entry, but its own certificate is of another authority.
        let settings = stranger(&other);
        other.accept(&[&keys.authority]);
        is_refused(&entry, Stranger::connect(&settings, address)).await;
    })
    .unwrap();
}

/// Guards against an entry that connects to a server of another authority.
#[test]
fn server_of_another_authority_is_refused() {
    let (keys, other) = (Keys::new(), Keys::new());
    block_on(async move {
        let (entry, address) = start(&other);
        let settings = stranger(&keys);
        other.accept(&[&other.authority, &keys.authority]);
        assert!(Stranger::connect(&settings, address).open().await.is_err());
        assert!(entry.peers.links().is_empty());
    })
    .unwrap();
}

/// Guards against a peer that is let in after its certificate has expired.
#[test]
fn expired_certificate_is_refused() {
    let keys = Keys::new();
    block_on(async move {
        let (entry, address) = start(&keys);
        let settings = stranger(&keys);
        keys.issue(&keys.authority, NAME, Duration::ZERO);
        monoio::time::sleep(Duration::from_millis(1100)).await;
        is_refused(&entry, Stranger::connect(&settings, address)).await;
    })
    .unwrap();
}

/// Guards against a peer that is let in without a certificate.
#[test]
fn missing_certificate_is_refused() {
    let keys = Keys::new();
    block_on(async move {
        let (entry, address) = start(&keys);
        let settings = stranger(&keys);
        let mut peer = Stranger::connect_without_certificate(&settings, address);
        assert!(peer.open().await.is_err() || !peer.lost().await.is_empty());
        is_counted(&entry).await;
    })
    .unwrap();
}

async fn is_counted(entry: &Entry) {
    until("the refusal is counted", || count(entry, "cornellink_peer_handshakes_failed_total") > 0)
        .await;
    assert!(entry.peers.links().is_empty());
}

/// Guards against an entry that speaks in the name of another.
#[test]
fn certificate_of_another_name_is_refused() {
    let keys = Keys::new();
    block_on(async move {
        let (entry, address) = start(&keys);
        let mut peer = Stranger::connect(&stranger(&keys), address);
        peer.open().await.unwrap();
        peer.greet("entry-2");
        peer.lost().await;
        assert_eq!(count(&entry, "cornellink_peer_malformed_total"), 1);
    })
    .unwrap();
}

/// Guards against an entry that runs under the certificate of another.
#[test]
fn own_certificate_must_be_for_the_own_name() {
    let keys = Keys::new();
    let identity = Identity::load(&stranger(&keys).paths()).unwrap();
    assert!(identity.belongs_to(NAME));
    assert!(!identity.belongs_to("entry-2"));
}

/// Guards against a version of the protocol that is taken for the own one.
#[test]
fn later_protocol_is_refused_unless_it_understands_this_one() {
    let keys = Keys::new();
    block_on(async move {
        let (entry, address) = start(&keys);
        let settings = stranger(&keys);
        for (oldest, is_accepted) in [(9, false), (1, true)] {
            let mut peer = Stranger::connect(&settings, address);
            peer.open().await.unwrap();
            let Message::Hello(first) = hello(NAME) else { unreachable!() };
            let later = Message::Hello(Hello { protocol: 9, oldest, ..first });
            peer.write(later.encode().encode());
            if is_accepted {
                until("the peer is connected", || entry.peers.links().len() == 1).await;
            } else {
                peer.lost().await;
                assert!(entry.peers.links().is_empty());
            }
        }
    })
    .unwrap();
}

/// Guards against messages that end a connection to a later version, or are taken for others.
#[test]
fn unknown_message_is_skipped() {
    let keys = Keys::new();
    block_on(async move {
        let (entry, address) = start(&keys);
        let mut peer = Stranger::connect(&stranger(&keys), address);
        peer.open().await.unwrap();
        peer.greet(NAME);
        peer.write(unknown_frame());
        peer.write(Message::Interest { relay: true }.encode().encode());
        until("the message after it is taken", || {
            entry.peers.links().iter().any(|link| link.relay.get())
        })
        .await;
        assert_eq!(count(&entry, "cornellink_peer_unknown_total"), 1);
        assert_eq!(count(&entry, "cornellink_peer_malformed_total"), 0);
    })
    .unwrap();
}

/// Guards against malformed input that is accepted, buffered without a limit or not counted.
#[test]
fn malformed_messages_close_the_connection() {
    let keys = Keys::new();
    block_on(async move {
        let (entry, address) = start(&keys);
        let settings = stranger(&keys);
        let greeting = hello(NAME).encode().encode();
        let truncated = Frame { kind: 3, payload: Bytes::from_static(&[200]) }.encode();
        let oversized = Bytes::copy_from_slice(&(CONTROL_BYTES as u32 + 1).to_le_bytes());
        let cases = [
            vec![truncated.clone()],
            vec![unknown_frame()],
            vec![greeting.clone(), greeting.clone()],
            vec![greeting.clone(), truncated],
            vec![greeting.clone(), oversized],
            vec![greeting, Bytes::from_static(&[1, 0, 0, 0, 9])],
        ];
        for (index, frames) in cases.into_iter().enumerate() {
            let mut peer = Stranger::connect(&settings, address);
            peer.open().await.unwrap();
            frames.into_iter().for_each(|frame| peer.write(frame));
            assert!(peer.lost().await.contains("malformed"), "case {index}");
            let counted = count(&entry, "cornellink_peer_malformed_total");
            assert_eq!(counted, index as u64 + 1, "case {index}");
            until("the connection is closed", || entry.peers.links().is_empty()).await;
        }
    })
    .unwrap();
}

/// Guards against a peer that completes the handshake, says nothing and keeps its place.
#[test]
fn silent_peer_is_closed() {
    let keys = Keys::new();
    block_on(async move {
        let (entry, address) = start(&keys);
        let mut peer = Stranger::connect(&stranger(&keys), address);
        peer.open().await.unwrap();
        peer.lost().await;
        assert_eq!(count(&entry, "cornellink_peer_handshakes_failed_total"), 1);
    })
    .unwrap();
}

/// Guards against queues that grow for a peer that stops reading, and against other peers that
/// wait for it.
#[test]
fn stalled_peer_is_dropped_and_the_other_is_served() {
    let keys = Keys::new();
    block_on(async move {
        let (entry, address) = start(&keys);
        let mut peer = Stranger::connect(&stranger(&keys), address);
        peer.open().await.unwrap();
        peer.greet(NAME);
        until("the peer is connected", || entry.peers.links().len() == 1).await;
        // From here on the stranger reads nothing and acknowledges nothing.
        let other = keys.settings("other", free_udp(), &[address]);
        let other = start_node("other", "a", other, Rc::default());
        until("the other is connected", || !other.peers.links().is_empty()).await;
        let link = entry.peers.links();
        let link = link.iter().find(|link| link.hello.name == NAME).unwrap();
        let large = Message::Drain(vec![address; 2000]);
        until("the stalled peer is dropped", || {
            link.outbox.send(&large);
            entry.peers.links().iter().all(|link| link.hello.name != NAME)
        })
        .await;
        assert_eq!(entry.peers.links().len(), 1);
        assert_eq!(other.peers.links().len(), 1);
    })
    .unwrap();
}

/// Guards against a rotation that loses connections, and against an old authority that is still
/// accepted after it.
#[test]
fn rotation_replaces_the_authority_without_a_restart() {
    let keys = Keys::new();
    let next = Keys::new();
    block_on(async move {
        let (entry, address) = start(&keys);
        let old = stranger(&keys);
        let changes = |count_: u64| {
            let entry = entry.clone();
            move || count(&entry, "cornellink_peer_key_changes_total") == count_
        };
        let mut before = Stranger::connect(&old, address);
        before.open().await.unwrap();
        before.greet(NAME);
        until("the peer is connected", || entry.peers.links().len() == 1).await;

        // Both authorities are accepted, so the connection stays.
        keys.accept(&[&keys.authority, &next.authority]);
        until("both authorities are in use", changes(1)).await;
        keys.issue(&next.authority, "entry", DAY);
        until("the new certificate is in use", changes(2)).await;
        assert_eq!(entry.peers.links().len(), 1);

        // The old authority is dropped, and with it the connection under its certificate.
        keys.accept(&[&next.authority]);
        until("the old authority is not in use", changes(3)).await;
        assert!(before.lost().await.contains("not valid any more"));
        until("the connection is closed", || entry.peers.links().is_empty()).await;
        is_refused(&entry, Stranger::connect(&old, address)).await;
        let renewed = next.settings(NAME, free_udp(), &[]);
        let mut after = Stranger::connect(&renewed, address);
        after.open().await.unwrap();
        after.greet(NAME);
        until("the peer is connected", || entry.peers.links().len() == 1).await;
    })
    .unwrap();
}

/// Guards against half-written key files that take an entry's peers away.
#[test]
fn keys_that_do_not_fit_are_not_used() {
    let keys = Keys::new();
    block_on(async move {
        let (entry, address) = start(&keys);
        Stranger::connect(&stranger(&keys), address).open().await.unwrap();
        let pair = keys.authority.issue("entry", DAY).unwrap();
        std::fs::write(keys.file("entry.key"), pair.key).unwrap();
        monoio::time::sleep(Duration::from_millis(1500)).await;
        let mut peer = Stranger::connect(&stranger(&keys), address);
        peer.open().await.unwrap();
        std::fs::write(keys.file("entry.pem"), pair.certificate).unwrap();
        until("the new pair is in use", || count(&entry, "cornellink_peer_key_changes_total") == 1)
            .await;
    })
    .unwrap();
}
