//! All services and targets that an entry knows.

use std::collections::HashMap;

use local_sync::oneshot;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use slotmap::SlotMap;

use super::budget::Budget;
use super::health::Health;
use super::outcome::TargetFeedback;
use super::peer_updates::PeerUpdates;
use super::pool::Pool;
use super::probes::result::ProbeResult;
use super::queue::FlowKey;
use super::service::{ServiceId, ServiceState};
use super::share::{long_slots, EntryPosition};
use super::target::{LoadReport, Target, TargetKey};
use crate::connection::memory::Memory;
use crate::edge::vms::{Vm, VmRole};
use crate::prelude::*;
use crate::version::document::Document;
use crate::version::service::Service;

/// The targets of all services, the queues in front of them, and the retry budgets.
pub struct Scheduler {
    pub(super) targets: SlotMap<TargetKey, Target>,
    pub(super) services: SlotMap<ServiceId, ServiceState>,
    pub(super) random: SmallRng,
    /// Number of the newest call sent.
    pub(super) call_number: u64,
    /// Failure domain of the entry.
    pub(super) domain: String,
    /// Wakes the task that serves queues when a call starts to wait.
    pub(super) idle: Option<oneshot::Sender<()>>,
    name: String,
    /// Counts and bounds what targets send.
    memory: Rc<Memory>,
    max_entries: u32,
    listed: Option<EntryPosition>,
    addresses: HashMap<SocketAddr, TargetKey>,
    names: HashMap<String, ServiceId>,
    budgets: HashMap<FlowKey, Budget>,
    /// What peers do not know yet.
    pub(super) updates: PeerUpdates,
}

impl Scheduler {
    /// Creates an empty fleet for an entry of the given name and failure domain; what targets send
    /// is counted in `memory`.
    pub fn new(name: &str, domain: &str, memory: Rc<Memory>) -> Self {
        Self {
            targets: SlotMap::with_key(),
            services: SlotMap::with_key(),
            random: SmallRng::seed_from_u64(xxhash_rust::xxh3::xxh3_64(name.as_bytes())),
            call_number: 0,
            domain: domain.into(),
            idle: None,
            name: name.into(),
            memory,
            max_entries: 1,
            listed: None,
            addresses: HashMap::new(),
            names: HashMap::new(),
            budgets: HashMap::new(),
            updates: PeerUpdates::default(),
        }
    }

    /// Takes over a document; services and targets that stay keep their state.
    pub fn apply(&mut self, document: &Document, now: Instant) {
        self.max_entries = document.max_entries;
        let old_addresses = std::mem::take(&mut self.addresses);
        let mut old_names = std::mem::take(&mut self.names);
        for service in &document.services {
            let id = old_names
                .remove(&service.name)
                .unwrap_or_else(|| self.services.insert(ServiceState::new(service.policy, 0)));
            self.names.insert(service.name.clone(), id);
            self.apply_service(id, service, &old_addresses, now);
        }
        // Calls that wait for a removed service are told that it has no target.
        for id in old_names.into_values() {
            self.services.remove(id);
        }
        for (address, key) in old_addresses {
            if !self.addresses.contains_key(&address) {
                self.targets.remove(key);
            }
        }
        self.assign();
    }

    fn apply_service(
        &mut self,
        id: ServiceId,
        service: &Service,
        old: &HashMap<SocketAddr, TargetKey>,
        now: Instant,
    ) {
        let limit = (service.connections / self.max_entries.max(1)).max(1);
        let is_first = self.services[id].targets.is_empty();
        let mut keys = Vec::new();
        for spec in &service.targets {
            let known = self.addresses.get(&spec.address).or(old.get(&spec.address)).copied();
            let health = if is_first { Health::default() } else { Health::ramping(now) };
            let key = known.unwrap_or_else(|| {
                self.targets.insert(Target {
                    address: spec.address,
                    domain: String::new(),
                    slots: 0,
                    reserved: 0,
                    long_reserved: 0,
                    inflight: Vec::new(),
                    health,
                    drain: Default::default(),
                    peer_load: Default::default(),
                    pool: Rc::new(Pool::new(spec.address, limit, self.memory.clone())),
                })
            });
            let target = &mut self.targets[key];
            target.domain.clone_from(&spec.domain);
            target.slots = service.slots.max(1);
            target.pool.set_limit(limit);
            self.addresses.insert(spec.address, key);
            keys.push(key);
        }
        let state = &mut self.services[id];
        state.policy = service.policy;
        state.limit = service.queue as usize;
        state.targets = keys;
    }

    /// Takes over the list of VMs; `own` is this entry's address in the list.
    pub fn apply_vms(&mut self, vms: &[Vm], own: SocketAddr, now: Instant) {
        // An empty list is a fault of the list, since at least this entry is alive.
        if vms.is_empty() {
            return;
        }
        let mut entries: Vec<SocketAddr> = vms
            .iter()
            .filter(|vm| vm.role == VmRole::Entry && !vm.leaving)
            .map(|vm| vm.address)
            .collect();
        entries.sort_unstable();
        let rank = entries.iter().position(|address| *address == own);
        self.listed = rank
            .map(|rank| EntryPosition { rank: rank as u32, count: entries.len().max(1) as u32 });
        let listed: HashMap<SocketAddr, bool> =
            vms.iter().map(|vm| (vm.address, vm.leaving)).collect();
        for (_, target) in &mut self.targets {
            let was_leaving = target.drain.is_leaving();
            match listed.get(&target.address) {
                Some(false) => {
                    if target.drain.list_live(now) {
                        target.health = Health::ramping(now);
                    }
                }
                Some(true) => {
                    target.drain.list_live(now);
                    target.drain.leave(now);
                }
                None => target.drain.list_without(now),
            }
            if !was_leaving && target.drain.is_leaving() {
                self.updates.leave(target.address);
            }
        }
        self.assign();
    }

    /// The key of a service.
    pub fn service(&self, name: &str) -> Option<ServiceId> {
        self.names.get(name).copied()
    }

    /// The key of a target.
    pub fn target(&self, address: SocketAddr) -> Option<TargetKey> {
        self.addresses.get(&address).copied()
    }

    /// Takes a sign, from wherever it comes, that a target leaves; the first one is news for peers.
    pub fn leave(&mut self, address: SocketAddr, now: Instant) {
        let Some(target) = self.target(address) else { return };
        let drain = &mut self.targets[target].drain;
        if !drain.is_leaving() {
            self.updates.leave(address);
        }
        drain.leave(now);
    }

    /// Takes a peer's load report of a target; `age` is the time since the target sent it.
    pub fn hint(&mut self, address: SocketAddr, report: LoadReport, age: Duration) {
        let Some(key) = self.target(address) else { return };
        let Some(at) = Instant::now().checked_sub(age) else { return };
        let target = &mut self.targets[key];
        if target.peer_load.is_older(at) {
            target.peer_load.observe(report.total(), target.inflight.len(), target.slots, at);
        }
    }

    /// Takes what peers do not know yet.
    pub fn take_updates(&mut self) -> PeerUpdates {
        std::mem::take(&mut self.updates)
    }

    /// Takes the result of a probe.
    pub fn probed(&mut self, result: &ProbeResult) {
        let Some(key) = self.target(result.address) else { return };
        let feedback = TargetFeedback {
            report: Some(result.report),
            draining: result.draining,
            duration_valid: false,
        };
        self.observe(key, feedback, result.at);
    }

    /// When a target last reported its load.
    pub fn heard(&self, address: SocketAddr) -> Option<Instant> {
        self.targets[self.target(address)?].peer_load.seen()
    }

    /// The connections to the target at an address.
    pub fn pool_at(&self, address: SocketAddr) -> Option<Rc<Pool>> {
        self.pool(self.target(address)?)
    }

    /// The connections to a target.
    pub fn pool(&self, key: TargetKey) -> Option<Rc<Pool>> {
        self.targets.get(key).map(|target| target.pool.clone())
    }

    /// A target's state, for status and tests.
    pub fn get(&self, key: TargetKey) -> Option<&Target> {
        self.targets.get(key)
    }

    /// The retry budget of a workspace.
    pub fn budget(&mut self, flow: FlowKey) -> &mut Budget {
        self.budgets.entry(flow).or_default()
    }

    /// Services with waiting calls.
    pub(super) fn busy_services(&self) -> Vec<ServiceId> {
        let busy = self.services.iter().filter(|(_, state)| state.has_waiting());
        busy.map(|(id, _)| id).collect()
    }

    /// Assigns the slots of all targets anew.
    fn assign(&mut self) {
        let position =
            self.listed.unwrap_or(EntryPosition::from_name(&self.name, self.max_entries));
        for state in self.services.values() {
            let slots: Vec<u32> =
                state.targets.iter().map(|key| self.targets[*key].slots).collect();
            let long: Vec<u32> = slots.iter().map(|slots| long_slots(*slots)).collect();
            let reserved_pairs =
                position.reserved_slots(&slots).into_iter().zip(position.reserved_slots(&long));
            for (key, (reserved, long_reserved)) in state.targets.iter().zip(reserved_pairs) {
                self.targets[*key].reserved = reserved;
                self.targets[*key].long_reserved = long_reserved;
            }
        }
    }
}
