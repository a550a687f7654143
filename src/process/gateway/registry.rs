//! In-memory registry of the targets that are registered in the directory.
//!
//! A delayed write may place an older registration behind a newer one in the directory, or even
//! behind the removal. A registration is therefore applied only if its order (incarnation, then
//! sequence number) is higher than that of the last one with the same id.

use std::collections::{HashMap, HashSet};

use slotmap::SlotMap;

use super::evacuations::Evacuations;
use super::registered_target::{RegisteredTarget, RegisteredTargetKey};
use super::removed_targets::{RemovalCause, RemovedTargets};
use super::response_notice::ResponseNotice;
use super::sharing::buckets::{self, Buckets, Digests};
use crate::connection::memory_budget::MemoryBudget;
use crate::edge::directory::{Change, DecodedChange};
use crate::edge::position::Position;
use crate::prelude::*;
use crate::process::pool::Pool;
use crate::version::registration::{Registration, TargetState};

/// Outcome of applying a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    Added,
    /// A new incarnation replaced the target.
    Reborn,
    Drains,
    /// The registration expired during an outage of the directory; its target may renew it.
    Lapsed,
    /// The target renewed its expired registration.
    Returned,
    Removed,
    /// The registration is invalid, for the given reason; its target was removed.
    Unusable(String),
    /// The change is outdated or alters nothing that matters to routing.
    Unchanged,
}

/// How to treat a target whose registration is no longer in the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbsencePolicy {
    Remove,
    /// Keep the target until this moment unless it is draining: an outage may have kept it from
    /// renewing its registration.
    KeepUntil(Instant),
}

/// All registered targets.
pub struct TargetRegistry {
    targets: SlotMap<RegisteredTargetKey, RegisteredTarget>,
    ids: HashMap<Rc<str>, RegisteredTargetKey>,
    services: HashMap<Rc<str>, Vec<RegisteredTargetKey>>,
    removed: RemovedTargets,
    digests: Digests,
    /// Limit of the connections to one target.
    max_connections: u32,
    /// Memory budget for the responses of all targets.
    memory: Rc<MemoryBudget>,
}

impl TargetRegistry {
    /// Creates an empty registry whose connection pools share the memory budget `memory`.
    pub fn new(max_connections: u32, memory: Rc<MemoryBudget>) -> Self {
        Self {
            targets: SlotMap::default(),
            ids: HashMap::default(),
            services: HashMap::default(),
            removed: RemovedTargets::default(),
            digests: [0; buckets::COUNT],
            max_connections,
            memory,
        }
    }

    pub fn get(&self, key: RegisteredTargetKey) -> Option<&RegisteredTarget> {
        self.targets.get(key)
    }

    pub fn get_mut(&mut self, key: RegisteredTargetKey) -> Option<&mut RegisteredTarget> {
        self.targets.get_mut(key)
    }

    /// Returns the key of the target with this id.
    pub fn key(&self, id: &str) -> Option<RegisteredTargetKey> {
        self.ids.get(id).copied()
    }

    /// Iterates over the targets of the service `name`.
    pub fn service(
        &self,
        name: &str,
    ) -> impl Iterator<Item = (RegisteredTargetKey, &RegisteredTarget)> {
        let keys = self.services.get(name).map_or(&[][..], Vec::as_slice);
        keys.iter().map(|key| (*key, &self.targets[*key]))
    }

    /// Returns the target with this id.
    pub fn find(&self, id: &str) -> Option<&RegisteredTarget> {
        self.ids.get(id).map(|key| &self.targets[*key])
    }

    /// Returns the newest change of each target in `buckets`.
    pub fn changes(&self, buckets: Buckets) -> Vec<Change> {
        let targets = self.targets.values().filter(|target| buckets.contains(&target.change.key));
        targets.map(|target| target.change.clone()).collect()
    }

    /// Digests of all targets, by which another entry finds the buckets in which it differs.
    pub fn digests(&self) -> Digests {
        self.digests
    }

    pub fn len(&self) -> usize {
        self.targets.len()
    }

    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Applies one change of the directory.
    pub fn apply(
        &mut self,
        change: &Change,
        decoded: &DecodedChange,
        absence: AbsencePolicy,
        now: Instant,
    ) -> Effect {
        if self.find(&change.key).is_some_and(|target| change.position < target.change.position) {
            return Effect::Unchanged;
        }
        match decoded {
            DecodedChange::Target(registration) => {
                self.apply_registration(registration, change, now)
            }
            DecodedChange::Removed => self.expire(&change.key, Some(change.position), absence),
            DecodedChange::Unusable(reason) => {
                self.remove(&change.key, RemovalCause::Unusable);
                Effect::Unusable(reason.clone())
            }
            DecodedChange::Routes(_) | DecodedChange::Evacuation { .. } => Effect::Unchanged,
        }
    }

    /// Records what a target said in a response. The connections to a target that is leaving are
    /// closed as soon as their calls have ended.
    pub fn record_notice(
        &mut self,
        key: RegisteredTargetKey,
        notice: ResponseNotice,
        now: Instant,
    ) {
        let Some(target) = self.targets.get_mut(key) else { return };
        target.availability.record(notice, now);
        if notice.leaving {
            target.pool.close();
        }
    }

    /// When the first target of a service takes calls again, if all that are in service turn them
    /// away for a time. Targets of evacuated domains are left out.
    pub fn retry_at(
        &self,
        service: &str,
        evacuations: &Evacuations,
        now: Instant,
    ) -> Option<Instant> {
        let open = || {
            let targets = self.service(service).map(|(_, target)| target);
            targets.filter(|target| !evacuations.is_closed(&target.registration.domain, now))
        };
        if open().any(|target| target.is_eligible(now)) {
            return None;
        }
        open().filter_map(|target| target.retry_at(now)).min()
    }

    /// Expires all targets in the buckets that are not listed in `present`.
    ///
    /// Returns the last change of each such target and the effect.
    pub fn expire_missing(
        &mut self,
        present: &HashSet<Rc<str>>,
        buckets: Buckets,
        absence: AbsencePolicy,
    ) -> Vec<(Change, Effect)> {
        let is_missing = |target: &&RegisteredTarget| {
            let id = &target.change.key;
            buckets.contains(id) && !present.contains(id)
        };
        let missing: Vec<Change> =
            self.targets.values().filter(is_missing).map(|target| target.change.clone()).collect();
        let expire = |change: Change| {
            let effect = self.expire(&change.key, None, absence);
            (change, effect)
        };
        missing.into_iter().map(expire).collect()
    }

    /// Removes targets that have not renewed their expired registration in time; returns the last
    /// change of each.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<Change> {
        let has_expired =
            |target: &RegisteredTarget| target.expires_at.is_some_and(|expiry| now >= expiry);
        let expired = self.targets.values().filter(|target| has_expired(target));
        let last_changes: Vec<Change> = expired.map(|target| target.change.clone()).collect();
        for change in &last_changes {
            self.remove(&change.key, RemovalCause::Removed(None));
        }
        last_changes
    }

    fn apply_registration(
        &mut self,
        registration: &Registration,
        change: &Change,
        now: Instant,
    ) -> Effect {
        let id = &registration.id;
        let Some(key) = self.ids.get(id).copied() else {
            if self.removed.is_outdated(registration, change.position) {
                return Effect::Unchanged;
            }
            self.add(registration.clone(), change.clone(), now);
            return Effect::Added;
        };
        let target = &mut self.targets[key];
        let current = &target.registration;
        let is_repeated = registration.order() == current.order()
            && change.position > target.change.position
            && target.expires_at.is_some();
        if registration.order() <= current.order() && !is_repeated {
            return Effect::Unchanged;
        }
        let is_same_incarnation = registration.born == current.born
            && registration.address == current.address
            && registration.service == current.service;
        if !is_same_incarnation {
            self.remove(id, RemovalCause::Removed(None));
            self.add(registration.clone(), change.clone(), now);
            return Effect::Reborn;
        }
        let starts_draining =
            current.state == TargetState::Ready && registration.state == TargetState::Draining;
        target.change = change.clone();
        target.warmup.register(registration.warmup, now);
        // Takes the old registration out of the digests and adds the new one.
        buckets::toggle(&mut self.digests, &target.registration);
        buckets::toggle(&mut self.digests, registration);
        target.registration = registration.clone();
        match (starts_draining, target.expires_at.take()) {
            (true, _) => Effect::Drains,
            (false, Some(_)) => Effect::Returned,
            (false, None) => Effect::Unchanged,
        }
    }

    /// Treats a target whose registration is gone as `absence` demands; `position` is that of the
    /// removal, if it is known.
    fn expire(&mut self, id: &str, position: Option<Position>, absence: AbsencePolicy) -> Effect {
        let Some(key) = self.ids.get(id).copied() else { return Effect::Unchanged };
        let target = &mut self.targets[key];
        match absence {
            AbsencePolicy::KeepUntil(end) if target.registration.state == TargetState::Ready => {
                let was_present = target.expires_at.is_none();
                target.expires_at = target.expires_at.max(Some(end));
                if was_present {
                    Effect::Lapsed
                } else {
                    Effect::Unchanged
                }
            }
            AbsencePolicy::KeepUntil(_) | AbsencePolicy::Remove => {
                self.remove(id, RemovalCause::Removed(position));
                Effect::Removed
            }
        }
    }

    fn add(&mut self, registration: Registration, change: Change, now: Instant) {
        buckets::toggle(&mut self.digests, &registration);
        let (id, service) = (registration.id.clone(), registration.service.clone());
        let pool = Pool::new(registration.address, self.max_connections, self.memory.clone());
        let mut target = RegisteredTarget::new(registration, change, pool, now);
        target.availability = self.removed.availability(&target.registration);
        let key = self.targets.insert(target);
        self.ids.insert(id, key);
        self.services.entry(service).or_default().push(key);
    }

    fn remove(&mut self, id: &str, cause: RemovalCause) {
        let Some(key) = self.ids.remove(id) else { return };
        let Some(target) = self.targets.remove(key) else { return };
        let registration = target.registration;
        buckets::toggle(&mut self.digests, &registration);
        if let Some(keys) = self.services.get_mut(&registration.service) {
            keys.retain(|other| *other != key);
        }
        self.removed.insert(&registration, target.availability, cause);
    }
}
