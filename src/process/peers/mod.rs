//! Connections between entries, over which they exchange membership, revisions, drain signals and
//! load reports, and answer each other's claim and document requests.

pub mod budget;
pub mod connector;
pub mod document;
pub mod frame;
pub mod handler;
pub mod keys;
pub mod link;
pub mod load_reports;
pub mod members;
pub mod mesh;
pub mod message;
pub mod outbox;
pub mod request_wire;
pub mod session;
pub mod settings;
pub mod wire;
pub mod writer;

use std::collections::HashMap;

use link::Link;
use load_reports::LoadReports;
use local_sync::oneshot;
use members::Members;
use message::{
    ClaimQuery, ClaimReply, Hello, MemberRecord, Message, Reply, Request, FEATURES, OLDEST_VERSION,
    PROTOCOL_VERSION,
};

use super::entry::Entry;
use super::settings::Settings;
use crate::edge::vms::Vm;
use crate::prelude::*;

/// The result of an exchange with peers.
pub type Result<T> = std::result::Result<T, Error>;

/// Computes the reply to a claim query of a peer.
pub type ClaimHandler = Box<dyn Fn(&ClaimQuery) -> ClaimReply>;

/// Time for which a drain signal is also sent to peers that connect later.
const DRAIN_RETENTION: Duration = Duration::from_secs(60);
/// Time for which an entry stays connected to a peer outside its regular set after a request.
const ON_DEMAND_LIFETIME: Duration = Duration::from_secs(30);
/// Maximum number of addresses in one drain message.
const MAX_DRAIN_ADDRESSES: usize = 2000;
/// Maximum number of records in one membership message.
const MAX_MEMBER_RECORDS: usize = 200;
/// Interval between two checks for a connection that is being opened.
const LINK_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// State that the tasks of all peers share.
pub struct Peers {
    pub load_reports: LoadReports,
    claim_handler: RefCell<Option<ClaimHandler>>,
    fault: RefCell<Option<String>>,
    /// Random number that identifies this process.
    instance: u64,
    is_stopping: Cell<bool>,
    /// Targets with a drain signal, and when it was last recorded.
    draining: RefCell<HashMap<SocketAddr, Instant>>,
    links: RefCell<HashMap<SocketAddr, Rc<Link>>>,
    members: RefCell<Option<Members>>,
    /// Peers to connect to for a request, and when it was last made.
    on_demand: RefCell<HashMap<SocketAddr, Instant>>,
}

impl Peers {
    /// Creates the state of an entry without connections; `mesh::run` opens them.
    pub fn new(settings: &Settings) -> Self {
        let members = settings
            .peers
            .as_ref()
            .map(|peers| Members::new(peers.address, &settings.domain, &peers.known));
        Self {
            load_reports: LoadReports::new(Instant::now()),
            claim_handler: RefCell::default(),
            fault: RefCell::default(),
            instance: rand::random(),
            is_stopping: Cell::new(false),
            draining: RefCell::default(),
            links: RefCell::default(),
            members: RefCell::new(members),
            on_demand: RefCell::default(),
        }
    }

    /// Sets the function that answers peers' claim queries.
    pub fn set_claim_handler(&self, handler: ClaimHandler) {
        self.claim_handler.replace(Some(handler));
    }

    /// The connected peers.
    pub fn links(&self) -> Vec<Rc<Link>> {
        self.links.borrow().values().cloned().collect()
    }

    /// Closes all connections; `mesh::run` then returns.
    pub fn stop(&self) {
        self.is_stopping.set(true);
        for link in self.links() {
            link.outbox.close("the entry is stopping");
        }
    }

    /// Records why the entry runs without peers although its settings enable them.
    pub fn set_fault(&self, fault: Option<String>) {
        self.fault.replace(fault);
    }

    /// Applies the platform's list of VMs.
    pub fn apply_vms(&self, vms: &[Vm]) {
        if let Some(members) = &mut *self.members.borrow_mut() {
            members.apply_vms(vms);
        }
    }

    /// Whether the entry is closing its connections.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.get()
    }

    /// Queries the entry called `holder` for a claim.
    ///
    /// Returns `None` at once if no entry of that name is known, and otherwise if the exchange
    /// fails or exceeds `timeout`.
    pub async fn query_claim(
        &self,
        holder: &str,
        query: ClaimQuery,
        timeout: Duration,
    ) -> Option<ClaimReply> {
        let exchange = async {
            let link = self.find_or_connect(holder).await?;
            match self.request(&link, &Request::Claim(query)).await? {
                Reply::Claim(reply) => Some(reply),
                Reply::Document(_) | Reply::Missing => None,
            }
        };
        monoio::time::timeout(timeout, exchange).await.ok().flatten()
    }

    /// Sends a request to a connected peer; `None` if the connection ends first.
    pub async fn request(&self, link: &Link, request: &Request) -> Option<Reply> {
        let (sender, receiver) = oneshot::channel();
        if !link.outbox.send_request(request, sender) {
            return None;
        }
        receiver.await.ok()
    }

    /// The connection to the entry called `name`. If there is none, requests one and waits for it.
    async fn find_or_connect(&self, name: &str) -> Option<Rc<Link>> {
        loop {
            let links = self.links();
            if let Some(link) = links.into_iter().find(|link| link.hello.name == name) {
                return Some(link);
            }
            let address = self.members.borrow().as_ref()?.find(name)?;
            self.on_demand.borrow_mut().insert(address, Instant::now());
            monoio::time::sleep(LINK_POLL_INTERVAL).await;
        }
    }

    /// Sends a message to all connected peers.
    fn broadcast(&self, message: &Message) {
        let frame = message.encode().encode();
        for link in self.links.borrow().values() {
            link.outbox.send_frame(frame.clone());
        }
    }

    fn answer_claim(&self, query: &ClaimQuery) -> Reply {
        match &*self.claim_handler.borrow() {
            Some(handler) => Reply::Claim(handler(query)),
            None => Reply::Missing,
        }
    }

    fn hello(&self, settings: &Settings) -> Hello {
        Hello {
            protocol: PROTOCOL_VERSION,
            oldest: OLDEST_VERSION,
            features: FEATURES,
            name: settings.name.clone(),
            address: settings.peers.as_ref().map_or(settings.listen, |peers| peers.address),
            domain: settings.domain.clone(),
            instance: self.instance,
        }
    }

    /// Registers a connection unless a preferred one to the same entry exists.
    ///
    /// Of two connections between the same processes, both sides keep the one that the lower
    /// address opened.
    fn register(&self, entry: &Entry, link: &Rc<Link>) -> bool {
        let own = self.hello(&entry.settings).address;
        let address = link.hello.address;
        if link.hello.instance == self.instance || address == own {
            return false;
        }
        let existing = self.links.borrow().get(&address).cloned();
        if let Some(existing) = existing {
            let is_same = existing.hello.instance == link.hello.instance;
            if is_same && existing.initiator(own) < link.initiator(own) {
                return false;
            }
            existing.outbox.close("a newer connection to the peer exists");
        }
        self.links.borrow_mut().insert(address, link.clone());
        log::info!(peer = link.hello.name.as_str(); "peer connected");
        let record = MemberRecord {
            name: link.hello.name.clone(),
            address,
            domain: link.hello.domain.clone(),
        };
        if let Some(members) = &mut *self.members.borrow_mut() {
            members.record_connected(&record, Instant::now());
        }
        self.send_initial_state(entry, link);
        self.broadcast(&Message::Members(vec![record]));
        true
    }

    /// Sends a new peer the revision, the members and the recent drain signals.
    fn send_initial_state(&self, entry: &Entry, link: &Link) {
        if let Some(announcement) = document::announcement(entry) {
            link.outbox.send(&Message::Revision(announcement));
        }
        for records in self.connected_members().chunks(MAX_MEMBER_RECORDS) {
            link.outbox.send(&Message::Members(records.to_vec()));
        }
        let draining: Vec<SocketAddr> = self.draining.borrow().keys().copied().collect();
        for addresses in draining.chunks(MAX_DRAIN_ADDRESSES) {
            link.outbox.send(&Message::Drain(addresses.to_vec()));
        }
    }

    fn connected_members(&self) -> Vec<MemberRecord> {
        let links = self.links.borrow();
        let record = |link: &Rc<Link>| MemberRecord {
            name: link.hello.name.clone(),
            address: link.hello.address,
            domain: link.hello.domain.clone(),
        };
        links.values().map(record).collect()
    }

    fn unregister(&self, link: &Rc<Link>) {
        let mut links = self.links.borrow_mut();
        if links.get(&link.hello.address).is_some_and(|current| Rc::ptr_eq(current, link)) {
            links.remove(&link.hello.address);
        }
    }

    fn record_members(&self, records: &[MemberRecord]) {
        if let Some(members) = &mut *self.members.borrow_mut() {
            for record in records {
                members.record(record, Instant::now());
            }
        }
    }

    /// Records new drain signals of targets and sends them to all peers.
    fn broadcast_drains(&self, addresses: &[SocketAddr], now: Instant) {
        let mut draining = self.draining.borrow_mut();
        draining.retain(|_, time| now.saturating_duration_since(*time) < DRAIN_RETENTION);
        draining.extend(addresses.iter().map(|address| (*address, now)));
        drop(draining);
        for chunk in addresses.chunks(MAX_DRAIN_ADDRESSES) {
            self.broadcast(&Message::Drain(chunk.to_vec()));
        }
    }

    fn count_received(&self, entry: &Entry, bytes: usize) {
        entry.metrics.count_peer_message("received", bytes);
    }

    fn count_sent(&self, entry: &Entry, bytes: usize) {
        entry.metrics.count_peer_message("sent", bytes);
    }

    /// The state of peers for `/status`.
    pub fn status(&self) -> serde_json::Value {
        let members = self.members.borrow();
        let Some(members) = &*members else {
            return serde_json::json!({ "enabled": false, "reason": "no keys are configured" });
        };
        if let Some(fault) = &*self.fault.borrow() {
            return serde_json::json!({ "enabled": false, "reason": fault });
        }
        let links = self.links();
        let mut names: Vec<&str> = links.iter().map(|link| link.hello.name.as_str()).collect();
        names.sort_unstable();
        serde_json::json!({ "enabled": true, "connected": names, "known": members.len() })
    }
}
