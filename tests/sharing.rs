//! Tests of the reader order and of the messages between entries.

mod fixture;

use std::collections::BTreeMap;

use cornellink::edge::directory::{Change, EntryRecord, EvacuationState};
use cornellink::edge::position::Position;
use cornellink::prelude::*;
use cornellink::process::gateway::evacuation_record::EvacuationRecord;
use cornellink::process::gateway::evacuations::MAX_DOMAINS;
use cornellink::process::gateway::registry::{AbsencePolicy, TargetRegistry};
use cornellink::process::gateway::sharing::buckets::Buckets;
use cornellink::process::gateway::sharing::reader_order::{ReaderOrder, MAX_FOLLOWERS};
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
    order.first_available(now).map(|entry| entry.name.clone()).unwrap_or_default()
}

/// Guards against entries that follow different readers.
#[test]
fn entries_agree_on_the_first_reader() {
    let now = Instant::now();
    let all = entries("a");
    let firsts = all.iter().map(|own| {
        let mut order = ReaderOrder::default();
        let mut list = all.clone();
        list.rotate_left(all.iter().position(|one| one == own).unwrap());
        order.set_list(own, list);
        first(&order, now)
    });
    let firsts: Vec<String> = firsts.collect();

    assert!(firsts.iter().all(|name| *name == firsts[0]), "{firsts:?}");
}

/// Guards against a dead reader that is retried all the time, or never again.
#[test]
fn failed_reader_is_skipped_until_its_retry_time() {
    let now = Instant::now();
    let mut order = ReaderOrder::default();
    order.set_list(&record("entry-9", "a"), entries("a"));
    let reader = first(&order, now);

    order.record_failure(&reader, now);
    let next = first(&order, now);
    let retry_at = order.next_retry(&next).unwrap();

    assert_ne!(next, reader);
    assert_eq!(first(&order, retry_at), reader);
    assert_eq!(order.next_retry(&reader), None);
}

/// An entry with its reader order in three failure domains of five entries each.
fn entry_with_order(own: usize) -> (EntryRecord, ReaderOrder) {
    let name = |number| format!("entry-{number}");
    let domain = |number: usize| ["a", "b", "c"][number % 3];
    let all: Vec<EntryRecord> =
        (0..15).map(|number| record(&name(number), domain(number))).collect();
    let mut order = ReaderOrder::default();
    order.set_list(&all[own], all.clone());
    (all[own].clone(), order)
}

/// Guards against a reader in each failure domain, so that the same is read several times, and
/// against several entries of a domain that follow a reader in another one.
#[test]
fn only_the_first_entry_of_a_domain_follows_another_domain() {
    let now = Instant::now();
    let orders: Vec<(EntryRecord, ReaderOrder)> = (0..15).map(entry_with_order).collect();

    let readers = orders.iter().filter(|(own, order)| first(order, now) == own.name);
    let remote = orders
        .iter()
        .filter(|(own, order)| order.first_available(now).unwrap().domain != own.domain);
    let leaders: BTreeMap<&str, &str> =
        remote.clone().map(|(own, _)| (own.domain.as_str(), own.name.as_str())).collect();

    assert_eq!(readers.count(), 1);
    assert_eq!((remote.count(), leaders.len()), (2, 2));
}

/// Guards against missing standbys, without which no entry has a newer copy when the reader fails,
/// and against so many of them that they overload the directory together.
#[test]
fn each_domain_has_one_standby_behind_its_first_entry() {
    let now = Instant::now();
    let mut standbys: BTreeMap<String, usize> = BTreeMap::new();
    for (own, order) in (0..15).map(entry_with_order) {
        let reader = order.first_available(now).cloned().unwrap();
        let is_local = reader.domain == own.domain;
        if reader.name != own.name && is_local && order.is_standby(&reader, now) {
            *standbys.entry(own.domain).or_default() += 1;
        }
        assert!(is_local || order.is_standby(&reader, now), "{}", own.name);
    }

    let counts: Vec<usize> = standbys.into_values().collect();
    assert_eq!(counts, [1, 1, 1]);
}

/// Guards against the failure of a whole domain after which the other domains try its entries one
/// by one.
#[test]
fn at_most_three_entries_of_other_domains_are_tried() {
    let now = Instant::now();
    for own in 0..15 {
        let (own, mut order) = entry_with_order(own);

        let mut tried = 0;
        while let Some(entry) =
            order.first_available(now).filter(|entry| entry.name != own.name).cloned()
        {
            tried += usize::from(entry.domain != own.domain);
            order.record_failure(&entry.name, now);
        }

        assert!(tried <= 3, "{tried} tried by {}", own.name);
        assert_eq!(first(&order, now), own.name);
    }
}

/// The reader orders of all entries of one domain, by name.
fn orders_of_domain(count: usize) -> BTreeMap<String, ReaderOrder> {
    let all: Vec<EntryRecord> =
        (0..count).map(|number| record(&format!("entry-{number}"), "a")).collect();
    let order = |own: &EntryRecord| {
        let mut order = ReaderOrder::default();
        order.set_list(own, all.clone());
        order
    };
    all.iter().map(|own| (own.name.clone(), order(own))).collect()
}

/// Number of entries that follow each reader, and the longest chain to an entry that reads itself.
fn followers(
    orders: &BTreeMap<String, ReaderOrder>,
    now: Instant,
) -> (BTreeMap<String, usize>, usize) {
    let mut counts = BTreeMap::new();
    let mut depth = 0;
    for (own, order) in orders {
        let mut reader = first(order, now);
        if reader != *own {
            *counts.entry(reader.clone()).or_default() += 1;
        }
        let mut length = 0;
        while let Some(next) = orders.get(&reader).map(|order| first(order, now)) {
            length += 1;
            if next == reader {
                break;
            }
            reader = next;
            assert!(length <= orders.len(), "`{own}` follows a cycle");
        }
        depth = depth.max(length);
    }
    (counts, depth)
}

/// Load pattern: hundreds of entries of a domain take the whole copy at once. Guards against one
/// entry that sends it to all others, and against chains that make the copies of the last ones old.
#[test]
fn no_entry_of_a_large_domain_serves_all_others() {
    for count in [1, 2, 24, 25, 26, 60, 100, 400] {
        let (counts, depth) = followers(&orders_of_domain(count), Instant::now());

        assert_eq!(counts.values().sum::<usize>(), count - 1, "{count}");
        assert!(counts.values().all(|count| *count <= MAX_FOLLOWERS), "{count}: {counts:?}");
        assert!(depth <= 3, "{count}: {depth}");
    }
}

/// Guards against entries that follow one which has failed for all, and against several entries that
/// read the directory because of it.
#[test]
fn failed_entry_of_a_large_domain_is_bypassed() {
    let now = Instant::now();
    let readers: Vec<String> = followers(&orders_of_domain(100), now).0.into_keys().collect();
    for failed in readers {
        let mut orders = orders_of_domain(100);
        orders.remove(&failed);
        orders.values_mut().for_each(|order| order.record_failure(&failed, now));

        let (counts, _) = followers(&orders, now);

        assert_eq!(counts.values().sum::<usize>(), 98, "{failed}");
        assert!(!counts.contains_key(&failed), "{failed}");
    }
}

/// Guards against an entry of a large domain that tries the first entry before the standby when its
/// reader's copy has become too old, although the first one may be the cause.
#[test]
fn standby_comes_next_behind_a_reader_in_the_middle() {
    let now = Instant::now();
    let mut orders = orders_of_domain(100);
    let names: Vec<String> = {
        let last = orders.iter().find(|(own, order)| first(order, now) == **own).unwrap().0.clone();
        orders.keys().filter(|own| **own != last).cloned().collect()
    };
    let is_standby = |own: &String| {
        let order = &orders[own];
        order.is_standby(order.first_available(now).unwrap(), now)
    };
    let standby = names.iter().find(|own| is_standby(own)).unwrap().clone();
    let head = first(&orders[&standby], now);

    for own in names.iter().filter(|own| **own != standby) {
        let order = orders.get_mut(own).unwrap();
        let reader = first(order, now);
        order.record_failure(&reader, now);
        let expected = if reader == standby { &head } else { &standby };
        assert_eq!(first(order, now), *expected, "{own}");
    }
}

/// Guards against an entry that waits for the list while the directory is unreachable.
#[test]
fn seeds_are_tried_before_the_list_is_read() {
    let own = record("own", "a");
    let seed = SocketAddr::from(([127, 0, 0, 2], 9));
    let mut order = ReaderOrder::default();
    order.set_seeds(&own, &[own.address, seed]);

    assert_eq!(order.first_available(Instant::now()).unwrap().address, seed);
    order.record_failure(&seed.to_string(), Instant::now());
    assert_eq!(first(&order, Instant::now()), "own");
}

/// Guards against a reader on a slow link while an entry with a faster one is available: its
/// updates to all others of a large domain took seconds, in which each of them read the directory
/// itself.
#[test]
fn entry_with_the_fastest_link_reads_first() {
    let mut all = entries("a");
    all[3].link_mbps = 200;
    all.iter_mut().filter(|entry| entry.link_mbps == 0).for_each(|entry| entry.link_mbps = 10);
    let mut order = ReaderOrder::default();
    order.set_list(&all[0].clone(), all);

    assert_eq!(first(&order, Instant::now()), "entry-3");
}

/// Guards against a reader that is gone for good and is retried every few seconds for ever.
#[test]
fn backoff_of_a_reader_grows_with_each_failure() {
    let now = Instant::now();
    let mut order = ReaderOrder::default();
    order.set_list(&record("entry-9", "a"), entries("a"));
    let reader = first(&order, now);
    let mut backoffs = Vec::new();

    let mut at = now;
    for _ in 0..6 {
        order.record_failure(&reader, at);
        let next = first(&order, at);
        let retry_at = order.next_retry(&next).unwrap();
        backoffs.push(retry_at - at);
        at = retry_at;
    }
    order.record_success(&reader);

    assert!(backoffs[1] > backoffs[0], "{backoffs:?}");
    assert!(backoffs[5] <= Duration::from_secs(60), "{backoffs:?}");
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

/// Guards against a new subscription that sends all targets over a slow link although both copies
/// are almost equal.
#[test]
fn only_differing_buckets_are_sent() {
    let ids: Vec<String> = (0..400).map(|number| format!("target-{number}")).collect();
    let known: Vec<(&str, u64)> = ids.iter().map(|id| (id.as_str(), 1)).collect();
    let mut newer = known.clone();
    newer[7].1 = 2;
    newer.pop();

    let (known, newer) = (registry(&known), registry(&newer));
    let buckets = Buckets::differing(&known.digests(), &newer.digests());
    let sent = newer.changes(buckets);

    assert!(Buckets::differing(&known.digests(), &known.digests()).is_empty());
    assert!(sent.iter().any(|change| &*change.key == "target-7"), "{buckets:?}");
    assert!(buckets.contains("target-399"));
    assert!(sent.len() < 60, "{} targets", sent.len());
}

/// Guards against digests of equal registries that differ with the order of insertion.
#[test]
fn digests_are_independent_of_insertion_order() {
    let one = registry(&[("a", 1), ("b", 2), ("c", 3)]);
    let other = registry(&[("c", 3), ("a", 1), ("b", 2)]);

    assert_eq!(one.digests(), other.digests());
}

quickcheck! {
    /// Whichever entries have failed for others, each one follows a chain that ends at an entry
    /// which reads for itself.
    fn entries_never_follow_each_other_in_a_cycle(failures: Vec<(u8, u8)>) -> bool {
        let now = Instant::now();
        let mut orders: BTreeMap<String, ReaderOrder> =
            (0..15).map(entry_with_order).map(|(own, order)| (own.name, order)).collect();
        for (own, failed) in failures.into_iter().filter(|(own, failed)| own % 15 != failed % 15) {
            let own = format!("entry-{}", own % 15);
            orders.get_mut(&own).unwrap().record_failure(&format!("entry-{}", failed % 15), now);
        }

        orders.keys().all(|own| {
            let mut chain = vec![own.clone()];
            while chain.len() <= orders.len() {
                let last = chain.last().unwrap();
                let next = first(&orders[last], now);
                if next == *last {
                    return true;
                }
                chain.push(next);
            }
            false
        })
    }

    /// After an update of the buckets that differ, both registries hold the same targets.
    fn update_of_differing_buckets_makes_registries_equal(
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
        let (mut known, sent) = (registered(&left), registered(&right));
        let buckets = Buckets::differing(&known.digests(), &sent.digests());

        let mut newest = BTreeMap::new();
        for (key, id) in sent.service("s").map(|(_, registered_target)| (registered_target, &registered_target.registration.id)) {
            if buckets.contains(id) {
                newest.insert(id.clone(), key.registration.clone());
            }
        }
        let held = newest.keys().cloned().collect();
        known.expire_missing(&held, buckets, AbsencePolicy::Remove);
        for registration in newest.values() {
            apply_registration(&mut known, 1, registration);
        }

        // A report that is older than the known one is ignored.
        let known: BTreeMap<_, _> = known
            .service("s")
            .map(|(_, registered_target)| (registered_target.registration.id.clone(), registered_target.registration.born))
            .collect();
        sent.service("s").all(|(_, registered_target)| {
            known.get(&registered_target.registration.id) >= Some(&registered_target.registration.born)
        }) && known.len() == sent.len()
    }

    /// A request is unchanged after encoding and decoding.
    fn subscribe_request_round_trips(
        routes: Option<u64>, entries: Option<u32>, seed: u64
    ) -> bool {
        let digests = std::array::from_fn(|part| seed.wrapping_mul(part as u64 + 1));
        let request = SubscribeRequest { routes: routes.map(Position::from), digests, entries };
        SubscribeRequest::decode(&request.encode()[4..]).unwrap() == request
    }

    /// Bytes that are not a request are refused without a panic.
    fn random_bytes_are_refused_as_subscribe_request(bytes: Vec<u8>) -> bool {
        SubscribeRequest::decode(&bytes).is_err()
    }

    /// An update is unchanged after encoding and decoding.
    fn update_round_trips(
        complete: u64, targets: Vec<(u64, String, Vec<u8>)>, next: Option<u64>, age: Option<u32>
    ) -> bool {
        let evacuations = targets.iter().take(MAX_DOMAINS).enumerate().map(evacuation).collect();
        let targets: Vec<Change> = targets
            .into_iter()
            .map(|(offset, key, value)| Change { position: offset.into(), key: key.into(), value: value.into() })
            .collect();
        let update = Update {
            complete: Buckets(complete),
            routes: targets.first().cloned(),
            targets,
            routes_next: next.map(Position::from),
            targets_next: next.map(|next| Position::new(next, next / 2)),
            age: age.map(|age| Duration::from_micros(u64::from(age))),
            hops: complete as u8,
            digest: complete.rotate_left(7),
            entries: age,
            evacuations,
        };
        Update::decode(&update.encode()[4..]).unwrap() == update
    }

    /// Fewer bytes than the shortest update are refused, and no others cause a panic.
    fn short_bytes_are_refused_as_update(bytes: Vec<u8>) -> bool {
        Update::decode(&bytes).is_err() || bytes.len() >= 6
    }
}

/// An evacuation with the offset of a change.
fn evacuation((number, (offset, ..)): (usize, &(u64, String, Vec<u8>))) -> EvacuationRecord {
    let state = match offset % 2 {
        0 => EvacuationState::Active,
        _ => EvacuationState::Ended,
    };
    EvacuationRecord {
        domain: format!("domain-{number}").into(),
        position: (*offset).into(),
        state,
    }
}

/// Guards against an update that fills an entry with evacuations, or with names that no target can
/// have and that are written to logs.
#[test]
fn updates_with_odd_evacuations_are_refused() {
    let record = |domain: String| EvacuationRecord {
        domain: domain.into(),
        position: 1.into(),
        state: EvacuationState::Active,
    };
    let decode = |domains: Vec<String>| {
        let evacuations = domains.into_iter().map(record).collect();
        Update::decode(&Update { evacuations, ..Update::default() }.encode()[4..])
    };
    let domains = |count: usize| (0..count).map(|number| format!("domain-{number}")).collect();

    assert_eq!(decode(domains(MAX_DOMAINS)).unwrap().evacuations.len(), MAX_DOMAINS);
    assert!(decode(domains(MAX_DOMAINS + 1)).is_err());
    for name in [String::new(), "a b".into(), "line\nbreak".into(), "x".repeat(256)] {
        assert!(decode(vec![name.clone()]).is_err(), "{name:?}");
    }
}

/// The registration of a target as a directory holds it.
fn stored_change(number: u64) -> Change {
    let value = serde_json::json!({
        "service": format!("service-{}", number % 3),
        "address": format!("10.{}.{}.7:8407", number % 5, number % 251),
        "zone": "a", "version": "v1", "max_concurrency": 3, "state": "ready",
        "warmup_remaining_ms": 0, "sequence": number * 7, "born": 1_766_000_000_000 + number * 977,
    });
    let key = format!("i-{:08x}", number.wrapping_mul(0x9e37_79b9) & 0xffff_ffff);
    Change { position: number.into(), key: key.into(), value: value.to_string().into() }
}

/// Load pattern: all entries of a large fleet start anew after a loss of power and take all targets
/// from one of them. Guards against messages that keep its link busy for seconds.
#[test]
fn whole_copy_of_a_large_fleet_is_compressed() {
    let targets: Vec<Change> = (0..3000).map(stored_change).collect();
    let size: usize = targets.iter().map(|change| change.key.len() + change.value.len()).sum();
    let update = Update { targets, ..Update::default() };

    let message = update.encode();

    assert!(message.len() * 2 < size, "{} of {size} bytes", message.len());
    assert_eq!(Update::decode(&message[4..]).unwrap(), update);
}

/// Guards against a message that makes an entry allocate as much memory as it states, or that ends
/// the process.
#[test]
fn malformed_compressed_updates_are_refused() {
    let update = Update { targets: (0..100).map(stored_change).collect(), ..Update::default() };
    let message = update.encode()[4..].to_vec();
    // The message starts with its kind, the number of its bytes in two bytes, and the length.
    let mut too_long = message.clone();
    too_long[3..7].fill(0xff);
    let mut too_short = message.clone();
    too_short[3..7].copy_from_slice(&1_u32.to_le_bytes());

    assert!(Update::decode(&message).is_ok());
    assert!(Update::decode(&too_long).unwrap_err().to_string().contains("exceeds the limit"));
    assert!(Update::decode(&too_short).is_err());
    assert!((0..message.len()).all(|length| Update::decode(&message[..length]).is_err()));
}
