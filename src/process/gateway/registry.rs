//! The registered targets, as the directory's changes describe them.
//!
//! A report counts only if it follows the last one of its id, since a delayed write may put an
//! older report behind a newer one or even behind the removal.

use std::collections::{HashMap, HashSet};

use slotmap::SlotMap;

use super::registered_target::{RegisteredTarget, RegisteredTargetKey};
use super::sharing::buckets::{self, Buckets, Digests};
use crate::connection::memory_budget::MemoryBudget;
use crate::edge::directory::{Change, DecodedChange};
use crate::prelude::*;
use crate::process::pool::Pool;
use crate::version::registration::{Registration, TargetState};

/// Removed targets whose last report is remembered.
const MAX_REMOVED: usize = 8192;

/// What a change did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    Added,
    /// A new incarnation has taken the id.
    Reborn,
    Drains,
    /// The entry lapsed while the directory was away and may come back.
    Lapsed,
    /// A lapsed entry came back.
    Returned,
    Removed,
    /// The entry cannot be used and names no target.
    Unusable(String),
    /// The change is older than what is known, or says nothing new.
    Unchanged,
}

/// How the absence of an entry is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Absence {
    /// The target is gone.
    Gone,
    /// The target may have been unable to renew its entry until this moment.
    MayReturn(Instant),
}

/// All registered targets.
pub struct TargetRegistry {
    targets: SlotMap<RegisteredTargetKey, RegisteredTarget>,
    ids: HashMap<Rc<str>, RegisteredTargetKey>,
    services: HashMap<Rc<str>, Vec<RegisteredTargetKey>>,
    /// Order of the last report of removed targets.
    removed: HashMap<Rc<str>, (u64, u64)>,
    digests: Digests,
    /// Most connections to one target.
    connections: u32,
    /// Counts and bounds what targets send.
    memory: Rc<MemoryBudget>,
}

impl TargetRegistry {
    /// An empty roster; at most `connections` are opened to one target, and what targets send is
    /// counted in `memory`.
    pub fn new(connections: u32, memory: Rc<MemoryBudget>) -> Self {
        Self {
            targets: SlotMap::default(),
            ids: HashMap::default(),
            services: HashMap::default(),
            removed: HashMap::default(),
            digests: [0; buckets::COUNT],
            connections,
            memory,
        }
    }

    /// A target.
    pub fn get(&self, key: RegisteredTargetKey) -> Option<&RegisteredTarget> {
        self.targets.get(key)
    }

    /// A target, to change it.
    pub fn get_mut(&mut self, key: RegisteredTargetKey) -> Option<&mut RegisteredTarget> {
        self.targets.get_mut(key)
    }

    /// The key of the target of that id.
    pub fn key(&self, id: &str) -> Option<RegisteredTargetKey> {
        self.ids.get(id).copied()
    }

    /// The targets of a service.
    pub fn service(
        &self,
        name: &str,
    ) -> impl Iterator<Item = (RegisteredTargetKey, &RegisteredTarget)> {
        let keys = self.services.get(name).map_or(&[][..], Vec::as_slice);
        keys.iter().map(|key| (*key, &self.targets[*key]))
    }

    /// The target of that id.
    pub fn find(&self, id: &str) -> Option<&RegisteredTarget> {
        self.ids.get(id).map(|key| &self.targets[*key])
    }

    /// The newest report of each target in some parts.
    pub fn changes(&self, parts: Buckets) -> Vec<Change> {
        let targets = self.targets.values().filter(|target| parts.contains(&target.change.key));
        targets.map(|target| target.change.clone()).collect()
    }

    /// Digests by which another entry sees whether it knows the same.
    pub fn digests(&self) -> Digests {
        self.digests
    }

    /// Number of targets.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether there are no targets.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Applies one change.
    pub fn apply(
        &mut self,
        change: &Change,
        decoded: &DecodedChange,
        absence: Absence,
        now: Instant,
    ) -> Effect {
        if self.find(&change.key).is_some_and(|target| change.offset < target.change.offset) {
            return Effect::Unchanged;
        }
        match decoded {
            DecodedChange::Target(registration) => self.report(registration, change, now),
            DecodedChange::Removed => self.lose(&change.key, absence),
            DecodedChange::Unusable(reason) => {
                self.remove(&change.key);
                Effect::Unusable(reason.clone())
            }
            DecodedChange::Routes(_) => Effect::Unchanged,
        }
    }

    /// Reads the absence of all targets of some parts that a snapshot does not hold.
    ///
    /// Returns the last report of each with the effect.
    pub fn retain(
        &mut self,
        held: &HashSet<Rc<str>>,
        parts: Buckets,
        absence: Absence,
    ) -> Vec<(Change, Effect)> {
        let is_missing = |target: &&RegisteredTarget| {
            let id = &target.change.key;
            parts.contains(id) && !held.contains(id)
        };
        let missing: Vec<Change> =
            self.targets.values().filter(is_missing).map(|target| target.change.clone()).collect();
        let lose = |change: Change| {
            let effect = self.lose(&change.key, absence);
            (change, effect)
        };
        missing.into_iter().map(lose).collect()
    }

    /// Removes lapsed targets whose time to return has passed.
    pub fn purge(&mut self, now: Instant) -> Vec<Change> {
        let is_over = |target: &RegisteredTarget| target.lapse.is_some_and(|lapse| now >= lapse);
        let over = self.targets.values().filter(|target| is_over(target));
        let last: Vec<Change> = over.map(|target| target.change.clone()).collect();
        for change in &last {
            self.remove(&change.key);
        }
        last
    }

    fn report(&mut self, registration: &Registration, change: &Change, now: Instant) -> Effect {
        let id = &registration.id;
        let Some(key) = self.ids.get(id).copied() else {
            let is_late = self.removed.get(id).is_some_and(|last| registration.order() <= *last);
            if is_late {
                return Effect::Unchanged;
            }
            self.add(registration.clone(), change.clone(), now);
            return Effect::Added;
        };
        let target = &mut self.targets[key];
        let known = &target.registration;
        if registration.order() <= known.order() {
            return Effect::Unchanged;
        }
        let is_same = registration.born == known.born
            && registration.address == known.address
            && registration.service == known.service;
        if !is_same {
            self.remove(id);
            self.add(registration.clone(), change.clone(), now);
            return Effect::Reborn;
        }
        let drains =
            known.state == TargetState::Ready && registration.state == TargetState::Draining;
        target.change = change.clone();
        target.warm = now + registration.warmup;
        buckets::toggle(&mut self.digests, &target.registration);
        buckets::toggle(&mut self.digests, registration);
        target.registration = registration.clone();
        match (drains, target.lapse.take()) {
            (true, _) => Effect::Drains,
            (false, Some(_)) => Effect::Returned,
            (false, None) => Effect::Unchanged,
        }
    }

    fn lose(&mut self, id: &str, absence: Absence) -> Effect {
        let Some(key) = self.ids.get(id).copied() else { return Effect::Unchanged };
        let target = &mut self.targets[key];
        match absence {
            Absence::MayReturn(end) if target.registration.state == TargetState::Ready => {
                let first = target.lapse.is_none();
                target.lapse.get_or_insert(end);
                if first {
                    Effect::Lapsed
                } else {
                    Effect::Unchanged
                }
            }
            Absence::MayReturn(_) | Absence::Gone => {
                self.remove(id);
                Effect::Removed
            }
        }
    }

    fn add(&mut self, registration: Registration, change: Change, now: Instant) {
        buckets::toggle(&mut self.digests, &registration);
        let (id, service) = (registration.id.clone(), registration.service.clone());
        let pool = Pool::new(registration.address, self.connections, self.memory.clone());
        let key = self.targets.insert(RegisteredTarget::new(registration, change, pool, now));
        self.ids.insert(id, key);
        self.services.entry(service).or_default().push(key);
    }

    fn remove(&mut self, id: &str) {
        let Some(key) = self.ids.remove(id) else { return };
        let Some(target) = self.targets.remove(key) else { return };
        let registration = target.registration;
        buckets::toggle(&mut self.digests, &registration);
        if let Some(keys) = self.services.get_mut(&registration.service) {
            keys.retain(|other| *other != key);
        }
        if self.removed.len() >= MAX_REMOVED {
            self.removed.clear();
        }
        self.removed.insert(registration.id.clone(), registration.order());
    }
}
