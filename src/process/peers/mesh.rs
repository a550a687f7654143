//! Keeps an entry connected to its peers.

use std::collections::HashSet;

use local_sync::mpsc::unbounded::{channel, Rx};
use monoio::task::JoinHandle;
use rand::Rng;

use super::message::{Announcement, Message};
use super::session::Session;
use super::settings::PeerSettings;
use super::{dial, document, keys};
use crate::connection::quic::connection::Connection;
use crate::connection::quic::endpoint::Endpoint;
use crate::platform::vms::{VmRole, Vms};
use crate::prelude::*;
use crate::process::entry::Entry;

/// Pause between two looks for news.
const TICK: Duration = Duration::from_millis(20);
/// Pause between two comparisons of the peers with the ones to be connected.
pub(super) const MESH_INTERVAL: Duration = Duration::from_millis(100);
/// Pause between two looks at the key files, the metrics and the peers' certificates.
pub(super) const KEY_INTERVAL: Duration = Duration::from_secs(1);
/// Pause between two reads of the platform's list by an entry without peers in its domain.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Most entries that share the reads of the list, each reading it less often.
const LIST_READERS: u32 = 4;

/// Connects to peers until the entry stops. Returns at once for an entry without keys.
pub async fn run(entry: Rc<Entry>, vms: Rc<dyn Vms>) -> super::Result<()> {
    let Some(settings) = entry.settings.peers.clone() else {
        log::warn!("no keys are configured; the entry runs without peers");
        return Ok(());
    };
    let Some(identity) = keys::load(&entry, &settings).await else { return Ok(()) };
    let endpoint = Endpoint::bind(settings.address, identity)?;
    let (stop, mut stopped) = channel::<()>();
    let (sender, accepted) = channel();
    let socket = endpoint.clone();
    let reader = monoio::spawn(async move {
        monoio::select! {
            () = socket.read(sender) => {}
            _ = stopped.recv() => {}
        }
    });
    let list = monoio::spawn(follow_list(entry.clone(), vms));
    let documents = monoio::spawn(document::follow(entry.clone()));
    Mesh::new(entry, endpoint, settings, accepted).run().await;
    list.await;
    documents.await;
    drop(stop);
    reader.await;
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
    tasks: Vec<JoinHandle<()>>,
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
            tasks: Vec::new(),
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
                self.tasks.push(monoio::spawn(async move {
                    session.run().await;
                }));
            }
        }
        for task in self.tasks {
            task.await;
        }
    }

    fn tick(&mut self, now: Instant) {
        self.announce();
        self.spread_news(now);
        if now.duration_since(self.meshed) >= MESH_INTERVAL {
            self.meshed = now;
            self.connect(now);
        }
        if now.duration_since(self.checked) >= KEY_INTERVAL {
            self.checked = now;
            self.check_keys();
            self.entry.metrics.peer_traffic(&self.endpoint.traffic);
            self.tasks.retain(|task| !task.is_finished());
        }
    }

    /// Tells peers of a revision that has come into force.
    fn announce(&mut self) {
        let Some(revision) = self.entry.revision() else { return };
        let latest = Announcement { number: revision.number, nonce: revision.nonce };
        if self.announced == Some(latest) {
            return;
        }
        self.announced = Some(latest);
        let peers = &self.entry.peers;
        peers.hints.apply(&revision, &peers.links());
        peers.broadcast(&Message::Revision(latest));
    }

    /// Passes on what this entry has learned of targets.
    fn spread_news(&self, now: Instant) {
        let news = self.entry.fleet.borrow_mut().take_news();
        let peers = &self.entry.peers;
        if !news.leaving.is_empty() {
            peers.spread_drains(&news.leaving, now);
        }
        let links = peers.links();
        let domain = &self.entry.settings.domain;
        let takers = links.iter().filter(|link| link.hello.domain == *domain || link.relay.get());
        for link in takers {
            for (address, (report, at)) in &news.loads {
                let Some(place) = peers.hints.place(*address) else { continue };
                peers.hints.queue(link, place, *report, *at);
            }
        }
        let sent = peers.hints.flush(&links, now);
        if sent > 0 {
            self.entry.metrics.peer_hints(sent);
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
                self.tasks.push(monoio::spawn(async move {
                    dial::dial(&entry, &endpoint, own, address).await;
                    dialling.borrow_mut().remove(&address);
                }));
            }
        }
    }

    /// Takes over changed key files, and closes connections whose certificate is not valid.
    fn check_keys(&self) {
        let current = self.endpoint.identity();
        match keys::load_own(&self.entry.settings.name, &self.settings) {
            Ok(identity) if !identity.is_same(&current) => {
                log::info!("the key files have changed and are in use");
                self.entry.metrics.count("cornellink_peer_key_changes_total");
                self.endpoint.set_identity(identity);
            }
            Ok(_) => {}
            Err(error) => log::warn!("the keys in use stay: {error}"),
        }
        let identity = self.endpoint.identity();
        for link in self.entry.peers.links() {
            if !identity.accepts(&link.certificates, link.is_dialler) {
                link.outbox.close("the peer's certificate is not valid any more");
            }
        }
    }
}

/// Follows the platform's list until the entry stops.
async fn follow_list(entry: Rc<Entry>, vms: Rc<dyn Vms>) {
    while !entry.peers.is_stopping() {
        match vms.list().await {
            Ok(list) => {
                if let Some(members) = &mut *entry.peers.members.borrow_mut() {
                    members.list(&list);
                }
                let leaving = list.iter().filter(|vm| vm.role == VmRole::Target && vm.leaving);
                for vm in leaving {
                    entry.fleet.borrow_mut().mark_leaving(vm.address);
                }
            }
            Err(error) => log::debug!("cannot read the list of VMs: {error}"),
        }
        monoio::time::sleep(list_pause(&entry)).await;
    }
}

/// Peers of a failure domain tell each other what the list says, so each reads it less often.
fn list_pause(entry: &Entry) -> Duration {
    let links = entry.peers.links().into_iter();
    let near = links.filter(|link| link.hello.domain == entry.settings.domain).count();
    let readers = (1 + near as u32).min(LIST_READERS);
    LIST_INTERVAL.mul_f64(f64::from(readers) * rand::rng().random_range(0.75..1.25))
}
