//! Which peers an entry accepts, and how it handles faulty ones.

mod fixture;

use cornellink::connection::quic::identity::Identity;
use cornellink::prelude::*;
use cornellink::process::entry::Entry;
use cornellink::process::peers::frame::{Frame, MAX_CONTROL_FRAME_BYTES};
use cornellink::process::peers::message::{Hello, Message};
use cornellink::process::peers::settings::PeerSettings;
use cornellink::process::runtime::block_on;
use fixture::free_address;
use fixture::keys::{Keys, DAY};
use fixture::node::{start_node, wait_until};
use fixture::raw_peer::{hello, unknown_frame, RawPeer};

const NAME: &str = "raw-peer";

/// Starts an entry and returns its address.
fn start(keys: &Keys) -> (Rc<Entry>, SocketAddr) {
    let address = free_address();
    let entry = start_node("entry", "a", keys.settings("entry", address, &[]), Rc::default());
    (entry, address)
}

fn raw_peer_settings(keys: &Keys) -> PeerSettings {
    keys.settings(NAME, free_address(), &[])
}

fn counter(entry: &Entry, name: &str) -> u64 {
    let text = entry.metrics.render();
    let line = text.lines().find(|line| line.starts_with(&format!("{name} ")));
    line.and_then(|line| line.split(' ').nth(1)?.parse().ok()).unwrap_or(0)
}

async fn assert_refused(entry: &Entry, mut peer: RawPeer) {
    // The connecting side may complete its handshake before the entry has verified its certificate.
    if peer.open().await.is_ok() {
        peer.send_hello(NAME);
        peer.wait_closed().await;
    }
    assert!(entry.peers.links().is_empty());
    wait_until("the refusal is counted", || {
        counter(entry, "cornellink_peer_handshakes_failed_total") > 0
    })
    .await;
}

/// Guards against a peer that is accepted with a certificate of another authority.
#[test]
fn client_certificate_of_another_authority_is_refused() {
    let (keys, other) = (Keys::new(), Keys::new());
    block_on(async move {
        let (entry, address) = start(&keys);
        // The peer trusts the entry's authority, but its own certificate is of another one.
        let settings = raw_peer_settings(&other);
        other.trust(&[&keys.authority]);
        assert_refused(&entry, RawPeer::connect(&settings, address)).await;
    })
    .unwrap();
}

/// Guards against a connecting side that accepts a server certificate of another authority.
#[test]
fn server_certificate_of_another_authority_is_refused() {
    let (keys, other) = (Keys::new(), Keys::new());
    block_on(async move {
        let (entry, address) = start(&other);
        let settings = raw_peer_settings(&keys);
        other.trust(&[&other.authority, &keys.authority]);
        assert!(RawPeer::connect(&settings, address).open().await.is_err());
        assert!(entry.peers.links().is_empty());
    })
    .unwrap();
}

/// Guards against a peer that is accepted with an expired certificate.
#[test]
fn expired_certificate_is_refused() {
    let keys = Keys::new();
    block_on(async move {
        let (entry, address) = start(&keys);
        let settings = raw_peer_settings(&keys);
        keys.issue(&keys.authority, NAME, Duration::ZERO);
        monoio::time::sleep(Duration::from_millis(1100)).await;
        assert_refused(&entry, RawPeer::connect(&settings, address)).await;
    })
    .unwrap();
}

/// Guards against a peer that is accepted without a certificate.
#[test]
fn missing_certificate_is_refused() {
    let keys = Keys::new();
    block_on(async move {
        let (entry, address) = start(&keys);
        let settings = raw_peer_settings(&keys);
        let mut peer = RawPeer::connect_without_certificate(&settings, address);
        assert!(peer.open().await.is_err() || !peer.wait_closed().await.is_empty());
        assert_refusal_counted(&entry).await;
    })
    .unwrap();
}

async fn assert_refusal_counted(entry: &Entry) {
    wait_until("the refusal is counted", || {
        counter(entry, "cornellink_peer_handshakes_failed_total") > 0
    })
    .await;
    assert!(entry.peers.links().is_empty());
}

/// Guards against a peer whose hello message names another entry than its certificate.
#[test]
fn hello_with_another_name_than_the_certificate_is_refused() {
    let keys = Keys::new();
    block_on(async move {
        let (entry, address) = start(&keys);
        let mut peer = RawPeer::connect(&raw_peer_settings(&keys), address);
        peer.open().await.unwrap();
        peer.send_hello("entry-2");
        peer.wait_closed().await;
        assert_eq!(counter(&entry, "cornellink_peer_malformed_total"), 1);
    })
    .unwrap();
}

/// Guards against an entry that runs with the certificate of another entry.
#[test]
fn identity_is_only_for_the_name_of_its_certificate() {
    let keys = Keys::new();
    let identity = Identity::load(&raw_peer_settings(&keys).paths()).unwrap();
    assert!(identity.belongs_to(NAME));
    assert!(!identity.belongs_to("entry-2"));
}

/// Guards against a peer that is accepted although no protocol version is common to both sides.
#[test]
fn later_protocol_is_accepted_only_if_compatible() {
    let keys = Keys::new();
    block_on(async move {
        let (entry, address) = start(&keys);
        let settings = raw_peer_settings(&keys);
        for (oldest, is_accepted) in [(9, false), (1, true)] {
            let mut peer = RawPeer::connect(&settings, address);
            peer.open().await.unwrap();
            let Message::Hello(first) = hello(NAME) else { unreachable!() };
            let later = Message::Hello(Hello { protocol: 9, oldest, ..first });
            peer.write(later.encode().encode());
            if is_accepted {
                wait_until("the peer is connected", || entry.peers.links().len() == 1).await;
            } else {
                peer.wait_closed().await;
                assert!(entry.peers.links().is_empty());
            }
        }
    })
    .unwrap();
}

/// Guards against unknown messages of a later version that close the connection, or are decoded as
/// other messages.
#[test]
fn unknown_message_is_skipped() {
    let keys = Keys::new();
    block_on(async move {
        let (entry, address) = start(&keys);
        let mut peer = RawPeer::connect(&raw_peer_settings(&keys), address);
        peer.open().await.unwrap();
        peer.send_hello(NAME);
        peer.write(unknown_frame());
        peer.write(Message::Interest { relay: true }.encode().encode());
        wait_until("the message after it is received", || {
            entry.peers.links().iter().any(|link| link.wants_relay.get())
        })
        .await;
        assert_eq!(counter(&entry, "cornellink_peer_unknown_total"), 1);
        assert_eq!(counter(&entry, "cornellink_peer_malformed_total"), 0);
    })
    .unwrap();
}

/// Guards against malformed input that is accepted, buffered without a limit or not counted.
#[test]
fn malformed_messages_close_the_connection() {
    let keys = Keys::new();
    block_on(async move {
        let (entry, address) = start(&keys);
        let settings = raw_peer_settings(&keys);
        let hello_frame = hello(NAME).encode().encode();
        let truncated = Frame { kind: 3, payload: Bytes::from_static(&[200]) }.encode();
        let oversized = Bytes::copy_from_slice(&(MAX_CONTROL_FRAME_BYTES as u32 + 1).to_le_bytes());
        let cases = [
            vec![truncated.clone()],
            vec![unknown_frame()],
            vec![hello_frame.clone(), hello_frame.clone()],
            vec![hello_frame.clone(), truncated],
            vec![hello_frame.clone(), oversized],
            vec![hello_frame, Bytes::from_static(&[1, 0, 0, 0, 9])],
        ];
        for (index, frames) in cases.into_iter().enumerate() {
            let mut peer = RawPeer::connect(&settings, address);
            peer.open().await.unwrap();
            frames.into_iter().for_each(|frame| peer.write(frame));
            assert!(peer.wait_closed().await.contains("malformed"), "case {index}");
            let counted = counter(&entry, "cornellink_peer_malformed_total");
            assert_eq!(counted, index as u64 + 1, "case {index}");
            wait_until("the connection is closed", || entry.peers.links().is_empty()).await;
        }
    })
    .unwrap();
}

/// Guards against a peer that completes the handshake, sends no message and stays connected.
#[test]
fn peer_without_hello_is_disconnected() {
    let keys = Keys::new();
    block_on(async move {
        let (entry, address) = start(&keys);
        let mut peer = RawPeer::connect(&raw_peer_settings(&keys), address);
        peer.open().await.unwrap();
        peer.wait_closed().await;
        assert_eq!(counter(&entry, "cornellink_peer_handshakes_failed_total"), 1);
    })
    .unwrap();
}

/// Guards against queues that grow without limit for a peer that stops reading, and against other
/// peers that are delayed by it.
#[test]
fn stalled_peer_is_disconnected_and_the_other_stays_connected() {
    let keys = Keys::new();
    block_on(async move {
        let (entry, address) = start(&keys);
        let mut peer = RawPeer::connect(&raw_peer_settings(&keys), address);
        peer.open().await.unwrap();
        peer.send_hello(NAME);
        wait_until("the peer is connected", || entry.peers.links().len() == 1).await;
        // From here on the peer neither reads nor acknowledges anything.
        let other = keys.settings("other", free_address(), &[address]);
        let other = start_node("other", "a", other, Rc::default());
        wait_until("the other is connected", || !other.peers.links().is_empty()).await;
        let link = entry.peers.links();
        let link = link.iter().find(|link| link.hello.name == NAME).unwrap();
        let large = Message::Drain(vec![address; 2000]);
        wait_until("the stalled peer is disconnected", || {
            link.outbox.send(&large);
            entry.peers.links().iter().all(|link| link.hello.name != NAME)
        })
        .await;
        assert_eq!(entry.peers.links().len(), 1);
        assert_eq!(other.peers.links().len(), 1);
    })
    .unwrap();
}

/// Guards against a key rotation that closes connections, and against an old authority that is
/// still accepted after it.
#[test]
fn key_rotation_replaces_the_authority_without_a_restart() {
    let keys = Keys::new();
    let next = Keys::new();
    block_on(async move {
        let (entry, address) = start(&keys);
        let old = raw_peer_settings(&keys);
        let changes = |expected: u64| {
            let entry = entry.clone();
            move || counter(&entry, "cornellink_peer_key_changes_total") == expected
        };
        let mut before = RawPeer::connect(&old, address);
        before.open().await.unwrap();
        before.send_hello(NAME);
        wait_until("the peer is connected", || entry.peers.links().len() == 1).await;

        // Both authorities are accepted, so the connection stays.
        keys.trust(&[&keys.authority, &next.authority]);
        wait_until("both authorities are in use", changes(1)).await;
        keys.issue(&next.authority, "entry", DAY);
        wait_until("the new certificate is in use", changes(2)).await;
        assert_eq!(entry.peers.links().len(), 1);

        // Removing the old authority also closes the connection whose certificate it signed.
        keys.trust(&[&next.authority]);
        wait_until("the old authority is removed", changes(3)).await;
        assert!(before.wait_closed().await.contains("not valid any more"));
        wait_until("the connection is closed", || entry.peers.links().is_empty()).await;
        assert_refused(&entry, RawPeer::connect(&old, address)).await;
        let renewed = next.settings(NAME, free_address(), &[]);
        let mut after = RawPeer::connect(&renewed, address);
        after.open().await.unwrap();
        after.send_hello(NAME);
        wait_until("the peer is connected", || entry.peers.links().len() == 1).await;
    })
    .unwrap();
}

/// Guards against an entry that loses its peers while its key files are only partly replaced.
#[test]
fn mismatched_key_files_are_not_used() {
    let keys = Keys::new();
    block_on(async move {
        let (entry, address) = start(&keys);
        RawPeer::connect(&raw_peer_settings(&keys), address).open().await.unwrap();
        let pair = keys.authority.issue("entry", DAY).unwrap();
        std::fs::write(keys.file("entry.key"), pair.key).unwrap();
        monoio::time::sleep(Duration::from_millis(1500)).await;
        let mut peer = RawPeer::connect(&raw_peer_settings(&keys), address);
        peer.open().await.unwrap();
        std::fs::write(keys.file("entry.pem"), pair.certificate).unwrap();
        wait_until("the new pair is in use", || {
            counter(&entry, "cornellink_peer_key_changes_total") == 1
        })
        .await;
    })
    .unwrap();
}
