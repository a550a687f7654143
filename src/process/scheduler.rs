//! The scheduler: the state of all services and targets in an entry's document.

use std::collections::HashMap;

use local_sync::oneshot;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use slotmap::SlotMap;

use super::budget::WorkspaceBudget;
use super::health::Health;
use super::outcome::TargetFeedback;
use super::peer_updates::PeerUpdates;
use super::pool::Pool;
use super::probes::result::ProbeResult;
use super::queue::FlowKey;
use super::service::{ServiceId, ServiceState};
use super::share::{long_slots, EntryPosition};
use super::target::{LoadReport, Target, TargetKey};
use crate::connection::memory_budget::MemoryBudget;
use crate::edge::vms::{Vm, VmRole};
use crate::prelude::*;
use crate::version::document::Document;
use crate::version::service::Service;

/// Admits, queues and routes the calls of all services, and holds their targets and retry budgets.
pub struct Scheduler {
    pub(super) targets: SlotMap<TargetKey, Target>,
    pub(super) services: SlotMap<ServiceId, ServiceState>,
    pub(super) rng: SmallRng,
    /// Number of the newest call sent.
    pub(super) call_number: u64,
    /// Failure domain of the entry.
    pub(super) domain: String,
    /// Wakes the task that polls the queues; set while that task sleeps because no call waits.
    pub(super) queue_wakeup: Option<oneshot::Sender<()>>,
    name: String,
    /// Counts and limits the memory of responses from targets.
    memory: Rc<MemoryBudget>,
    max_entries: u32,
    /// Position by the newest list of VMs; `None` if this entry is not in it.
    listed_position: Option<EntryPosition>,
    target_keys: HashMap<SocketAddr, TargetKey>,
    service_ids: HashMap<String, ServiceId>,
    retry_budgets: HashMap<FlowKey, WorkspaceBudget>,
    /// Updates that have not been sent to peers yet.
    pub(super) updates: PeerUpdates,
}

impl Scheduler {
    /// Creates a scheduler without services for an entry of the given name and failure domain;
    /// responses from targets are counted in `memory`.
    pub fn new(name: &str, domain: &str, memory: Rc<MemoryBudget>) -> Self {
        Self {
            targets: SlotMap::with_key(),
            services: SlotMap::with_key(),
            rng: SmallRng::seed_from_u64(xxhash_rust::xxh3::xxh3_64(name.as_bytes())),
            call_number: 0,
            domain: domain.into(),
            queue_wakeup: None,
            name: name.into(),
            memory,
            max_entries: 1,
            listed_position: None,
            target_keys: HashMap::new(),
            service_ids: HashMap::new(),
            retry_budgets: HashMap::new(),
            updates: PeerUpdates::default(),
        }
    }

    /// Applies a document; services and targets that it still contains keep their state.
    pub fn apply(&mut self, document: &Document, now: Instant) {
        self.max_entries = document.max_entries;
        let old_keys = std::mem::take(&mut self.target_keys);
        let mut old_ids = std::mem::take(&mut self.service_ids);
        for service in &document.services {
            let id = old_ids
                .remove(&service.name)
                .unwrap_or_else(|| self.services.insert(ServiceState::new(service.policy, 0)));
            self.service_ids.insert(service.name.clone(), id);
            self.apply_service(id, service, &old_keys, now);
        }
        // This drops the queues of removed services, which refuses their calls with
        // `NotRunNoTarget`.
        for id in old_ids.into_values() {
            self.services.remove(id);
        }
        for (address, key) in old_keys {
            if !self.target_keys.contains_key(&address) {
                self.targets.remove(key);
            }
        }
        self.assign_slots();
    }

    /// Applies one service of a document; `old_keys` holds the targets of the previous document.
    fn apply_service(
        &mut self,
        id: ServiceId,
        service: &Service,
        old_keys: &HashMap<SocketAddr, TargetKey>,
        now: Instant,
    ) {
        let connection_limit = (service.connections / self.max_entries.max(1)).max(1);
        // Targets ramp up only if they are added to a service that already has targets.
        let had_no_targets = self.services[id].targets.is_empty();
        let mut keys = Vec::new();
        for spec in &service.targets {
            let existing =
                self.target_keys.get(&spec.address).or(old_keys.get(&spec.address)).copied();
            let health = if had_no_targets { Health::default() } else { Health::ramping(now) };
            let key = existing.unwrap_or_else(|| {
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
                    pool: Rc::new(Pool::new(spec.address, connection_limit, self.memory.clone())),
                })
            });
            let target = &mut self.targets[key];
            target.domain.clone_from(&spec.domain);
            target.slots = service.slots.max(1);
            target.pool.set_limit(connection_limit);
            self.target_keys.insert(spec.address, key);
            keys.push(key);
        }
        let state = &mut self.services[id];
        state.policy = service.policy;
        state.queue_limit = service.queue as usize;
        state.targets = keys;
    }

    /// Applies the list of VMs; `own` is this entry's address in the list.
    pub fn apply_vms(&mut self, vms: &[Vm], own: SocketAddr, now: Instant) {
        // At least this entry is alive, so an empty list is wrong.
        if vms.is_empty() {
            return;
        }
        let mut entries: Vec<SocketAddr> = vms
            .iter()
            .filter(|vm| vm.role == VmRole::Entry && !vm.draining)
            .map(|vm| vm.address)
            .collect();
        entries.sort_unstable();
        let rank = entries.iter().position(|address| *address == own);
        self.listed_position = rank
            .map(|rank| EntryPosition { rank: rank as u32, count: entries.len().max(1) as u32 });
        let drain_flags: HashMap<SocketAddr, bool> =
            vms.iter().map(|vm| (vm.address, vm.draining)).collect();
        for (_, target) in &mut self.targets {
            let was_draining = target.drain.is_draining();
            match drain_flags.get(&target.address) {
                Some(false) => {
                    if target.drain.record_listed(now) {
                        target.health = Health::ramping(now);
                    }
                }
                Some(true) => {
                    target.drain.record_listed(now);
                    target.drain.mark_draining(now);
                }
                None => target.drain.record_unlisted(now),
            }
            if !was_draining && target.drain.is_draining() {
                self.updates.record_drain(target.address);
            }
        }
        self.assign_slots();
    }

    /// The ID of a service, by its name.
    pub fn service_id(&self, name: &str) -> Option<ServiceId> {
        self.service_ids.get(name).copied()
    }

    /// The key of a target, by its address.
    pub fn target_key(&self, address: SocketAddr) -> Option<TargetKey> {
        self.target_keys.get(&address).copied()
    }

    /// Records a drain signal of a target, from any source; the first one is also queued for peers.
    pub fn mark_draining(&mut self, address: SocketAddr, now: Instant) {
        let Some(target) = self.target_key(address) else { return };
        let drain = &mut self.targets[target].drain;
        if !drain.is_draining() {
            self.updates.record_drain(address);
        }
        drain.mark_draining(now);
    }

    /// Records a load report of a target that a peer has relayed, `age` after the target sent it.
    pub fn record_peer_load(&mut self, address: SocketAddr, report: LoadReport, age: Duration) {
        let Some(key) = self.target_key(address) else { return };
        let Some(at) = Instant::now().checked_sub(age) else { return };
        let target = &mut self.targets[key];
        if target.peer_load.is_older_than(at) {
            target.peer_load.record(report.total(), target.inflight.len(), target.slots, at);
        }
    }

    /// Takes the updates that have not been sent to peers yet.
    pub fn take_updates(&mut self) -> PeerUpdates {
        std::mem::take(&mut self.updates)
    }

    /// Records the result of a probe.
    pub fn record_probe(&mut self, result: &ProbeResult) {
        let Some(key) = self.target_key(result.address) else { return };
        let feedback = TargetFeedback {
            report: Some(result.report),
            draining: result.draining,
            duration_valid: false,
        };
        self.record_feedback(key, feedback, result.at);
    }

    /// Time of the newest load report of a target.
    pub fn last_report_at(&self, address: SocketAddr) -> Option<Instant> {
        self.targets[self.target_key(address)?].peer_load.updated_at()
    }

    /// The connection pool of the target at an address.
    pub fn pool_at(&self, address: SocketAddr) -> Option<Rc<Pool>> {
        self.pool(self.target_key(address)?)
    }

    /// The connection pool of a target.
    pub fn pool(&self, key: TargetKey) -> Option<Rc<Pool>> {
        self.targets.get(key).map(|target| target.pool.clone())
    }

    /// The state of a target.
    pub fn get(&self, key: TargetKey) -> Option<&Target> {
        self.targets.get(key)
    }

    /// The retry budget of a workspace.
    pub fn retry_budget(&mut self, flow: FlowKey) -> &mut WorkspaceBudget {
        self.retry_budgets.entry(flow).or_default()
    }

    /// Services with waiting calls.
    pub(super) fn waiting_services(&self) -> Vec<ServiceId> {
        let waiting = self.services.iter().filter(|(_, state)| state.has_waiting());
        waiting.map(|(id, _)| id).collect()
    }

    /// Recomputes which slots of each target are reserved for this entry.
    fn assign_slots(&mut self) {
        let position =
            self.listed_position.unwrap_or(EntryPosition::from_name(&self.name, self.max_entries));
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
