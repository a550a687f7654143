//! Applies changes of the directory to the gateway and publishes them to its subscribers.
//!
//! The changes come from this entry's own reads or from the entry that reads the directory for it.

use std::collections::HashSet;

use super::registry::{AbsencePolicy, Effect};
use super::routes_read::RoutesRead;
use super::sharing::buckets::{self, Buckets};
use super::sharing::subscribe_request::SubscribeRequest;
use super::sharing::update::Update;
use super::sharing::SWITCH_READER_AGE;
use super::Gateway;
use crate::edge::directory::{Batch, Change, DecodedChange, Directory, Feed};
use crate::prelude::*;

/// Most characters of a text of another writer in a log line.
const MAX_QUOTED_CHARS: usize = 200;

/// Where a change was received from, for logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    Directory,
    Entry,
}

impl Source {
    /// The name in log records.
    pub fn name(self) -> &'static str {
        match self {
            Self::Directory => "directory",
            Self::Entry => "entry",
        }
    }
}

impl Gateway {
    /// Applies a batch read from the feed of routes.
    pub fn apply_routes(&self, directory: &dyn Directory, batch: Batch, read: RoutesRead) {
        // A configuration may be large, so that each change is decoded only once.
        let decode = |change: Change| {
            let decoded = directory.decode(Feed::Routes, &change);
            (change, decoded)
        };
        let changes: Vec<_> = batch.changes.into_iter().map(decode).collect();
        self.apply_evacuations(&changes, batch.next, read);
        let mut newest = None;
        for (change, decoded) in changes {
            if self.apply_route_change(&change, decoded, Source::Directory) {
                newest = Some(change);
            }
        }
        self.next_routes.set(Some(batch.next));
        self.publish(Update { routes: newest, ..Update::default() });
    }

    /// Applies a batch read from the feed of targets.
    pub fn apply_targets(&self, directory: &dyn Directory, batch: Batch, is_snapshot: bool) {
        let absence = self.directory_health.borrow().absence_policy(Instant::now());
        let mut update = Update::default();
        for change in &batch.changes {
            update.targets.extend(self.apply_target_change(
                directory,
                change,
                absence,
                Source::Directory,
            ));
        }
        if is_snapshot {
            let missing =
                self.expire_missing(&batch.changes, Buckets::ALL, absence, Source::Directory);
            update.targets.extend(missing);
        }
        self.next_targets.set(Some(batch.next));
        self.set_targets_loaded();
        self.publish(update);
    }

    /// Removes targets that have not renewed their expired registration in time.
    pub fn remove_expired(&self) {
        let expired = self.registry.borrow_mut().remove_expired(Instant::now());
        let targets: Vec<Change> = expired.iter().map(removal).collect();
        for change in &targets {
            log::info!(target_id = &*change.key; "target did not renew its registration");
        }
        if !targets.is_empty() {
            self.publish(Update { targets, ..Update::default() });
        }
    }

    /// Applies an update from the entry that reads the directory for this one.
    pub fn apply_update(&self, directory: &dyn Directory, update: &Update) {
        if let Some(next) = update.targets_next.max(update.routes_next) {
            self.observe_history(next.history);
        }
        let absence = self.directory_health.borrow().shared_absence_policy(Instant::now());
        // Before the update's age is recorded, which says nothing of the copy's age until now.
        let copy = self.sharing.freshness.borrow().copy_state(Instant::now());
        self.apply_shared_evacuations(&update.evacuations, update.routes_next, copy);
        if let Some(change) = &update.routes {
            let decoded = directory.decode(Feed::Routes, change);
            self.apply_route_change(change, decoded, Source::Entry);
        }
        for change in &update.targets {
            self.apply_target_change(directory, change, AbsencePolicy::Remove, Source::Entry);
        }
        // A reader that is behind this entry may not have received all targets yet, so that a
        // target which its update lacks need not be gone.
        let is_current = update.targets_next >= self.next_targets.get();
        let complete = if is_current { update.complete } else { Buckets::NONE };
        self.expire_missing(&update.targets, complete, absence, Source::Entry);
        self.next_routes.set(self.next_routes.get().max(update.routes_next));
        self.next_targets.set(self.next_targets.get().max(update.targets_next));
        self.sharing.fleet.record_reported(update.entries);
        if let Some(age) = update.age {
            let now = Instant::now();
            self.sharing.freshness.borrow_mut().record_update(age, now);
            self.sharing.hops.set(update.hops.saturating_add(1));
            self.directory_health.borrow_mut().record_remote_success(now.checked_sub(age));
            self.set_targets_loaded();
        }
        self.publish(Update { complete, ..update.clone() });
    }

    /// Whether this entry and its reader have read up to the same offset and still hold different
    /// targets.
    pub fn targets_differ(&self, update: &Update) -> bool {
        update.age.is_some()
            && update.targets_next == self.next_targets.get()
            && update.digest != buckets::combined(&self.registry.borrow().digests())
    }

    /// Whether this entry's copy of the directory is fresh, whatever its source, while the reader's
    /// is older than `SWITCH_READER_AGE` or has no age at all.
    pub fn is_fresher_than(&self, reader_age: Option<Duration>) -> bool {
        let fresh_for =
            self.sharing.freshness.borrow().time_left(SWITCH_READER_AGE, Instant::now());
        !fresh_for.is_zero()
            && self.are_targets_loaded()
            && reader_age.is_none_or(|age| age > SWITCH_READER_AGE)
    }

    /// Whether this entry's own last read of the targets failed.
    pub fn is_directory_failing(&self) -> bool {
        self.directory_health.borrow().is_failing()
    }

    /// Publishes the age of this entry's copy of the directory, without changes.
    pub fn publish_age(&self) {
        self.publish(Update::default());
    }

    /// Returns this entry's whole copy of the directory.
    pub fn full_update(&self) -> Update {
        self.update_for(&SubscribeRequest {
            routes: None,
            digests: [0; buckets::COUNT],
            entries: None,
        })
    }

    /// Returns the request with which this entry subscribes; it describes this entry's copy, so
    /// that the reader sends only what is missing.
    pub fn subscribe_request(&self) -> SubscribeRequest {
        SubscribeRequest {
            routes: self.route_change.borrow().as_ref().map(|routes| routes.position),
            digests: self.registry.borrow().digests(),
            entries: self.sharing.fleet.counted_entries(Instant::now()),
        }
    }

    /// Returns what is missing from the copy that a subscriber describes in its request.
    pub fn update_for(&self, request: &SubscribeRequest) -> Update {
        let registry = self.registry.borrow();
        let buckets = Buckets::differing(&request.digests, &registry.digests());
        let routes = self.route_change.borrow().clone();
        let update = Update {
            complete: if self.are_targets_loaded() { buckets } else { Buckets::NONE },
            // The subscriber decides by the version: its routes may come from a copy of the directory
            // that lacks these.
            routes: routes.filter(|routes| request.routes != Some(routes.position)),
            targets: registry.changes(buckets),
            ..Update::default()
        };
        self.with_progress(update)
    }

    fn publish(&self, update: Update) {
        self.metrics.set_gauge("cornellink_targets", self.registry.borrow().len() as f64);
        let evacuated = self.evacuations.borrow().active_count();
        self.metrics.set_gauge("cornellink_evacuated_domains", evacuated as f64);
        self.sharing.subscribers.publish(&self.with_progress(update));
    }

    /// Adds the offsets up to which this entry has read, the evacuations, and the age and digest of
    /// its copy.
    pub fn with_progress(&self, update: Update) -> Update {
        Update {
            routes_next: self.next_routes.get(),
            targets_next: self.next_targets.get(),
            age: self.sharing.freshness.borrow().age(Instant::now()),
            hops: self.sharing.hops.get(),
            digest: buckets::combined(&self.registry.borrow().digests()),
            entries: self.sharing.fleet.counted_entries(Instant::now()),
            evacuations: self.evacuations.borrow().records(),
            ..update
        }
    }

    /// Applies a change of the routes; returns whether the new routes are in force.
    fn apply_route_change(
        &self,
        change: &Change,
        decoded: Option<DecodedChange>,
        source: Source,
    ) -> bool {
        match decoded {
            Some(DecodedChange::Routes(table)) => {
                let in_force = self.set_table(table.clone());
                if in_force {
                    self.route_change.replace(Some(change.clone()));
                }
                log::info!(
                    version = table.version, offset = change.position.offset, routes = table.len(),
                    source = source.name(), in_force;
                    "routes received"
                );
                in_force
            }
            Some(DecodedChange::Unusable(reason)) => {
                log::warn!(offset = change.position.offset, reason = quoted(&reason); "routes refused");
                false
            }
            Some(
                DecodedChange::Target(_)
                | DecodedChange::Removed
                | DecodedChange::Evacuation { .. },
            )
            | None => false,
        }
    }

    /// Applies a change of a target; returns the changes to publish.
    fn apply_target_change(
        &self,
        directory: &dyn Directory,
        change: &Change,
        absence: AbsencePolicy,
        source: Source,
    ) -> Vec<Change> {
        let Some(decoded) = directory.decode(Feed::Targets, change) else { return Vec::new() };
        let mut registry = self.registry.borrow_mut();
        let last = registry.find(&change.key).map(|target| target.change.clone());
        let effect = registry.apply(change, &decoded, absence, Instant::now());
        log_effect(change, &effect, source);
        match effect {
            Effect::Unchanged | Effect::Lapsed => Vec::new(),
            // The last registration is published as well, so that no older one can bring the target
            // back at a subscriber.
            Effect::Unusable(_) if last.is_none() => Vec::new(),
            Effect::Removed | Effect::Unusable(_) => {
                last.into_iter().chain([change.clone()]).collect()
            }
            Effect::Added | Effect::Drains | Effect::Reborn | Effect::Returned => {
                vec![change.clone()]
            }
        }
    }

    /// Expires targets in the buckets that are not in `present`; returns the changes to publish.
    fn expire_missing(
        &self,
        present: &[Change],
        buckets: Buckets,
        absence: AbsencePolicy,
        source: Source,
    ) -> Vec<Change> {
        if buckets.is_empty() {
            return Vec::new();
        }
        let present: HashSet<Rc<str>> = present.iter().map(|change| change.key.clone()).collect();
        let mut removed = Vec::new();
        for (last, effect) in self.registry.borrow_mut().expire_missing(&present, buckets, absence)
        {
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

/// Returns the change that removes a target after its last registration.
fn removal(last: &Change) -> Change {
    Change { value: Bytes::new(), ..last.clone() }
}

/// The part of a text of another writer that is logged.
fn quoted(text: &str) -> &str {
    text.char_indices().nth(MAX_QUOTED_CHARS).map_or(text, |(end, _)| &text[..end])
}

fn log_effect(change: &Change, effect: &Effect, source: Source) {
    match effect {
        Effect::Unchanged => {}
        Effect::Unusable(reason) => {
            log::warn!(
                target_id = quoted(&change.key), offset = change.position.offset, reason = quoted(reason);
                "target refused"
            );
        }
        _ => {
            log::info!(
                target_id = &*change.key, offset = change.position.offset, effect:? = effect,
                source = source.name();
                "target changed"
            );
        }
    }
}
