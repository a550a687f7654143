//! What entries tell each other.

pub mod budget;
pub mod dial;
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
    ClaimQuery, ClaimReply, Hello, MemberRecord, Message, Reply, Request, FEATURES, OLDEST,
    PROTOCOL,
};

use super::entry::Entry;
use super::settings::Settings;
use crate::edge::vms::Vm;
use crate::prelude::*;

/// The result of an exchange with peers.
pub type Result<T> = std::result::Result<T, Error>;

/// Answers claim queries of peers.
pub type ClaimSource = Box<dyn Fn(&ClaimQuery) -> ClaimReply>;

/// Time for which a sign that a target leaves is repeated to new peers.
const LEAVING_TIME: Duration = Duration::from_secs(60);
/// Time for which an entry stays connected to a peer outside its regular set after a request.
const VISIT_TIME: Duration = Duration::from_secs(30);
/// Most addresses in one drain sign.
const MAX_DRAINS: usize = 2000;
/// Most members in one hint.
const MAX_RECORDS: usize = 200;
/// Pause between two looks for a connection that is being opened.
const VISIT_INTERVAL: Duration = Duration::from_millis(5);

/// State that the tasks of all peers share.
pub struct Peers {
    pub load_reports: LoadReports,
    claims: RefCell<Option<ClaimSource>>,
    fault: RefCell<Option<String>>,
    instance: u64,
    is_stopping: Cell<bool>,
    leaving: RefCell<HashMap<SocketAddr, Instant>>,
    links: RefCell<HashMap<SocketAddr, Rc<Link>>>,
    members: RefCell<Option<Members>>,
    visits: RefCell<HashMap<SocketAddr, Instant>>,
}

impl Peers {
    /// Creates the state of an entry without peers; `mesh::run` connects it.
    pub fn new(settings: &Settings) -> Self {
        let members = settings
            .peers
            .as_ref()
            .map(|peers| Members::new(peers.address, &settings.domain, &peers.known));
        Self {
            load_reports: LoadReports::new(Instant::now()),
            claims: RefCell::default(),
            fault: RefCell::default(),
            instance: rand::random(),
            is_stopping: Cell::new(false),
            leaving: RefCell::default(),
            links: RefCell::default(),
            members: RefCell::new(members),
            visits: RefCell::default(),
        }
    }

    /// Sets the function that answers peers' claim queries.
    pub fn set_claims(&self, source: ClaimSource) {
        self.claims.replace(Some(source));
    }

    /// The connected peers.
    pub fn links(&self) -> Vec<Rc<Link>> {
        self.links.borrow().values().cloned().collect()
    }

    /// Ends all connections; `mesh::run` then returns.
    pub fn stop(&self) {
        self.is_stopping.set(true);
        for link in self.links() {
            link.outbox.close("the entry is stopping");
        }
    }

    /// Notes why the entry runs without peers in spite of its settings.
    pub fn set_fault(&self, fault: Option<String>) {
        self.fault.replace(fault);
    }

    /// Takes over the platform's list of VMs.
    pub fn take_list(&self, list: &[Vm]) {
        if let Some(members) = &mut *self.members.borrow_mut() {
            members.list(list);
        }
    }

    /// Whether the entry is ending its connections.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.get()
    }

    /// Asks the entry called `holder` about a claim.
    ///
    /// `None` at once if no entry of that name is known, or if it cannot be reached in time.
    pub async fn ask_claim(
        &self,
        holder: &str,
        query: ClaimQuery,
        timeout: Duration,
    ) -> Option<ClaimReply> {
        let asked = async {
            let link = self.visit(holder).await?;
            match self.ask(&link, &Request::Claim(query)).await? {
                Reply::Claim(reply) => Some(reply),
                Reply::Document(_) | Reply::Missing => None,
            }
        };
        monoio::time::timeout(timeout, asked).await.ok().flatten()
    }

    /// Sends a request to a connected peer; `None` if the connection ends first.
    pub async fn ask(&self, link: &Link, request: &Request) -> Option<Reply> {
        let (sender, receiver) = oneshot::channel();
        if !link.outbox.ask(request, sender) {
            return None;
        }
        receiver.await.ok()
    }

    /// The connection to the entry called `name`, opened if there is none.
    async fn visit(&self, name: &str) -> Option<Rc<Link>> {
        loop {
            let links = self.links();
            if let Some(link) = links.into_iter().find(|link| link.hello.name == name) {
                return Some(link);
            }
            let address = self.members.borrow().as_ref()?.find(name)?;
            self.visits.borrow_mut().insert(address, Instant::now());
            monoio::time::sleep(VISIT_INTERVAL).await;
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
        match &*self.claims.borrow() {
            Some(source) => Reply::Claim(source(query)),
            None => Reply::Missing,
        }
    }

    fn hello(&self, settings: &Settings) -> Hello {
        Hello {
            protocol: PROTOCOL,
            oldest: OLDEST,
            features: FEATURES,
            name: settings.name.clone(),
            address: settings.peers.as_ref().map_or(settings.listen, |peers| peers.address),
            domain: settings.domain.clone(),
            instance: self.instance,
        }
    }

    /// Takes over a connection unless a better one to the same entry exists.
    ///
    /// Of two connections between the same processes, the one that the lower address opened
    /// stays, so that both sides keep the same one.
    fn register(&self, entry: &Entry, link: &Rc<Link>) -> bool {
        let own = self.hello(&entry.settings).address;
        let address = link.hello.address;
        if link.hello.instance == self.instance || address == own {
            return false;
        }
        let existing = self.links.borrow().get(&address).cloned();
        if let Some(existing) = existing {
            let is_same = existing.hello.instance == link.hello.instance;
            if is_same && existing.dialler(own) < link.dialler(own) {
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
            members.connected(&record, Instant::now());
        }
        self.introduce(entry, link);
        self.broadcast(&Message::Members(vec![record]));
        true
    }

    /// Tells a new peer what the others know already.
    fn introduce(&self, entry: &Entry, link: &Link) {
        if let Some(announcement) = document::announcement(entry) {
            link.outbox.send(&Message::Revision(announcement));
        }
        for records in self.member_records().chunks(MAX_RECORDS) {
            link.outbox.send(&Message::Members(records.to_vec()));
        }
        let leaving: Vec<SocketAddr> = self.leaving.borrow().keys().copied().collect();
        for addresses in leaving.chunks(MAX_DRAINS) {
            link.outbox.send(&Message::Drain(addresses.to_vec()));
        }
    }

    fn member_records(&self) -> Vec<MemberRecord> {
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

    fn take_members(&self, records: &[MemberRecord]) {
        if let Some(members) = &mut *self.members.borrow_mut() {
            for record in records {
                members.record(record, Instant::now());
            }
        }
    }

    /// Notes first signs that targets leave and tells all peers.
    fn spread_drains(&self, addresses: &[SocketAddr], now: Instant) {
        let mut leaving = self.leaving.borrow_mut();
        leaving.retain(|_, time| now.saturating_duration_since(*time) < LEAVING_TIME);
        leaving.extend(addresses.iter().map(|address| (*address, now)));
        drop(leaving);
        for part in addresses.chunks(MAX_DRAINS) {
            self.broadcast(&Message::Drain(part.to_vec()));
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
