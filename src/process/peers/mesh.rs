//! Keeps an entry connected to its peers.

use std::collections::HashSet;

use local_sync::mpsc::unbounded::{channel, Rx};

use super::message::{Announcement, Message};
use super::session::Session;
use super::settings::PeerSettings;
use super::{dial, document, keys};
use crate::connection::quic::connection::Connection;
use crate::connection::quic::endpoint::Endpoint;
use crate::connection::tasks::Tasks;
use crate::prelude::*;
use crate::process::entry::Entry;

/// Pause between two looks for news.
const TICK: Duration = Duration::from_millis(20);
/// Longest wait for connections to close at the end.
const PART_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between two comparisons of the peers with the ones to be connected.
pub(super) const MESH_INTERVAL: Duration = Duration::from_millis(100);
/// Pause between two looks at the key files and the peers' certificates.
pub(super) const KEY_INTERVAL: Duration = Duration::from_secs(1);

/// Connects to peers until the entry stops. Returns at once for an entry without keys.
pub async fn run(entry: Rc<Entry>) -> super::Result<()> {
    let Some(settings) = entry.settings.peers.clone() else {
        log::warn!("no keys are configured; the entry runs without peers");
        return Ok(());
    };
    let Some(identity) = keys::load(&entry, &settings).await else { return Ok(()) };
    let endpoint = Endpoint::bind(settings.address, identity)?;
    let (sender, accepted) = channel();
    let tasks = Tasks::default();
    tasks.spawn(endpoint.clone().run(sender));
    tasks.spawn(document::follow(entry.clone()));
    Mesh::new(entry, endpoint, settings, accepted).run().await;
    tasks.stop();
    tasks.join().await;
    Ok(())
}

struct Mesh {
    accepted: Rx<Connection>,
    announced: Option<Announcement>,
    checked: Instant,
    dialling: Rc<RefCell<HashSet<SocketAddr>>>,
    endpoint: Rc<Endpoint>,
    entry: Rc<Entry>,
    meshed: Instant,
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
            checked: Instant::now(),
            dialling: Rc::default(),
            endpoint,
            entry,
            meshed: Instant::now() - MESH_INTERVAL,
            settings,
            tasks: Tasks::default(),
        }
    }

    async fn run(mut self) {
        while !self.entry.peers.is_stopping() {
            self.tick(Instant::now());
            let accepted = monoio::select! {
                connection = self.accepted.recv() => connection,
                () = monoio::time::sleep(TICK) => None,
            };
            if let Some(connection) = accepted {
                let session = Session::new(self.entry.clone(), connection);
                self.tasks.spawn(async move {
                    session.run().await;
                });
            }
        }
        self.part().await;
        self.tasks.stop();
        self.tasks.join().await;
    }

    /// Waits until the connections have told their peers of the end.
    async fn part(&self) {
        let end = Instant::now() + PART_TIMEOUT;
        while !self.entry.peers.links().is_empty() && Instant::now() < end {
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    fn tick(&mut self, now: Instant) {
        self.announce();
        self.spread_news(now);
        if now.duration_since(self.meshed) >= MESH_INTERVAL {
            self.meshed = now;
            self.connect(now);
            self.entry.metrics.set_peer_traffic(&self.endpoint.traffic);
        }
        if now.duration_since(self.checked) >= KEY_INTERVAL {
            self.checked = now;
            self.check_keys();
        }
    }

    /// Tells peers of a revision that has come into force.
    fn announce(&mut self) {
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

    /// Passes on what this entry has learned of targets.
    fn spread_news(&self, now: Instant) {
        let updates = self.entry.scheduler.borrow_mut().take_updates();
        let peers = &self.entry.peers;
        if !updates.draining.is_empty() {
            peers.spread_drains(&updates.draining, now);
        }
        let links = peers.links();
        let domain = &self.entry.settings.domain;
        let takers = links.iter().filter(|link| link.hello.domain == *domain || link.relay.get());
        for link in takers {
            for (address, (report, at)) in &updates.loads {
                let Some(place) = peers.load_reports.place(*address) else { continue };
                peers.load_reports.queue(link, place, *report, *at);
            }
        }
        let sent = peers.load_reports.flush(&links, now);
        if sent > 0 {
            self.entry.metrics.count_load_reports(sent);
        }
    }

    /// Starts tasks for peers that should be connected, and drops connections not needed.
    fn connect(&mut self, now: Instant) {
        let wanted = dial::wanted(&self.entry.peers, now);
        for link in self.entry.peers.links() {
            let is_wanted = wanted.contains(&link.hello.address);
            let is_near = link.hello.domain == self.entry.settings.domain;
            let relay = is_wanted && !is_near;
            if link.asked.replace(relay) != relay {
                link.outbox.send(&Message::Interest { relay });
            }
            if link.is_dialler && !is_wanted && !link.relay.get() && !is_near {
                link.outbox.close("the connection is not needed");
            }
        }
        for address in wanted {
            if self.dialling.borrow_mut().insert(address) {
                let dialling = self.dialling.clone();
                let (entry, endpoint) = (self.entry.clone(), self.endpoint.clone());
                let own = self.settings.address;
                self.tasks.spawn(async move {
                    dial::dial(&entry, &endpoint, own, address).await;
                    dialling.borrow_mut().remove(&address);
                });
            }
        }
    }

    /// Takes over changed key files, and closes connections whose certificate is not valid.
    fn check_keys(&self) {
        let current = self.endpoint.identity();
        match keys::load_own(&self.entry.settings.name, &self.settings) {
            Ok(identity) if !identity.has_same_files(&current) => {
                log::info!("the key files have changed and are in use");
                self.entry.metrics.count("cornellink_peer_key_changes_total");
                self.endpoint.set_identity(identity);
            }
            Ok(_) => {}
            Err(error) => log::warn!("the keys in use stay: {error}"),
        }
        let identity = self.endpoint.identity();
        for link in self.entry.peers.links() {
            if !identity.verifies(&link.certificates, link.is_dialler) {
                link.outbox.close("the peer's certificate is not valid any more");
            }
        }
    }
}
