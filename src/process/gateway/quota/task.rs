//! Connects the quotas with the calls, the socket and the clock of a gateway.

use std::collections::HashMap;

use local_sync::mpsc::unbounded::{self, Tx};
use local_sync::oneshot;

use super::limit::{Limit, Terms};
use super::node::Node;
use super::verdict::{Admission, Verdict};
use super::wire::{Reply, Request, REQUEST_FORMAT};
use super::{Ticket, WorkspaceId};
use crate::edge::directory::EntryRecord;
use crate::prelude::*;
use crate::process::gateway::Gateway;
use crate::process::suspension;
use crate::version::route_table::RouteTable;
use crate::version::workspace_table::WorkspacePlan;

/// The quotas of a gateway.
pub struct Quotas {
    node: RefCell<Node>,
    waiting: RefCell<HashMap<Ticket, oneshot::Sender<Verdict>>>,
    socket: RefCell<Option<std::net::UdpSocket>>,
    /// Wakes the task that watches the times.
    waker: RefCell<Option<Tx<()>>>,
    /// Time at which that task wakes next.
    planned: Cell<Option<Duration>>,
}

impl Quotas {
    /// Creates the quotas of a process; `id` is random.
    pub fn new(id: u64) -> Self {
        Self {
            node: RefCell::new(Node::new(id)),
            waiting: RefCell::default(),
            socket: RefCell::default(),
            waker: RefCell::default(),
            planned: Cell::default(),
        }
    }

    /// Puts the limits of a route table in force.
    pub fn set_table(&self, table: &RouteTable, terms: Terms) {
        let plans = table.workspaces().map_or(&[][..], |workspaces| workspaces.plans());
        let limits =
            plans.iter().filter_map(|plan| Some(Limit::new(plan.name.clone(), plan.quota?, terms)));
        self.node.borrow_mut().set_limits(limits, suspension::since_boot());
        self.deliver();
        self.wake();
    }

    /// Replaces the list of entries.
    pub fn set_list(&self, own: &EntryRecord, records: &[EntryRecord]) {
        self.node.borrow_mut().set_list(own, records);
        self.wake();
    }

    /// Takes a datagram about quotas.
    pub fn receive(&self, gateway: &Gateway, message: &[u8], from: SocketAddr) {
        let mut node = self.node.borrow_mut();
        let now = suspension::since_boot();
        set_fleet(&mut node, gateway, now);
        let decoded = match message.first() {
            Some(&REQUEST_FORMAT) => {
                Request::decode(message).map(|request| node.receive_request(&request, from, now))
            }
            _ => Reply::decode(message).map(|reply| node.receive_reply(&reply, from, now)),
        };
        if let Err(error) = decoded {
            node.count_dropped();
            log::debug!(error:% = error; "quota message dropped");
        }
        drop(node);
        self.settle(gateway);
    }

    /// Whether a workspace uses all of its quota.
    pub fn is_limited(&self, workspace: &WorkspacePlan) -> bool {
        let id = WorkspaceId::new(&workspace.name);
        self.node.borrow().is_limited(id, suspension::since_boot())
    }

    /// Number of calls that wait for a token.
    pub fn waiting_count(&self) -> usize {
        self.waiting.borrow().len()
    }

    /// Sends what is to be sent and tells the waiting calls their verdicts.
    fn settle(&self, gateway: &Gateway) {
        let datagrams = self.node.borrow_mut().take_outbox();
        if let Some(socket) = &*self.socket.borrow() {
            for datagram in datagrams {
                // A datagram that does not fit into the socket's buffer counts as lost.
                if let Err(error) = socket.send_to(&datagram.message, datagram.address) {
                    log::debug!(address:% = datagram.address, error:% = error; "quota message not sent");
                }
            }
        }
        self.deliver();
        let due = self.node.borrow().next_due();
        if due.is_some() && (self.planned.get().is_none() || due < self.planned.get()) {
            self.wake();
        }
        gateway.metrics.count_quota(self.node.borrow_mut().take_stats());
    }

    fn deliver(&self) {
        let verdicts = self.node.borrow_mut().take_verdicts();
        for (ticket, verdict) in verdicts {
            if let Some(sender) = self.waiting.borrow_mut().remove(&ticket) {
                // The receiver is gone if the caller has left; its token is lost.
                let _ = sender.send(verdict);
            }
        }
    }

    fn wake(&self) {
        if let Some(waker) = &*self.waker.borrow() {
            // The receiver is gone only if the task of `run` was dropped.
            let _ = waker.send(());
        }
    }
}

/// Sets the number of entries by which the refill is divided, and whether this entry has a part of
/// it. An entry without a `share` address is not listed, and takes its part of the largest allowed
/// number.
fn set_fleet(node: &mut Node, gateway: &Gateway, now: Duration) {
    let settings = gateway.settings.borrow();
    let fleet = &gateway.sharing.fleet;
    let steady_now = Instant::now();
    let (entries, is_counted) = match settings.share {
        Some(_) => (fleet.counted_entries(steady_now), fleet.is_counted(steady_now)),
        None => (Some(settings.max_entries.max(1)), true),
    };
    node.set_entries(entries, now);
    node.set_counted(is_counted, now);
}

/// Takes a token for a call of a workspace.
///
/// # Errors
///
/// The quota is used up; a call would pass after the returned time.
pub async fn admit(
    gateway: &Rc<Gateway>,
    workspace: &WorkspacePlan,
) -> std::result::Result<(), Duration> {
    if workspace.quota.is_none() {
        return Ok(());
    }
    let quotas = &gateway.quotas;
    let now = suspension::since_boot();
    let admission = {
        let mut node = quotas.node.borrow_mut();
        set_fleet(&mut node, gateway, now);
        node.admit(WorkspaceId::new(&workspace.name), now)
    };
    let ticket = match admission {
        Admission::Decided(verdict) => {
            gateway.metrics.count_quota(quotas.node.borrow_mut().take_stats());
            return verdict.into();
        }
        Admission::Waiting(ticket) => ticket,
    };
    let (sender, receiver) = oneshot::channel();
    quotas.waiting.borrow_mut().insert(ticket, sender);
    let _place = Place { gateway: gateway.clone(), ticket };
    quotas.settle(gateway);
    // The sender is dropped unused only if the gateway ends.
    receiver.await.map_or(Err(Duration::ZERO), Into::into)
}

impl From<Verdict> for std::result::Result<(), Duration> {
    fn from(verdict: Verdict) -> Self {
        match verdict {
            Verdict::Admitted => Ok(()),
            Verdict::Refused(wait) => Err(wait),
        }
    }
}

/// A call's place among the waiting calls, until the value is dropped.
struct Place {
    gateway: Rc<Gateway>,
    ticket: Ticket,
}

impl Drop for Place {
    fn drop(&mut self) {
        let quotas = &self.gateway.quotas;
        if quotas.waiting.borrow_mut().remove(&self.ticket).is_some() {
            quotas.node.borrow_mut().cancel(self.ticket);
        }
    }
}

/// Does what is due until the task is dropped. Without a socket, this entry uses its own share only.
pub async fn run(gateway: Rc<Gateway>, socket: Option<std::net::UdpSocket>) {
    let quotas = &gateway.quotas;
    quotas.socket.replace(socket);
    let (sender, mut receiver) = unbounded::channel();
    quotas.waker.replace(Some(sender));
    loop {
        let now = suspension::since_boot();
        let due = quotas.node.borrow().next_due();
        quotas.planned.set(due);
        match due {
            None => {
                receiver.recv().await;
            }
            Some(due) => monoio::select! {
                _ = receiver.recv() => {}
                () = monoio::time::sleep(due.saturating_sub(now)) => {}
            },
        }
        quotas.planned.set(Some(Duration::ZERO));
        poll(&gateway);
    }
}

fn poll(gateway: &Gateway) {
    let now = suspension::since_boot();
    let mut node = gateway.quotas.node.borrow_mut();
    set_fleet(&mut node, gateway, now);
    node.poll(now);
    if node.is_active() {
        gateway.metrics.set_quota_owner(node.owner_figures(now));
    }
    drop(node);
    gateway.quotas.settle(gateway);
}
