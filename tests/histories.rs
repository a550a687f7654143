//! A directory that returns from an older copy: what is believed afterwards, by the order of events.

mod fixture;

use cornellink::edge::directory::{
    Change, DecodedChange, Directory, EntryRecord, EvacuationState, Feed,
};
use cornellink::edge::position::Position;
use cornellink::edge::stand_in::directory::StandInDirectory;
use cornellink::prelude::*;
use cornellink::process::gateway::evacuation_record::EvacuationRecord;
use cornellink::process::gateway::evacuations::{Evacuations, MAX_COPY_AGE};
use cornellink::process::gateway::registry::{AbsencePolicy, Effect, TargetRegistry};
use cornellink::process::gateway::routes_read::RoutesRead;
use cornellink::process::gateway::sharing::freshness::CopyState;
use cornellink::process::gateway::sharing::update::Update;
use cornellink::process::gateway::sharing::{publish, subscribe, ListState};
use cornellink::process::gateway::{follower, Gateway};
use cornellink::process::runtime::block_on;
use cornellink::version::registration::{Registration, TargetState};
use fixture::gateway::{idempotent_route, settings, until, HEADER_NAMES};
use fixture::registry::{any_target, table};
use monoio::net::TcpListener;

/// Time after a return for which a target that the copy lacks is kept, with a margin.
const GRACE: Duration = Duration::from_millis(2100);
const LIMIT: Duration = Duration::from_secs(5);

fn gateway(name: &str) -> Gateway {
    Gateway::new(settings(name, None), HEADER_NAMES)
}

/// Reads all that a directory holds.
fn read_all(gateway: &Gateway, directory: &StandInDirectory) {
    gateway.observe_history(directory.newest_history());
    let now = Instant::now();
    for feed in [Feed::Routes, Feed::Targets] {
        gateway.sharing.freshness.borrow_mut().record_read(feed, now);
    }
    let batch = block_on(directory.snapshot(Feed::Routes)).unwrap().unwrap();
    let read = RoutesRead { is_snapshot: true, copy: CopyState::Fresh };
    gateway.apply_routes(directory, batch, read);
    let batch = block_on(directory.snapshot(Feed::Targets)).unwrap().unwrap();
    gateway.apply_targets(directory, batch, true);
}

fn register(directory: &StandInDirectory, registration: &Registration) {
    let decoded = DecodedChange::Target(registration.clone());
    directory.append(Feed::Targets, &registration.id, decoded);
}

fn set_version(directory: &StandInDirectory, version: u64) {
    let table = table(version, vec![idempotent_route()]).unwrap();
    directory.append(Feed::Routes, "config", DecodedChange::Routes(Rc::new(table)));
}

/// Whether a gateway may send calls to a target.
fn is_used(gateway: &Gateway, id: &str) -> bool {
    gateway.registry.borrow().find(id).is_some_and(|target| target.is_eligible(Instant::now()))
}

fn draining(id: &str, sequence: u64) -> Registration {
    Registration { state: TargetState::Draining, sequence, ..any_target(id) }
}

/// Applies what a reader would send to a subscriber that knows nothing.
fn share(reader: &Gateway, directory: &StandInDirectory, subscriber: &Gateway) {
    let update = reader.update_for(&subscriber.subscribe_request());
    subscriber.apply_update(directory, &update);
}

/// Guards against offsets that are compared across histories.
#[test]
fn a_later_history_lies_behind_all_earlier_ones() {
    assert!(Position::new(4, 0) > Position::new(3, u64::MAX));
    assert!(Position::new(4, 1) > Position::new(4, 0));
    assert_eq!(Position::from(7), Position::new(0, 7));
}

/// Guards against a return to an empty copy that takes everything away at once, and against targets
/// that are kept for good although they are gone.
#[test]
fn return_to_an_empty_copy_keeps_what_is_in_force_for_a_time() {
    let (directory, gateway) = (StandInDirectory::default(), gateway("entry"));
    set_version(&directory, 7);
    register(&directory, &any_target("gone"));
    register(&directory, &any_target("repeats"));
    register(&directory, &draining("drains", 5));
    read_all(&gateway, &directory);

    directory.return_from_copy([0, 0]);
    read_all(&gateway, &directory);

    assert_eq!(gateway.table().unwrap().version, 7);
    assert!(is_used(&gateway, "gone") && is_used(&gateway, "repeats"));
    assert!(!is_used(&gateway, "drains"));
    // Written again as it was.
    register(&directory, &any_target("repeats"));
    read_all(&gateway, &directory);
    std::thread::sleep(GRACE);
    gateway.remove_expired();
    assert!(!is_used(&gateway, "gone") && is_used(&gateway, "repeats"));
    read_all(&gateway, &directory);
    assert!(!is_used(&gateway, "gone") && is_used(&gateway, "repeats"));
}

/// Guards against a second return within the time after the first one that ends the time for targets
/// that had registered again, or for those that had not.
#[test]
fn a_second_return_begins_the_time_anew() {
    let (directory, gateway) = (StandInDirectory::default(), gateway("entry"));
    register(&directory, &any_target("one"));
    register(&directory, &any_target("two"));
    read_all(&gateway, &directory);
    directory.return_from_copy([0, 0]);
    read_all(&gateway, &directory);
    register(&directory, &any_target("one"));
    read_all(&gateway, &directory);
    std::thread::sleep(GRACE - Duration::from_millis(600));

    directory.return_from_copy([0, 0]);
    read_all(&gateway, &directory);
    std::thread::sleep(Duration::from_millis(1000));
    gateway.remove_expired();

    assert!(is_used(&gateway, "one") && is_used(&gateway, "two"));
    assert_eq!(gateway.returns.get(), 2);
}

/// Guards against a copy that takes a drain, a removal or the reuse of an address back.
#[test]
fn what_had_ended_does_not_come_back() {
    let (directory, gateway) = (StandInDirectory::default(), gateway("entry"));
    let (old, drains) = (any_target("old"), any_target("drains"));
    register(&directory, &old);
    register(&directory, &drains);
    read_all(&gateway, &directory);
    directory.append(Feed::Targets, "old", DecodedChange::Removed);
    register(&directory, &Registration { address: old.address, ..any_target("new") });
    register(&directory, &draining("drains", drains.sequence + 1));
    read_all(&gateway, &directory);

    directory.return_from_copy([0, 2]);
    read_all(&gateway, &directory);

    assert!(!is_used(&gateway, "old") && !is_used(&gateway, "drains"));
    assert!(is_used(&gateway, "new"));
    // The target lives, and says so.
    register(&directory, &Registration { sequence: old.sequence + 9, ..old });
    read_all(&gateway, &directory);
    assert!(is_used(&gateway, "old"));
}

/// Guards against a subscriber that loses targets to a reader which knows the copy only, and against one
/// that does not follow the reader into the new history.
#[test]
fn subscriber_of_a_reader_of_the_new_history_keeps_its_targets_for_a_time() {
    let directory = StandInDirectory::default();
    let (subscriber, reader) = (gateway("subscriber"), gateway("reader"));
    register(&directory, &any_target("kept"));
    register(&directory, &any_target("drains"));
    set_version(&directory, 7);
    read_all(&subscriber, &directory);
    directory.return_from_copy([0, 0]);
    register(&directory, &draining("drains", 1000));
    set_version(&directory, 6);
    read_all(&reader, &directory);

    share(&reader, &directory, &subscriber);

    assert!(is_used(&subscriber, "kept") && !is_used(&subscriber, "drains"));
    assert_eq!(subscriber.table().unwrap().version, 7);
    assert_eq!(subscriber.history.get(), Some(1));
    assert_eq!(subscriber.next_targets.get(), Some(Position::new(1, 1)));
    std::thread::sleep(GRACE);
    share(&reader, &directory, &subscriber);
    assert!(!is_used(&subscriber, "kept"));
    // A reader of the copy gets the version that the copy lacks.
    share(&subscriber, &directory, &reader);
    assert_eq!(reader.table().unwrap().version, 7);
}

/// Guards against an update of the old history that undoes what the new one says.
#[test]
fn late_update_of_the_old_history_undoes_nothing() {
    let directory = StandInDirectory::default();
    let (entry, late_reader) = (gateway("entry"), gateway("late"));
    for number in 0..9 {
        register(&directory, &Registration { sequence: number, ..any_target("one") });
    }
    directory.append(
        Feed::Routes,
        "evacuate/a",
        DecodedChange::Evacuation { domain: "a".into(), state: EvacuationState::Active },
    );
    read_all(&late_reader, &directory);
    directory.return_from_copy([0, 0]);
    register(&directory, &draining("one", 1000));
    register(&directory, &any_target("two"));
    read_all(&entry, &directory);

    share(&late_reader, &directory, &entry);

    assert!(!is_used(&entry, "one") && is_used(&entry, "two"));
    assert_eq!(entry.history.get(), Some(1));
    assert_eq!(entry.returns.get(), 0);
    assert_eq!(entry.next_targets.get(), Some(Position::new(1, 2)));
}

/// Guards against an entry that starts from a peer of the old history and does not notice the return.
#[test]
fn entry_started_from_a_peer_of_the_old_history_follows_the_new_one() {
    let directory = StandInDirectory::default();
    let (peer, started) = (gateway("peer"), gateway("started"));
    register(&directory, &any_target("one"));
    register(&directory, &any_target("kept"));
    read_all(&peer, &directory);
    share(&peer, &directory, &started);
    directory.return_from_copy([0, 0]);
    register(&directory, &draining("one", 1000));

    read_all(&started, &directory);

    assert!(!is_used(&started, "one") && is_used(&started, "kept"));
    assert_eq!(started.returns.get(), 1);
}

/// Guards against a registration of the new history at an offset that the old one had passed, with a
/// removal behind it.
#[test]
fn positions_of_the_new_history_supersede_those_of_the_old_one() {
    let memory = Default::default();
    let (mut registry, now) = (TargetRegistry::new(8, memory), Instant::now());
    let mut apply = |history, offset, decoded: &DecodedChange| {
        let position = Position::new(history, offset);
        let change = Change { position, key: "one".into(), value: Bytes::from_static(b"x") };
        registry.apply(&change, decoded, AbsencePolicy::Remove, now)
    };
    let target = |sequence| DecodedChange::Target(Registration { sequence, ..any_target("one") });

    assert_eq!(apply(3, 900, &target(1)), Effect::Added);
    assert_eq!(apply(4, 2, &DecodedChange::Removed), Effect::Removed);
    assert_eq!(apply(3, 901, &target(5)), Effect::Unchanged);
    assert_eq!(apply(4, 1, &target(5)), Effect::Unchanged);
    assert_eq!(apply(4, 3, &target(5)), Effect::Added);
}

fn evacuation(history: u64, offset: u64, state: EvacuationState) -> EvacuationRecord {
    EvacuationRecord { domain: "a".into(), position: Position::new(history, offset), state }
}

/// Guards against evacuations that a copy ends or begins again, and against ones of the new history that
/// are ignored.
#[test]
fn evacuations_hold_across_a_return() {
    use EvacuationState::{Active, Ended};
    let now = Instant::now();
    let end = |history, offset| Position::new(history, offset);
    let known = |records: &[EvacuationRecord]| {
        let mut evacuations = Evacuations::new(LIMIT);
        for record in records {
            evacuations.apply(record, CopyState::Stale, now);
        }
        evacuations.set_complete_to(end(3, 900), now);
        evacuations
    };
    let later = now + LIMIT;
    let snapshot = |evacuations: &mut Evacuations, records: &[EvacuationRecord]| {
        evacuations.apply_snapshot(records, end(4, 50), CopyState::Stale, later);
        evacuations.is_closed("a", later + LIMIT)
    };

    // The copy lacks the beginning.
    let mut begun = known(&[evacuation(3, 800, Active)]);
    assert!(snapshot(&mut begun, &[]));
    // A further gap in the new history does not end it either; its end there does.
    assert!(snapshot(&mut begun, &[]));
    begun.apply(&evacuation(4, 60, Ended), CopyState::Fresh, later);
    assert!(!begun.is_closed("a", later + LIMIT));
    // The copy lacks the end.
    let ended = [evacuation(3, 10, Active), evacuation(3, 800, Ended)];
    assert!(!snapshot(&mut known(&ended), &[evacuation(4, 10, Active)]));
    // It was begun again after the return.
    assert!(snapshot(&mut known(&ended), &[evacuation(4, 30, Active)]));
    // It is begun at an offset that the old history had passed.
    let mut none = known(&[]);
    none.apply(&evacuation(4, 20, Active), CopyState::Stale, later);
    assert!(none.is_closed("a", later));
    // The memory of an ended one is bounded.
    let mut forgotten = known(&ended);
    forgotten.set_complete_to(end(3, 901), now + MAX_COPY_AGE);
    assert!(forgotten.is_empty());
}

/// Guards against lists of entries that shrink after a return, which would give those that remain too
/// large shares, and against entries that do not register again.
#[test]
fn lists_of_entries_do_not_shrink_after_a_return() {
    block_on(async {
        let directory = Rc::new(StandInDirectory::default());
        let mut gateways = Vec::new();
        for number in 0..3 {
            let (name, address) = (format!("entry-{number}"), fixture::free_address());
            let own = EntryRecord { name, domain: "a".into(), address, link_mbps: 0 };
            let entry = Rc::new(Gateway::new(settings(&own.name, Some(address)), HEADER_NAMES));
            directory.register_entry(&own).await.unwrap();
            let listener = TcpListener::bind(address).unwrap();
            monoio::spawn(publish::serve(entry.clone(), listener));
            monoio::spawn(subscribe::run(entry.clone(), directory.clone(), own));
            monoio::spawn(follower::follow(entry.clone(), directory.clone()));
            gateways.push(entry);
        }
        register(&directory, &any_target("one"));
        set_version(&directory, 1);
        until("all entries have the list and a copy", || {
            let is_ready = |entry: &Rc<Gateway>| {
                entry.is_ready() && entry.sharing.list_state.get() == ListState::Loaded
            };
            gateways.iter().all(is_ready)
        })
        .await;
        let before: Vec<u32> = gateways.iter().map(|entry| entry.entry_count()).collect();

        directory.return_from_copy([0, 0]);
        until("all entries have registered again", || {
            gateways.iter().all(|entry| entry.returns.get() == 1)
                && gateways.iter().all(|entry| entry.registered_returns.get() == 1)
        })
        .await;

        let after: Vec<u32> = gateways.iter().map(|entry| entry.entry_count()).collect();
        assert_eq!(directory.entry_records().await.unwrap().len(), 3);
        assert_eq!(before, after);
        assert!(gateways.iter().all(|entry| is_used(entry, "one")));
    })
    .unwrap();
}

/// Guards against a cost of histories on a day without a return: the number alone.
#[test]
fn the_number_of_a_history_takes_one_byte() {
    let update = |position: Position| {
        Update { routes_next: Some(position), ..Update::default() }.encode().len()
    };

    assert_eq!(update(Position::new(100, 5)), update(Position::new(0, 5)));
}
