//! Takes over what the directory says, whoever has read it, and passes it on.

use std::collections::HashSet;

use super::registry::{Absence, Effect};
use super::sharing::buckets::{self, Buckets};
use super::sharing::subscribe_request::SubscribeRequest;
use super::sharing::update::Update;
use super::sharing::SWITCH_READER_AGE;
use super::Gateway;
use crate::edge::directory::{Batch, Change, DecodedChange, Directory, Feed};
use crate::prelude::*;

/// Where a change comes from, for logs.
#[derive(Clone, Copy, Debug)]
pub enum Source {
    Directory,
    Entry,
}

impl Source {
    fn name(self) -> &'static str {
        match self {
            Self::Directory => "directory",
            Self::Entry => "entry",
        }
    }
}

impl Gateway {
    /// Applies what was read from the routes' feed.
    pub fn apply_routes(&self, directory: &dyn Directory, batch: Batch) {
        let mut newest = None;
        for change in batch.changes {
            if self.apply_table(directory, &change, Source::Directory) {
                newest = Some(change);
            }
        }
        self.next_routes.set(Some(batch.next));
        self.publish(Update { routes: newest, ..Update::default() });
    }

    /// Applies what was read from the targets' feed.
    pub fn apply_targets(&self, directory: &dyn Directory, batch: Batch, is_snapshot: bool) {
        let absence = self.directory_health.borrow().absence(Instant::now());
        let mut update = Update::default();
        for change in &batch.changes {
            update.targets.extend(self.apply_target(directory, change, absence, Source::Directory));
        }
        if is_snapshot {
            let missing = self.retain(&batch.changes, Buckets::ALL, absence, Source::Directory);
            update.targets.extend(missing);
        }
        self.next_targets.set(Some(batch.next));
        self.set_filled();
        self.publish(update);
    }

    /// Removes lapsed targets whose time to return has passed.
    pub fn purge(&self) {
        let purged = self.registry.borrow_mut().purge(Instant::now());
        let targets: Vec<Change> = purged.iter().map(removal).collect();
        for change in &targets {
            log::info!(target_id = &*change.key; "target did not return");
        }
        if !targets.is_empty() {
            self.publish(Update { targets, ..Update::default() });
        }
    }

    /// Takes over what the entry tells that reads the directory.
    pub fn hear(&self, directory: &dyn Directory, update: &Update) {
        if let Some(change) = &update.routes {
            self.apply_table(directory, change, Source::Entry);
        }
        for change in &update.targets {
            self.apply_target(directory, change, Absence::Gone, Source::Entry);
        }
        // A reader that knows less than this entry cannot tell which targets are gone.
        let is_newer = update.targets_next >= self.next_targets.get();
        let complete = if is_newer { update.complete } else { Buckets::NONE };
        self.retain(&update.targets, complete, Absence::Gone, Source::Entry);
        self.next_routes.set(self.next_routes.get().max(update.routes_next));
        self.next_targets.set(self.next_targets.get().max(update.targets_next));
        self.sharing.record_reported_entries(update.entries);
        if let Some(age) = update.age {
            let now = Instant::now();
            self.sharing.freshness.borrow_mut().record_update(age, now);
            self.directory_health.borrow_mut().hear(now.checked_sub(age));
            self.set_filled();
        }
        self.publish(Update { complete, ..update.clone() });
    }

    /// Whether this entry and the one that reads for it have read equally far and still know
    /// different targets.
    pub fn differs(&self, update: &Update) -> bool {
        update.age.is_some()
            && update.targets_next == self.next_targets.get()
            && update.digest != buckets::total(&self.registry.borrow().digests())
    }

    /// Whether this entry's knowledge is fresh, from wherever, while the reader's is old.
    pub fn knows_better(&self, told: Option<Duration>) -> bool {
        let rest = self.sharing.freshness.borrow().time_left(SWITCH_READER_AGE, Instant::now());
        !rest.is_zero() && self.is_filled() && told.is_none_or(|age| age > SWITCH_READER_AGE)
    }

    /// Whether this entry's own last read of the targets failed.
    pub fn is_failing(&self) -> bool {
        self.directory_health.borrow().is_failing()
    }

    /// Tells subscribers how old this entry's knowledge is, with nothing new.
    pub fn tell_age(&self) {
        self.publish(Update::default());
    }

    /// All that the entry knows.
    pub fn full_update(&self) -> Update {
        self.lacking_update(&SubscribeRequest {
            routes: None,
            digests: [0; buckets::COUNT],
            entries: None,
        })
    }

    /// What this entry says of its knowledge to the one that reads for it.
    pub fn subscribe_request(&self) -> SubscribeRequest {
        SubscribeRequest {
            routes: self.routes.borrow().as_ref().map(|routes| routes.offset),
            digests: self.registry.borrow().digests(),
            entries: self.sharing.known_entries(),
        }
    }

    /// What an entry lacks that says this of its knowledge.
    pub fn lacking_update(&self, request: &SubscribeRequest) -> Update {
        let registry = self.registry.borrow();
        let parts = Buckets::differing(&request.digests, &registry.digests());
        let routes = self.routes.borrow().clone();
        let update = Update {
            complete: if self.is_filled() { parts } else { Buckets::NONE },
            routes: routes.filter(|routes| request.routes < Some(routes.offset)),
            targets: registry.changes(parts),
            ..Update::default()
        };
        self.complete(update)
    }

    fn publish(&self, update: Update) {
        self.metrics.set_gauge("cornellink_targets", self.registry.borrow().len() as f64);
        self.sharing.subscribers.publish(&self.complete(update));
    }

    /// Adds how far the entry has read, and how old its knowledge is.
    pub fn complete(&self, update: Update) -> Update {
        Update {
            routes_next: self.next_routes.get(),
            targets_next: self.next_targets.get(),
            age: self.sharing.freshness.borrow().age(Instant::now()),
            digest: buckets::total(&self.registry.borrow().digests()),
            entries: self.sharing.known_entries(),
            ..update
        }
    }

    /// Applies a change of the routes; returns whether they are in force now.
    fn apply_table(&self, directory: &dyn Directory, change: &Change, source: Source) -> bool {
        match directory.decode(Feed::Routes, change) {
            Some(DecodedChange::Routes(table)) => {
                let in_force = self.set_table(table.clone());
                if in_force {
                    self.routes.replace(Some(change.clone()));
                }
                log::info!(
                    version = table.version, offset = change.offset, routes = table.len(),
                    source = source.name(), in_force;
                    "routes received"
                );
                in_force
            }
            Some(DecodedChange::Unusable(reason)) => {
                log::warn!(offset = change.offset, reason = reason.as_str(); "routes refused");
                false
            }
            Some(DecodedChange::Target(_) | DecodedChange::Removed) | None => false,
        }
    }

    /// Applies a change of a target; returns the changes that others need to know.
    fn apply_target(
        &self,
        directory: &dyn Directory,
        change: &Change,
        absence: Absence,
        source: Source,
    ) -> Vec<Change> {
        let Some(decoded) = directory.decode(Feed::Targets, change) else { return Vec::new() };
        let mut registry = self.registry.borrow_mut();
        let last = registry.find(&change.key).map(|target| target.change.clone());
        let effect = registry.apply(change, &decoded, absence, Instant::now());
        tell(change, &effect, source);
        match effect {
            Effect::Unchanged | Effect::Lapsed => Vec::new(),
            // The last report goes along, so that no older one can bring the target back.
            Effect::Removed | Effect::Unusable(_) => {
                last.into_iter().chain([change.clone()]).collect()
            }
            Effect::Added | Effect::Drains | Effect::Reborn | Effect::Returned => {
                vec![change.clone()]
            }
        }
    }

    /// Reads the absence of targets; returns the changes that others need to know.
    fn retain(
        &self,
        held: &[Change],
        parts: Buckets,
        absence: Absence,
        source: Source,
    ) -> Vec<Change> {
        if parts.is_empty() {
            return Vec::new();
        }
        let held: HashSet<Rc<str>> = held.iter().map(|change| change.key.clone()).collect();
        let mut removed = Vec::new();
        for (last, effect) in self.registry.borrow_mut().retain(&held, parts, absence) {
            log::info!(
                target_id = &*last.key, effect:? = effect, source = source.name();
                "target missing"
            );
            if effect == Effect::Removed {
                removed.extend([last.clone(), removal(&last)]);
            }
        }
        removed
    }
}

/// The end of a target, after its last report.
fn removal(last: &Change) -> Change {
    Change { value: Bytes::new(), ..last.clone() }
}

fn tell(change: &Change, effect: &Effect, source: Source) {
    match effect {
        Effect::Unchanged => {}
        Effect::Unusable(reason) => {
            log::warn!(
                target_id = &*change.key, offset = change.offset, reason = reason.as_str();
                "target refused"
            );
        }
        _ => {
            log::info!(
                target_id = &*change.key, offset = change.offset, effect:? = effect,
                source = source.name();
                "target changed"
            );
        }
    }
}
