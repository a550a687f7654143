//! Keeps an entry connected to its peers and sends them its updates.

use std::collections::HashSet;

use local_sync::mpsc::unbounded::{channel, Rx};

use super::message::{Announcement, Message};
use super::session::Session;
use super::settings::PeerSettings;
use super::{connector, document, keys};
use crate::connection::quic::connection::Connection;
use crate::connection::quic::endpoint::Endpoint;
use crate::connection::tasks::Tasks;
use crate::prelude::*;
use crate::process::entry::Entry;

/// Interval between two checks for updates to send.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait for connections to close when the entry stops.
const DISCONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between two comparisons of the connected peers with the desired ones.
pub(super) const CONNECT_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two checks of the key files and the peers' certificates.
pub(super) const KEY_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Connects to peers until the entry stops. Returns at once for an entry without keys.
pub async fn run(entry: Rc<Entry>) -> super::Result<()> {
    let Some(settings) = entry.settings.peers.clone() else {
        log::warn!("no keys are configured; the entry runs without peers");
        return Ok(());
    };
    let Some(identity) = keys::load_with_retry(&entry, &settings).await else { return Ok(()) };
    let endpoint = Endpoint::bind(settings.address, identity)?;
    let (sender, accepted) = channel();
    let tasks = Tasks::default();
    tasks.spawn(endpoint.clone().run(sender));
    tasks.spawn(document::fetch_announced(entry.clone()));
    Mesh::new(entry, endpoint, settings, accepted).run().await;
    tasks.stop();
    tasks.join().await;
    Ok(())
}

/// State of the task that manages the connections of an entry.
struct Mesh {
    accepted: Rx<Connection>,
    announced: Option<Announcement>,
    keys_checked: Instant,
    /// Addresses for which a connector is running.
    connectors: Rc<RefCell<HashSet<SocketAddr>>>,
    endpoint: Rc<Endpoint>,
    entry: Rc<Entry>,
    peers_checked: Instant,
    settings: PeerSettings,
    tasks: Tasks,
}

impl Mesh {
    fn new(
        entry: Rc<Entry>,
        endpoint: Rc<Endpoint>,
        settings: PeerSettings,
        accepted: Rx<Connection>,
    ) -> Self {
        Self {
            accepted,
            announced: None,
            keys_checked: Instant::now(),
            connectors: Rc::default(),
            endpoint,
            entry,
            // The first tick connects to the peers.
            peers_checked: Instant::now() - CONNECT_INTERVAL,
            settings,
            tasks: Tasks::default(),
        }
    }

    async fn run(mut self) {
        while !self.entry.peers.is_stopping() {
            self.tick(Instant::now());
            let accepted = monoio::select! {
                connection = self.accepted.recv() => connection,
                () = monoio::time::sleep(TICK_INTERVAL) => None,
            };
            if let Some(connection) = accepted {
                let session = Session::new(self.entry.clone(), connection);
                self.tasks.spawn(async move {
                    session.run().await;
                });
            }
        }
        self.wait_disconnected().await;
        self.tasks.stop();
        self.tasks.join().await;
    }

    /// Waits until the connections have been closed.
    async fn wait_disconnected(&self) {
        let end = Instant::now() + DISCONNECT_TIMEOUT;
        while !self.entry.peers.links().is_empty() && Instant::now() < end {
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    fn tick(&mut self, now: Instant) {
        self.announce_revision();
        self.publish_updates(now);
        if now.duration_since(self.peers_checked) >= CONNECT_INTERVAL {
            self.peers_checked = now;
            self.update_connections(now);
            self.entry.metrics.set_peer_traffic(&self.endpoint.traffic);
        }
        if now.duration_since(self.keys_checked) >= KEY_POLL_INTERVAL {
            self.keys_checked = now;
            self.check_keys();
        }
    }

    /// Announces the revision in force to all peers if it has changed.
    fn announce_revision(&mut self) {
        let Some(latest) = document::announcement(&self.entry) else { return };
        let is_known =
            |known: Announcement| (known.number, known.nonce) == (latest.number, latest.nonce);
        if self.announced.is_some_and(is_known) {
            return;
        }
        self.announced = Some(latest);
        let peers = &self.entry.peers;
        if let Some(revision) = self.entry.revision() {
            peers.load_reports.apply(&revision, &peers.links());
        }
        peers.broadcast(&Message::Revision(latest));
    }

    /// Sends new drain signals to all peers, and load reports from targets to the peers of the same
    /// failure domain and to those that requested a relay.
    fn publish_updates(&self, now: Instant) {
        let updates = self.entry.scheduler.borrow_mut().take_updates();
        let peers = &self.entry.peers;
        if !updates.draining.is_empty() {
            peers.broadcast_drains(&updates.draining, now);
        }
        let links = peers.links();
        let domain = &self.entry.settings.domain;
        let receivers =
            links.iter().filter(|link| link.hello.domain == *domain || link.wants_relay.get());
        for link in receivers {
            for (address, (report, at)) in &updates.loads {
                let Some(index) = peers.load_reports.index_of(*address) else { continue };
                peers.load_reports.queue(link, index, *report, *at);
            }
        }
        let sent = peers.load_reports.flush(&links, now);
        if sent > 0 {
            self.entry.metrics.count_load_reports(sent);
        }
    }

    /// Starts a connector for each desired peer, and closes connections that are not needed.
    fn update_connections(&mut self, now: Instant) {
        let desired = connector::desired_peers(&self.entry.peers, now);
        for link in self.entry.peers.links() {
            let is_desired = desired.contains(&link.hello.address);
            let is_local = link.hello.domain == self.entry.settings.domain;
            let relay = is_desired && !is_local;
            if link.relay_requested.replace(relay) != relay {
                link.outbox.send(&Message::Interest { relay });
            }
            if link.is_initiator && !is_desired && !link.wants_relay.get() && !is_local {
                link.outbox.close("the connection is not needed");
            }
        }
        for address in desired {
            if self.connectors.borrow_mut().insert(address) {
                let connectors = self.connectors.clone();
                let (entry, endpoint) = (self.entry.clone(), self.endpoint.clone());
                let own = self.settings.address;
                self.tasks.spawn(async move {
                    connector::keep_connected(&entry, &endpoint, own, address).await;
                    connectors.borrow_mut().remove(&address);
                });
            }
        }
    }

    /// Loads changed key files, and closes connections whose certificate is no longer valid.
    fn check_keys(&self) {
        let current = self.endpoint.identity();
        match keys::load_for(&self.entry.settings.name, &self.settings) {
            Ok(identity) if !identity.has_same_files(&current) => {
                log::info!("loaded the changed key files");
                self.entry.metrics.count("cornellink_peer_key_changes_total");
                self.endpoint.set_identity(identity);
            }
            Ok(_) => {}
            Err(error) => log::warn!("the previous keys stay in use: {error}"),
        }
        let identity = self.endpoint.identity();
        for link in self.entry.peers.links() {
            if !identity.verifies(&link.certificates, link.is_initiator) {
                link.outbox.close("the peer's certificate is not valid any more");
            }
        }
    }
}
