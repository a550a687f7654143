//! Tests of the updates that an entry applies from its reader.

mod fixture;

use cornellink::edge::directory::{Batch, Change, DecodedChange, Feed};
use cornellink::edge::stand_in::directory::StandInDirectory;
use cornellink::prelude::*;
use cornellink::process::gateway::routes_read::RoutesRead;
use cornellink::process::gateway::sharing::freshness::CopyState;
use cornellink::process::gateway::sharing::update::Update;
use cornellink::process::gateway::Gateway;
use cornellink::version::registration::Registration;
use fixture::gateway::{idempotent_route, settings, HEADER_NAMES};
use fixture::registry::{any_target, eligible, table};

/// A read of changes by an entry whose copy is fresh.
const READ_CHANGES: RoutesRead = RoutesRead { is_snapshot: false, copy: CopyState::Fresh };

/// A directory with routes and some targets.
struct Deployment {
    directory: StandInDirectory,
}

impl Deployment {
    fn new(targets: &[&str]) -> Self {
        let this = Self { directory: StandInDirectory::default() };
        let table = table(1, vec![idempotent_route()]).expect("the route is valid");
        this.directory.append(Feed::Routes, "config", DecodedChange::Routes(Rc::new(table)));
        targets.iter().for_each(|id| this.put(id, DecodedChange::Target(any_target(id))));
        this
    }

    fn put(&self, id: &str, decoded: DecodedChange) {
        self.directory.append(Feed::Targets, id, decoded);
    }

    /// Makes a gateway read both feeds from the start.
    fn read_all(&self, gateway: &Gateway) {
        for feed in [Feed::Routes, Feed::Targets] {
            let changes = self.directory.all_changes(feed);
            let batch = Batch { next: (changes.len() as u64).into(), changes };
            match feed {
                Feed::Routes => gateway.apply_routes(&self.directory, batch, READ_CHANGES),
                Feed::Targets => gateway.apply_targets(&self.directory, batch, false),
            }
            gateway.sharing.freshness.borrow_mut().record_read(feed, Instant::now());
        }
    }
}

fn gateway(name: &str) -> Gateway {
    Gateway::new(settings(name, None), HEADER_NAMES)
}

fn targets(gateway: &Gateway) -> Vec<String> {
    eligible(&gateway.registry.borrow(), "s")
}

/// The reader's update for an entry that has just subscribed.
fn first_update(reader: &Gateway, subscriber: &Gateway) -> Update {
    reader.update_for(&subscriber.subscribe_request())
}

/// Guards against a new subscription that sends all routes and targets over a slow link again.
#[test]
fn subscriber_with_an_equal_copy_gets_no_changes() {
    let deployment = Deployment::new(&["one", "two"]);
    let (reader, subscriber) = (gateway("reader"), gateway("subscriber"));
    deployment.read_all(&reader);
    deployment.read_all(&subscriber);

    let update = first_update(&reader, &subscriber);

    assert!(!update.has_changes(), "{update:?}");
    assert!(update.age.is_some());
}

/// Guards against a subscriber that starts without a copy and never gets one.
#[test]
fn subscriber_without_a_copy_gets_everything() {
    let deployment = Deployment::new(&["one", "two"]);
    let (reader, subscriber) = (gateway("reader"), gateway("subscriber"));
    deployment.read_all(&reader);

    subscriber.apply_update(&deployment.directory, &first_update(&reader, &subscriber));

    assert_eq!(targets(&subscriber), ["one", "two"]);
    assert!(subscriber.is_ready());
}

/// Guards against a target that was removed while an entry got no updates, and that the entry keeps
/// for good.
#[test]
fn target_removed_meanwhile_is_gone_after_a_new_subscription() {
    let deployment = Deployment::new(&["one", "two"]);
    let (reader, subscriber) = (gateway("reader"), gateway("subscriber"));
    deployment.read_all(&subscriber);
    deployment.put("one", DecodedChange::Removed);
    deployment.read_all(&reader);

    subscriber.apply_update(&deployment.directory, &first_update(&reader, &subscriber));

    assert_eq!(targets(&subscriber), ["two"]);
}

/// Guards against a reader with an older copy that removes targets from its subscriber's newer one.
#[test]
fn reader_with_an_older_copy_removes_no_targets() {
    let deployment = Deployment::new(&["one"]);
    let (reader, subscriber) = (gateway("reader"), gateway("subscriber"));
    deployment.read_all(&reader);
    deployment.put("two", DecodedChange::Target(any_target("two")));
    deployment.read_all(&subscriber);

    subscriber.apply_update(&deployment.directory, &first_update(&reader, &subscriber));

    assert_eq!(targets(&subscriber), ["one", "two"]);
}

/// Guards against registries that differ undetected although both entries have read up to the same
/// offset.
#[test]
fn different_targets_at_the_same_offset_are_detected() {
    let deployment = Deployment::new(&["one", "two"]);
    let (reader, subscriber) = (gateway("reader"), gateway("subscriber"));
    deployment.read_all(&reader);
    deployment.read_all(&subscriber);
    let same = reader.with_progress(Update::default());
    let newer = Registration { born: 2000, ..any_target("one") };
    let change = Change { position: 0.into(), key: "one".into(), value: Bytes::from_static(b"x") };
    let absence = cornellink::process::gateway::registry::AbsencePolicy::Remove;
    let decoded = DecodedChange::Target(newer);
    reader.registry.borrow_mut().apply(&change, &decoded, absence, Instant::now());
    let other = reader.with_progress(Update::default());

    assert!(!subscriber.targets_differ(&same));
    assert!(subscriber.targets_differ(&other));
}

/// Guards against removals found in a snapshot that are not sent to subscribers.
#[test]
fn removal_found_in_a_snapshot_is_sent_to_subscribers() {
    let deployment = Deployment::new(&["one", "two"]);
    let (reader, subscriber) = (gateway("reader"), gateway("subscriber"));
    deployment.read_all(&reader);
    deployment.read_all(&subscriber);
    let held = deployment.directory.all_changes(Feed::Targets).split_off(1);
    let batch = Batch { next: 5.into(), changes: held };

    reader.apply_targets(&deployment.directory, batch, true);
    subscriber.apply_update(&deployment.directory, &first_update(&reader, &subscriber));

    assert_eq!(targets(&reader), ["two"]);
    assert_eq!(targets(&subscriber), ["two"]);
}

/// Guards against subscriptions that end because a target has repeated its report to the reader:
/// 690 new subscriptions in 20 s on 146 entries, after which one entry found no reader in time.
#[test]
fn repeated_report_makes_no_difference_between_entries() {
    let deployment = Deployment::new(&["one", "two"]);
    let (reader, subscriber) = (gateway("reader"), gateway("subscriber"));
    deployment.read_all(&reader);
    subscriber.apply_update(&deployment.directory, &first_update(&reader, &subscriber));
    let again = Registration { sequence: 2, ..any_target("one") };
    deployment.put("one", DecodedChange::Target(again));

    deployment.read_all(&reader);
    subscriber.apply_update(&deployment.directory, &reader.with_progress(Update::default()));

    assert!(!subscriber.targets_differ(&reader.with_progress(Update::default())));
    assert!(!first_update(&reader, &subscriber).has_changes());
}

/// Guards against an entry that restarts while the list cannot be read, and that takes too large a
/// share of a common limit because it assumes too few entries.
#[test]
fn entry_without_the_list_uses_the_reported_number_of_entries() {
    let deployment = Deployment::new(&["one"]);
    let (reader, subscriber) = (gateway("reader"), gateway("subscriber"));
    deployment.read_all(&reader);
    reader.sharing.fleet.record_list(93, true, Instant::now());

    subscriber.apply_update(&deployment.directory, &first_update(&reader, &subscriber));

    // It may not be one of the 94.
    assert_eq!(subscriber.entry_count(), 95);
}

/// Guards against a large number of entries that together open more connections than a target
/// accepts.
#[test]
fn connections_of_all_entries_stay_within_the_targets_limit() {
    let entry = gateway("entry");
    for entries in 1..=200 {
        entry.sharing.fleet.record_list(entries - 1, true, Instant::now());
        assert!(entry.connection_limit(200) * entries <= 200, "{entries} entries");
    }
}
