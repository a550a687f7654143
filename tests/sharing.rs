//! What entries share: the order of readers and the messages.

mod fixture;

use std::collections::BTreeMap;

use cornellink::edge::directory::{Change, EntryRecord};
use cornellink::prelude::*;
use cornellink::process::gateway::registry::{AbsencePolicy, TargetRegistry};
use cornellink::process::gateway::sharing::buckets::Buckets;
use cornellink::process::gateway::sharing::reader_order::ReaderOrder;
use cornellink::process::gateway::sharing::subscribe_request::SubscribeRequest;
use cornellink::process::gateway::sharing::update::Update;
use cornellink::version::registration::Registration;
use fixture::registry::{any_target, apply_registration};
use quickcheck::quickcheck;

fn record(name: &str, domain: &str) -> EntryRecord {
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    EntryRecord { name: name.into(), domain: domain.into(), address, link_mbps: 0 }
}

fn entries(domain: &str) -> Vec<EntryRecord> {
    (0..5).map(|number| record(&format!("entry-{number}"), domain)).collect()
}

fn first(order: &ReaderOrder, now: Instant) -> String {
    order.first(now).map(|entry| entry.name.clone()).unwrap_or_default()
}

/// Guards against entries that each follow another reader.
#[test]
fn entries_agree_on_the_first_reader() {
    let now = Instant::now();
    let all = entries("a");
    let firsts = all.iter().map(|own| {
        let mut order = ReaderOrder::default();
        let mut list = all.clone();
        list.rotate_left(all.iter().position(|one| one == own).unwrap());
        order.set(own, list);
        first(&order, now)
    });
    let firsts: Vec<String> = firsts.collect();

    assert!(firsts.iter().all(|name| *name == firsts[0]), "{firsts:?}");
}

/// Guards against a dead reader that is asked again and again, or never again.
#[test]
fn failed_reader_is_passed_over_for_some_time() {
    let now = Instant::now();
    let mut order = ReaderOrder::default();
    order.set(&record("entry-9", "a"), entries("a"));
    let reader = first(&order, now);

    order.fail(&reader, now);
    let next = first(&order, now);
    let due = order.next_try(&next).unwrap();

    assert_ne!(next, reader);
    assert_eq!(first(&order, due), reader);
    assert_eq!(order.next_try(&reader), None);
}

/// An entry's view of three failure domains of five entries each.
fn view(own: usize) -> (EntryRecord, ReaderOrder) {
    let name = |number| format!("entry-{number}");
    let domain = |number: usize| ["a", "b", "c"][number % 3];
    let all: Vec<EntryRecord> =
        (0..15).map(|number| record(&name(number), domain(number))).collect();
    let mut order = ReaderOrder::default();
    order.set(&all[own], all.clone());
    (all[own].clone(), order)
}

/// Guards against a reader in each failure domain, all of which read the same, and against more
/// than one entry of a domain that hears news from another one.
#[test]
fn only_the_first_of_a_domain_follows_another_domain() {
    let now = Instant::now();
    let views: Vec<(EntryRecord, ReaderOrder)> = (0..15).map(view).collect();

    let reading = views.iter().filter(|(own, order)| first(order, now) == own.name);
    let abroad = views.iter().filter(|(own, order)| order.first(now).unwrap().domain != own.domain);
    let leaders: BTreeMap<&str, &str> =
        abroad.clone().map(|(own, _)| (own.domain.as_str(), own.name.as_str())).collect();

    assert_eq!(reading.count(), 1);
    assert_eq!((abroad.count(), leaders.len()), (2, 2));
}

/// Guards against deputies that are missing, so that nobody knows more when the reader fails, and
/// against so many that they press on the directory together.
#[test]
fn each_domain_has_a_deputy_behind_its_first_entry() {
    let now = Instant::now();
    let mut standbys: BTreeMap<String, usize> = BTreeMap::new();
    for (own, order) in (0..15).map(view) {
        let reader = order.first(now).cloned().unwrap();
        let is_near = reader.domain == own.domain;
        if reader.name != own.name && is_near && order.is_standby(&reader, now) {
            *standbys.entry(own.domain).or_default() += 1;
        }
        assert!(is_near || order.is_standby(&reader, now), "{}", own.name);
    }

    let counts: Vec<usize> = standbys.into_values().collect();
    assert_eq!(counts, [1, 1, 1]);
}

/// Guards against the loss of a whole domain in which the others try its entries one by one.
#[test]
fn few_entries_of_other_domains_are_tried() {
    let now = Instant::now();
    for own in 0..15 {
        let (own, mut order) = view(own);

        let mut tried = 0;
        while let Some(entry) = order.first(now).filter(|entry| entry.name != own.name).cloned() {
            tried += usize::from(entry.domain != own.domain);
            order.fail(&entry.name, now);
        }

        assert!(tried <= 3, "{tried} tried by {}", own.name);
        assert_eq!(first(&order, now), own.name);
    }
}

/// Guards against an entry that waits for the list while the directory is away.
#[test]
fn seeds_are_asked_before_the_list_is_known() {
    let own = record("own", "a");
    let seed = SocketAddr::from(([127, 0, 0, 2], 9));
    let mut order = ReaderOrder::default();
    order.set_seeds(&own, &[own.address, seed]);

    assert_eq!(order.first(Instant::now()).unwrap().address, seed);
    order.fail(&seed.to_string(), Instant::now());
    assert_eq!(first(&order, Instant::now()), "own");
}

/// Guards against a reader on a slow link while a faster one is there: its updates to all others
/// of a large domain took seconds, in which each read the directory for itself.
#[test]
fn entries_with_fast_links_read_first() {
    let mut all = entries("a");
    all[3].link_mbps = 200;
    all.iter_mut().filter(|entry| entry.link_mbps == 0).for_each(|entry| entry.link_mbps = 10);
    let mut order = ReaderOrder::default();
    order.set(&all[0].clone(), all);

    assert_eq!(first(&order, Instant::now()), "entry-3");
}

/// Guards against a reader that is gone for good and is tried every few seconds for ever.
#[test]
fn reader_that_fails_again_is_passed_over_for_longer() {
    let now = Instant::now();
    let mut order = ReaderOrder::default();
    order.set(&record("entry-9", "a"), entries("a"));
    let reader = first(&order, now);
    let mut pauses = Vec::new();

    let mut at = now;
    for _ in 0..6 {
        order.fail(&reader, at);
        let next = first(&order, at);
        let due = order.next_try(&next).unwrap();
        pauses.push(due - at);
        at = due;
    }
    order.succeed(&reader);

    assert!(pauses[1] > pauses[0], "{pauses:?}");
    assert!(pauses[5] <= Duration::from_secs(60), "{pauses:?}");
    assert_eq!(first(&order, now), reader);
}

fn registry(targets: &[(&str, u64)]) -> TargetRegistry {
    let mut registry = TargetRegistry::new(2, Rc::default());
    for (offset, (id, born)) in targets.iter().enumerate() {
        apply_registration(
            &mut registry,
            offset as u64,
            &Registration { born: *born, ..any_target(id) },
        );
    }
    registry
}

/// Guards against a new subscription that costs a slow link all targets, though both know almost
/// the same.
#[test]
fn only_parts_that_differ_are_sent() {
    let ids: Vec<String> = (0..400).map(|number| format!("target-{number}")).collect();
    let known: Vec<(&str, u64)> = ids.iter().map(|id| (id.as_str(), 1)).collect();
    let mut newer = known.clone();
    newer[7].1 = 2;
    newer.pop();

    let (known, newer) = (registry(&known), registry(&newer));
    let parts = Buckets::differing(&known.digests(), &newer.digests());
    let sent = newer.changes(parts);

    assert!(Buckets::differing(&known.digests(), &known.digests()).is_empty());
    assert!(sent.iter().any(|change| &*change.key == "target-7"), "{parts:?}");
    assert!(parts.contains("target-399"));
    assert!(sent.len() < 60, "{} targets", sent.len());
}

/// Guards against an order of arrival that makes equal rosters look different.
#[test]
fn digests_do_not_depend_on_order() {
    let one = registry(&[("a", 1), ("b", 2), ("c", 3)]);
    let other = registry(&[("c", 3), ("a", 1), ("b", 2)]);

    assert_eq!(one.digests(), other.digests());
}

quickcheck! {
    /// Whatever has failed for whom, news reach everybody from an entry that reads for itself.
    fn nobody_waits_in_a_circle(failures: Vec<(u8, u8)>) -> bool {
        let now = Instant::now();
        let mut views: BTreeMap<String, ReaderOrder> =
            (0..15).map(view).map(|(own, order)| (own.name, order)).collect();
        for (own, failed) in failures.into_iter().filter(|(own, failed)| own % 15 != failed % 15) {
            let own = format!("entry-{}", own % 15);
            views.get_mut(&own).unwrap().fail(&format!("entry-{}", failed % 15), now);
        }

        views.keys().all(|own| {
            let mut chain = vec![own.clone()];
            while chain.len() <= views.len() {
                let last = chain.last().unwrap();
                let next = first(&views[last], now);
                if next == *last {
                    return true;
                }
                chain.push(next);
            }
            false
        })
    }

    /// After an update of the parts that differ, both rosters hold the same.
    fn update_of_differing_parts_makes_rosters_equal(
        left: Vec<(u8, u8)>, right: Vec<(u8, u8)>
    ) -> bool {
        let registered = |list: &[(u8, u8)]| {
            let mut registry = TargetRegistry::new(2, Rc::default());
            for (id, born) in list {
                let (id, born) = (format!("t{id}"), u64::from(*born));
                apply_registration(&mut registry, 0, &Registration { born, ..any_target(&id) });
            }
            registry
        };
        let (mut known, told) = (registered(&left), registered(&right));
        let parts = Buckets::differing(&known.digests(), &told.digests());

        let mut newest = BTreeMap::new();
        for (key, id) in told.service("s").map(|(_, registered_target)| (registered_target, &registered_target.registration.id)) {
            if parts.contains(id) {
                newest.insert(id.clone(), key.registration.clone());
            }
        }
        let held = newest.keys().cloned().collect();
        known.expire_missing(&held, parts, AbsencePolicy::Remove);
        for registration in newest.values() {
            apply_registration(&mut known, 1, registration);
        }

        // A report that is older than the one known never counts.
        let known: BTreeMap<_, _> = known
            .service("s")
            .map(|(_, registered_target)| (registered_target.registration.id.clone(), registered_target.registration.born))
            .collect();
        told.service("s").all(|(_, registered_target)| {
            known.get(&registered_target.registration.id) >= Some(&registered_target.registration.born)
        }) && known.len() == told.len()
    }

    /// A greeting means the same on both sides.
    fn greetings_survive_the_wire(
        routes: Option<u64>, entries: Option<u32>, seed: u64
    ) -> bool {
        let digests = std::array::from_fn(|part| seed.wrapping_mul(part as u64 + 1));
        let request = SubscribeRequest { routes, digests, entries };
        SubscribeRequest::decode(&request.encode()[4..]).unwrap() == request
    }

    /// Bytes that are no greeting are refused without a panic.
    fn short_greetings_are_refused(bytes: Vec<u8>) -> bool {
        SubscribeRequest::decode(&bytes).is_err()
    }

    /// A message means the same on both sides.
    fn updates_survive_the_wire(
        complete: u64, targets: Vec<(u64, String, Vec<u8>)>, next: Option<u64>, age: Option<u32>
    ) -> bool {
        let targets: Vec<Change> = targets
            .into_iter()
            .map(|(offset, key, value)| Change { offset, key: key.into(), value: value.into() })
            .collect();
        let update = Update {
            complete: Buckets(complete),
            routes: targets.first().cloned(),
            targets,
            routes_next: next,
            targets_next: next.map(|next| next / 2),
            age: age.map(|age| Duration::from_micros(u64::from(age))),
            digest: complete.rotate_left(7),
            entries: age,
        };
        Update::decode(&update.encode()[4..]).unwrap() == update
    }

    /// Bytes that are too few for a message are an error, and no others end in a panic.
    fn short_messages_are_refused(bytes: Vec<u8>) -> bool {
        Update::decode(&bytes).is_err() || bytes.len() >= 6
    }
}
