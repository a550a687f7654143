//! Tests of the evacuations of failure domains.

mod fixture;

use std::collections::{BTreeMap, BTreeSet};

use cornellink::edge::directory::{
    Batch, Change, DecodedChange, Directory, EntryRecord, EvacuationState, Feed, ReadOutcome,
};
use cornellink::edge::position::Position;
use cornellink::edge::stand_in::directory::StandInDirectory;
use cornellink::edge::PlatformFuture;
use cornellink::prelude::*;
use cornellink::process::gateway::evacuation_effect::EvacuationEffect;
use cornellink::process::gateway::evacuation_record::EvacuationRecord;
use cornellink::process::gateway::evacuations::{Evacuations, MAX_COPY_AGE, MAX_DOMAINS};
use cornellink::process::gateway::routes_read::RoutesRead;
use cornellink::process::gateway::search::{search, SearchStats};
use cornellink::process::gateway::sharing::freshness::CopyState;
use cornellink::process::gateway::sharing::publish;
use cornellink::process::gateway::sharing::update::{Update, FORMAT};
use cornellink::process::gateway::{follower, Gateway};
use cornellink::process::runtime::block_on;
use cornellink::request::attempt::AttemptResult;
use cornellink::request::relay::relay;
use cornellink::request::relay_attempt::send;
use cornellink::request::routed_call::RoutedCall;
use cornellink::version::registration::Registration;
use fixture::gateway::{get, idempotent_route, settings, until, TestGateway, HEADER_NAMES};
use fixture::registry::{table, target};
use fixture::scripted::{Script, ScriptedTarget};
use monoio::io::AsyncWriteRentExt;
use monoio::net::{TcpListener, TcpStream};
use quickcheck::quickcheck;

/// The evacuation limit of the pure tests.
const LIMIT: Duration = Duration::from_secs(5);
/// The evacuation limit of the tests with gateways.
const SHORT_LIMIT: Duration = Duration::from_millis(1000);
/// Time between two calls of a caller.
const CALL_INTERVAL: Duration = Duration::from_millis(4);

/// Statuses of calls that were all answered with 200.
const NO_FAILURES: [StatusCode; 0] = [];

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn record(domain: &str, offset: u64, state: EvacuationState) -> EvacuationRecord {
    EvacuationRecord { domain: domain.into(), position: offset.into(), state }
}

fn active(domain: &str, offset: u64) -> EvacuationRecord {
    record(domain, offset, EvacuationState::Active)
}

fn ended(domain: &str, offset: u64) -> EvacuationRecord {
    record(domain, offset, EvacuationState::Ended)
}

/// The domains that are evacuated.
fn active_domains(evacuations: &Evacuations) -> BTreeSet<Rc<str>> {
    let records = evacuations.records().into_iter();
    records
        .filter(|record| record.state == EvacuationState::Active)
        .map(|record| record.domain)
        .collect()
}

fn is_evacuated(evacuations: &Evacuations, domain: &str) -> bool {
    active_domains(evacuations).contains(domain)
}

/// Guards against load that moves to the other domains at once, and against calls that use the
/// domain when the ramp is over.
#[test]
fn share_falls_to_zero_within_0_18_of_the_limit() {
    let mut evacuations = Evacuations::new(LIMIT);
    let start = Instant::now();

    let effect = evacuations.apply(&active("a", 4), CopyState::Fresh, start);

    let share = |millis: u64| evacuations.share("a", start + ms(millis));
    assert_eq!(effect, EvacuationEffect::Began);
    assert_eq!((share(0), share(900), share(60_000)), (1.0, 0.0, 0.0));
    assert!((share(450) - 0.5).abs() < 1e-9, "{}", share(450));
    assert!(!evacuations.is_closed("a", start + ms(899)));
    assert!(evacuations.is_closed("a", start + ms(900)));
    assert_eq!(evacuations.share("b", start + ms(900)), 1.0);
}

/// Guards against load that returns at once to targets that may be cold, and against a domain that
/// stays closed after its evacuation.
#[test]
fn share_rises_to_one_within_0_6_of_the_limit() {
    let mut evacuations = Evacuations::new(LIMIT);
    let start = Instant::now();
    evacuations.apply(&active("a", 4), CopyState::Stale, start);

    let effect = evacuations.apply(&ended("a", 5), CopyState::Fresh, start + ms(2000));

    let share = |millis: u64| evacuations.share("a", start + ms(2000 + millis));
    assert_eq!(effect, EvacuationEffect::Ended);
    assert_eq!((share(0), share(3000), share(60_000)), (0.0, 1.0, 1.0));
    assert!((share(1500) - 0.5).abs() < 1e-9, "{}", share(1500));
}

/// Guards against a share that jumps when a ramp is interrupted by the next record.
#[test]
fn interrupted_ramp_continues_from_its_share() {
    let mut evacuations = Evacuations::new(LIMIT);
    let start = Instant::now();
    evacuations.apply(&active("a", 4), CopyState::Fresh, start);

    evacuations.apply(&ended("a", 5), CopyState::Fresh, start + ms(450));
    let after_end = evacuations.share("a", start + ms(450));
    evacuations.apply(&active("a", 6), CopyState::Fresh, start + ms(1200));
    let after_return = evacuations.share("a", start + ms(1200));

    assert!((after_end - 0.5).abs() < 1e-9, "{after_end}");
    assert!((after_return - 0.75).abs() < 1e-9, "{after_return}");
    assert!(evacuations.is_closed("a", start + ms(2000)));
}

/// Guards against an entry that learns late of an evacuation and uses the domain for a whole ramp,
/// although the limit may have passed.
#[test]
fn stale_copy_closes_the_domain_at_once() {
    let mut evacuations = Evacuations::new(LIMIT);
    let now = Instant::now();

    evacuations.apply(&active("a", 4), CopyState::Stale, now);

    assert!(evacuations.is_closed("a", now));
}

/// Guards against a repeated record that starts the ramp again.
#[test]
fn repeated_record_does_not_extend_the_ramp() {
    let mut evacuations = Evacuations::new(LIMIT);
    let start = Instant::now();
    evacuations.apply(&active("a", 4), CopyState::Fresh, start);

    let same = evacuations.apply(&active("a", 4), CopyState::Fresh, start + ms(1000));
    let newer = evacuations.apply(&active("a", 9), CopyState::Fresh, start + ms(1000));

    assert_eq!((same, newer), (EvacuationEffect::Unchanged, EvacuationEffect::Renewed));
    assert!(evacuations.is_closed("a", start + ms(1500)));
}

/// Guards against late copies that bring back a removed evacuation or remove a newer one, whether
/// the entry still holds the record of the end or not.
#[test]
fn late_copies_change_nothing() {
    let now = Instant::now();
    let mut with_end = Evacuations::new(LIMIT);
    with_end.apply(&active("a", 4), CopyState::Fresh, now);
    with_end.apply(&ended("a", 7), CopyState::Fresh, now);
    let mut without_end = Evacuations::new(LIMIT);
    without_end.apply_snapshot(&[], 8.into(), CopyState::Stale, now);
    let mut newer = Evacuations::new(LIMIT);
    newer.apply(&active("a", 9), CopyState::Fresh, now);
    newer.set_complete_to(10.into(), now);

    for evacuations in [&mut with_end, &mut without_end] {
        evacuations.apply(&active("a", 4), CopyState::Fresh, now);
        evacuations.apply_shared(&[active("a", 4)], 5.into(), CopyState::Fresh, now);
        assert!(!is_evacuated(evacuations, "a"), "{evacuations:?}");
    }
    newer.apply(&ended("a", 7), CopyState::Fresh, now);
    newer.apply_shared(&[ended("a", 7)], 8.into(), CopyState::Fresh, now);
    newer.apply_shared(&[], 8.into(), CopyState::Fresh, now);
    newer.apply_snapshot(&[], 8.into(), CopyState::Fresh, now);
    assert!(is_evacuated(&newer, "a"), "{newer:?}");
}

/// Guards against a domain that stays closed because its record was removed during a gap, and
/// against a snapshot of several pages that ends an evacuation which began while it was read.
#[test]
fn snapshot_ends_the_evacuations_that_it_lacks() {
    let now = Instant::now();
    let mut evacuations = Evacuations::new(LIMIT);
    for (domain, offset) in [("kept", 3), ("removed", 4), ("at-end", 8), ("beyond", 9)] {
        evacuations.apply(&active(domain, offset), CopyState::Fresh, now);
    }

    let effects = evacuations.apply_snapshot(&[active("kept", 3)], 8.into(), CopyState::Fresh, now);

    assert_eq!(effects, [(ended("removed", 7), EvacuationEffect::Ended)]);
    for domain in ["kept", "at-end", "beyond"] {
        assert!(is_evacuated(&evacuations, domain), "{domain}");
    }
    evacuations.apply(&active("removed", 4), CopyState::Fresh, now);
    assert!(!is_evacuated(&evacuations, "removed"));
}

/// Guards against a reader without offsets, such as one that has just started, whose empty set ends
/// evacuations at its subscribers.
#[test]
fn empty_set_without_an_offset_ends_nothing() {
    let now = Instant::now();
    let mut evacuations = Evacuations::new(LIMIT);
    evacuations.apply(&active("a", 0), CopyState::Fresh, now);

    let effects = evacuations.apply_shared(&[], 0.into(), CopyState::Fresh, now);

    assert_eq!(effects, []);
    assert!(is_evacuated(&evacuations, "a"));
}

/// Guards against records of made-up domains that fill the memory, that push out evacuations, or
/// whose ends keep further evacuations out.
#[test]
fn at_most_64_domains_are_kept() {
    let now = Instant::now();
    let mut evacuations = Evacuations::new(LIMIT);
    let name = |number: usize| format!("domain-{number}");
    for number in 0..MAX_DOMAINS {
        evacuations.apply(&active(&name(number), number as u64), CopyState::Fresh, now);
    }

    let refused = evacuations.apply(&active("late", 100), CopyState::Fresh, now);
    evacuations.apply(&ended(&name(7), 101), CopyState::Fresh, now);
    let accepted = evacuations.apply(&active("late", 102), CopyState::Fresh, now);

    assert_eq!((refused, accepted), (EvacuationEffect::Refused, EvacuationEffect::Began));
    assert_eq!((evacuations.active_count(), evacuations.records().len()), (64, 64));
    assert!(!is_evacuated(&evacuations, &name(7)));
    // The full set of another entry may lack domains, so it ends none of these.
    let others: Vec<EvacuationRecord> =
        (0..MAX_DOMAINS).map(|number| active(&format!("other-{number}"), 200)).collect();
    evacuations.apply_shared(&others, 300.into(), CopyState::Fresh, now);
    assert!(is_evacuated(&evacuations, "late"));
}

/// Guards against names of past evacuations that are kept and passed on for ever, so that 64 of them
/// leave no room and make every set count as incomplete.
#[test]
fn ended_evacuations_are_dropped_after_their_ramp_and_the_age_of_a_copy() {
    let mut now = Instant::now();
    let mut evacuations = Evacuations::new(LIMIT);
    for number in 0..200 {
        let (name, offset) = (format!("domain-{number}"), 2 * number);
        evacuations.apply(&active(&name, offset), CopyState::Fresh, now);
        now += LIMIT;
        evacuations.apply(&ended(&name, offset + 1), CopyState::Fresh, now);
        evacuations.set_complete_to((offset + 2).into(), now);
        assert_eq!(evacuations.records(), [ended(&name, offset + 1)]);
        now += LIMIT.max(MAX_COPY_AGE);
    }

    evacuations.set_complete_to(400.into(), now);
    evacuations.apply(&active("domain-7", 14), CopyState::Fresh, now);

    assert!(evacuations.is_empty(), "{evacuations:?}");
}

/// The domains that are evacuated after the first `end` records of a log.
fn evacuated_after(log: &[EvacuationRecord], end: usize) -> BTreeSet<Rc<str>> {
    let newest: BTreeMap<_, _> =
        log[..end].iter().map(|record| (record.domain.clone(), record.state)).collect();
    let active = newest.into_iter().filter(|(_, state)| *state == EvacuationState::Active);
    active.map(|(domain, _)| domain).collect()
}

/// The set of a reader that has read the first `end` records of a log, from its start or in a
/// snapshot.
fn reader_set(log: &[EvacuationRecord], end: usize, by_snapshot: bool) -> Vec<EvacuationRecord> {
    let mut evacuations = Evacuations::new(LIMIT);
    let now = Instant::now();
    let mut newest: BTreeMap<Rc<str>, EvacuationRecord> = BTreeMap::new();
    for record in &log[..end] {
        newest.insert(record.domain.clone(), record.clone());
        if !by_snapshot {
            evacuations.apply(record, CopyState::Fresh, now);
        }
    }
    if by_snapshot {
        let held = newest.into_values().filter(|record| record.state == EvacuationState::Active);
        let held: Vec<EvacuationRecord> = held.collect();
        evacuations.apply_snapshot(&held, (end as u64).into(), CopyState::Fresh, now);
    }
    evacuations.records()
}

quickcheck! {
    /// Whatever the order of the updates from two readers, one of which may have read the log in a
    /// snapshot, an entry knows what the most advanced one knew. Guards against late copies that
    /// bring back a removed evacuation or remove a newer one.
    fn entry_follows_the_most_advanced_of_its_readers(
        log: Vec<(u8, bool)>, updates: Vec<(u8, bool)>
    ) -> bool {
        let log = log.into_iter().enumerate().map(|(offset, (domain, is_active))| {
            let domain = format!("domain-{}", domain % 4);
            match is_active {
                true => active(&domain, offset as u64),
                false => ended(&domain, offset as u64),
            }
        });
        let log: Vec<EvacuationRecord> = log.collect();
        let mut evacuations = Evacuations::new(LIMIT);
        let now = Instant::now();
        let mut farthest = 0;
        updates.into_iter().all(|(position, by_snapshot)| {
            let end = usize::from(position) % (log.len() + 1);
            farthest = farthest.max(end);
            let set = reader_set(&log, end, by_snapshot);
            evacuations.apply_shared(&set, (end as u64).into(), CopyState::Fresh, now);
            active_domains(&evacuations) == evacuated_after(&log, farthest)
        })
    }
}

/// A directory with a route to the service `s`, whose gateways have the short limit.
struct Deployment {
    directory: Rc<StandInDirectory>,
}

impl Deployment {
    fn new(targets: &[(&str, &str, &ScriptedTarget)]) -> Self {
        let directory = Rc::new(StandInDirectory::default());
        for (id, domain, found) in targets {
            let domain = (*domain).into();
            let registration = Registration { domain, ..target(id, "s", found.address) };
            directory.append(Feed::Targets, id, DecodedChange::Target(registration));
        }
        let table = table(1, vec![idempotent_route()]).expect("the route is valid");
        directory.append(Feed::Routes, "config", DecodedChange::Routes(Rc::new(table)));
        Self { directory }
    }

    fn record(&self, domain: &str, state: EvacuationState) {
        let decoded = DecodedChange::Evacuation { domain: domain.into(), state };
        self.directory.append(Feed::Routes, &format!("evacuate/{domain}"), decoded);
    }

    /// Starts a gateway of the domain `a`, with this evacuation limit, and waits until it is ready.
    async fn start_gateway(&self, limit: Duration) -> TestGateway {
        let mut settings = settings("entry-1", None);
        settings.evacuation_ms = limit.as_millis() as u64;
        let gateway = Rc::new(Gateway::new(settings, HEADER_NAMES));
        let directory = self.directory.clone();
        monoio::spawn(follower::follow(gateway.clone(), directory.clone()));
        until("the gateway is ready", || gateway.is_ready()).await;
        TestGateway { gateway, directory }
    }
}

/// Number of calls that a target received after a time.
fn calls_after(target: &ScriptedTarget, time: Instant) -> usize {
    target.received_calls().iter().filter(|call| call.at > time).count()
}

/// Sends calls one after the other until a time; returns the statuses other than 200.
async fn call_until(gateway: &TestGateway, end: Instant) -> Vec<StatusCode> {
    let mut failures = Vec::new();
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let status = gateway.call(&format!("call-{number}")).await.status;
        if status != StatusCode::OK {
            failures.push(status);
        }
        monoio::time::sleep(CALL_INTERVAL).await;
    }
    failures
}

/// Guards against calls that reach an evacuated domain after the limit or are refused meanwhile,
/// against a load that moves in one step, and against calls that never return to the domain.
#[test]
fn calls_move_to_the_other_domain_and_return() {
    let near = ScriptedTarget::start("near", Script::Respond, "0,0,4");
    let far = ScriptedTarget::start("far", Script::Respond, "0,0,4");
    block_on(async {
        let deployment = Deployment::new(&[("near", "a", &near), ("far", "b", &far)]);
        let gateway = deployment.start_gateway(SHORT_LIMIT).await;
        let before = call_until(&gateway, Instant::now() + ms(100)).await;
        assert_eq!((before, calls_after(&far, Instant::now() - ms(100))), (Vec::new(), 0));

        let began = Instant::now();
        deployment.record("a", EvacuationState::Active);
        let during = call_until(&gateway, began + SHORT_LIMIT).await;
        let limit = Instant::now();
        let evacuated = call_until(&gateway, limit + ms(300)).await;
        let ended = Instant::now();
        let late = calls_after(&near, limit);
        deployment.record("a", EvacuationState::Ended);
        let returning = call_until(&gateway, ended + SHORT_LIMIT).await;
        let returned = Instant::now();
        let after = call_until(&gateway, returned + ms(200)).await;

        assert_eq!([during, evacuated, returning, after].concat(), NO_FAILURES);
        assert_eq!(late, 0);
        assert!(calls_after(&near, began) > 0 && calls_after(&far, began) > 0);
        assert_eq!(calls_after(&far, returned), 0);
        assert!(calls_after(&near, returned) > 0);
    })
    .unwrap();
}

/// Guards against a call that waits for a queue in the domain while its share falls to 0, and is
/// then sent there or refused.
#[test]
fn waiting_call_finds_another_target() {
    // A call joins the queue of the near target sooner, but not at once.
    let near = ScriptedTarget::start("near", Script::Respond, "4,2,4");
    let far = ScriptedTarget::start("far", Script::Respond, "4,2,4");
    block_on(async {
        let deployment = Deployment::new(&[("near", "a", &near), ("far", "b", &far)]);
        let gateway = deployment.start_gateway(ms(60)).await;
        assert_eq!(gateway.call("before").await.status, StatusCode::OK);
        assert_eq!(near.received_calls().len(), 1);
        // The samples of the first call no longer keep its target out of the first round.
        monoio::time::sleep(ms(100)).await;

        deployment.record("a", EvacuationState::Active);
        let status = gateway.call("waits").await.status;

        assert_eq!(status, StatusCode::OK);
        assert_eq!((near.received_calls().len(), far.received_calls().len()), (1, 1));
    })
    .unwrap();
}

/// Guards against a retry that turns to the evacuated domain because the other targets have failed.
#[test]
fn retry_does_not_use_the_evacuated_domain() {
    let near = ScriptedTarget::start("near", Script::Respond, "0,0,4");
    let far = ScriptedTarget::start("far", Script::Fail, "0,0,4");
    block_on(async {
        let deployment = Deployment::new(&[("near", "a", &near), ("far", "b", &far)]);
        deployment.record("a", EvacuationState::Active);
        let gateway = deployment.start_gateway(SHORT_LIMIT).await;

        let status = gateway.call("retried").await.status;

        assert_eq!(status, StatusCode::INTERNAL_SERVER_ERROR);
        assert_eq!((near.received_calls().len(), far.received_calls().len()), (0, 1));
    })
    .unwrap();
}

/// Guards against an entry that starts during an evacuation and uses the domain for a whole ramp.
#[test]
fn started_entry_does_not_use_the_evacuated_domain() {
    let near = ScriptedTarget::start("near", Script::Respond, "0,0,4");
    let far = ScriptedTarget::start("far", Script::Respond, "0,0,4");
    block_on(async {
        let deployment = Deployment::new(&[("near", "a", &near), ("far", "b", &far)]);
        deployment.record("a", EvacuationState::Active);
        let gateway = deployment.start_gateway(LIMIT).await;

        let failures = call_until(&gateway, Instant::now() + ms(100)).await;

        assert_eq!((failures, near.received_calls().len()), (Vec::new(), 0));
        assert!(!far.received_calls().is_empty());
    })
    .unwrap();
}

/// Guards against a call whose target was chosen before the domain was closed, and that is written to
/// it on the probe's connection.
#[test]
fn chosen_target_is_refused_right_before_the_write() {
    let near = ScriptedTarget::start("near", Script::Respond, "0,0,4");
    block_on(async {
        let deployment = Deployment::new(&[("near", "a", &near)]);
        let gateway = deployment.start_gateway(SHORT_LIMIT).await.gateway;
        let mut call = get("/a/x", "chosen", 1000);
        let mut routed = RoutedCall::find(&gateway, &mut call, Instant::now()).unwrap();
        let found = search(&gateway, &routed, &[], &mut SearchStats::default()).await;
        let record = active("a", 9);
        gateway.evacuations.borrow_mut().apply(&record, CopyState::Stale, Instant::now());

        let result = send(&gateway, &mut routed, &mut call, found.ok().unwrap()).await;

        assert!(matches!(result, Some(AttemptResult::NotSent(Code::NotRunNoTarget))));
        assert_eq!((routed.sent_attempts, near.received_calls().len()), (0, 0));
    })
    .unwrap();
}

/// Guards against calls that wait for their deadline when all targets are in evacuated domains, and
/// against calls that are refused during the ramp because the draw leaves no target.
#[test]
fn calls_are_refused_only_when_no_domain_is_left() {
    let near = ScriptedTarget::start("near", Script::Respond, "0,0,4");
    block_on(async {
        let deployment = Deployment::new(&[("near", "a", &near)]);
        let gateway = deployment.start_gateway(LIMIT).await;
        deployment.record("a", EvacuationState::Active);
        until("the evacuation is known", || {
            gateway.gateway.evacuations.borrow().active_count() == 1
        })
        .await;

        let during = call_until(&gateway, Instant::now() + ms(200)).await;
        let is_closed = || gateway.gateway.evacuations.borrow().is_closed("a", Instant::now());
        until("the domain is closed", is_closed).await;
        let start = Instant::now();
        let response = relay(gateway.gateway.clone(), get("/a/x", "late", 1000)).await;

        assert_eq!(during, NO_FAILURES);
        assert_eq!(response.code(), Some(Code::NotRunNoTarget));
        assert!(start.elapsed() < ms(50), "{:?}", start.elapsed());
    })
    .unwrap();
}

/// The first update that a new subscriber without a copy gets.
async fn first_update(address: SocketAddr, subscriber: &Gateway) -> Update {
    let mut stream = TcpStream::connect_addr(address).await.unwrap();
    let request = subscriber.subscribe_request().encode();
    stream.write_all([&[FORMAT][..], &request].concat()).await.0.unwrap();
    Update::read(&mut stream).await.unwrap()
}

/// Guards against a copy for new subscribers that was encoded before an evacuation, and against a
/// subscriber that lacks nothing else and is not told of it.
#[test]
fn first_message_holds_the_evacuations() {
    block_on(async {
        let deployment = Deployment::new(&[]);
        let gateway = deployment.start_gateway(LIMIT).await;
        let reader = gateway.gateway.clone();
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().unwrap();
        monoio::spawn(publish::serve(reader.clone(), listener));
        let subscriber = Gateway::new(settings("entry-2", None), HEADER_NAMES);
        let before = first_update(address, &subscriber).await;
        deployment.record("a", EvacuationState::Active);
        until("the reader knows", || reader.evacuations.borrow().active_count() == 1).await;

        let without_copy = first_update(address, &subscriber).await;
        subscriber.apply_update(&*deployment.directory, &before);
        let with_copy = first_update(address, &subscriber).await;

        assert_eq!(before.evacuations, []);
        assert_eq!(without_copy.evacuations, [active("a", 1)]);
        assert!(!with_copy.has_changes(), "{with_copy:?}");
        assert_eq!(with_copy.evacuations, [active("a", 1)]);
    })
    .unwrap();
}

/// Guards against an entry that learns of an old evacuation after a time without updates and uses
/// the domain for a whole ramp, and against one with a fresh copy whose load moves in one step.
#[test]
fn ramp_after_an_update_depends_on_the_age_of_the_copy() {
    let deployment = Deployment::new(&[]);
    let read = RoutesRead { is_snapshot: false, copy: CopyState::Fresh };
    let reader = Gateway::new(settings("reader", None), HEADER_NAMES);
    let [fresh, stale] =
        ["fresh", "stale"].map(|name| Gateway::new(settings(name, None), HEADER_NAMES));
    let now = Instant::now();
    fresh.sharing.freshness.borrow_mut().record_update(ms(100), now);
    stale.sharing.freshness.borrow_mut().record_update(ms(5000), now);
    deployment.record("a", EvacuationState::Active);
    let changes = deployment.directory.all_changes(Feed::Routes);
    let next = changes.len() as u64;
    let batch = Batch { changes, next: next.into() };
    reader.apply_routes(&*deployment.directory, batch, read);
    reader.sharing.freshness.borrow_mut().record_update(ms(0), now);
    let update = reader.with_progress(Update::default());

    for subscriber in [&fresh, &stale] {
        subscriber.apply_update(&*deployment.directory, &update);
    }

    let share = |gateway: &Gateway| gateway.evacuations.borrow().share("a", Instant::now());
    assert!(share(&fresh) > 0.9, "{}", share(&fresh));
    assert_eq!(share(&stale), 0.0);
}

/// A directory whose feed of the routes has a gap and whose snapshot of the routes does not arrive.
/// It counts the decoded changes.
#[derive(Default)]
struct GapDirectory {
    inner: StandInDirectory,
    decoded: Cell<usize>,
}

impl Directory for GapDirectory {
    fn snapshot(&self, feed: Feed) -> PlatformFuture<'_, Batch> {
        match feed {
            Feed::Routes => Box::pin(std::future::pending()),
            Feed::Targets => self.inner.snapshot(feed),
        }
    }

    fn changes(
        &self,
        feed: Feed,
        from: Position,
        wait: Duration,
    ) -> PlatformFuture<'_, ReadOutcome> {
        match feed {
            Feed::Routes => Box::pin(async { Ok(ReadOutcome::Gap) }),
            Feed::Targets => self.inner.changes(feed, from, wait),
        }
    }

    fn decode(&self, feed: Feed, change: &Change) -> Option<DecodedChange> {
        self.decoded.set(self.decoded.get() + 1);
        self.inner.decode(feed, change)
    }

    fn register_entry<'a>(&'a self, record: &EntryRecord) -> PlatformFuture<'a, ()> {
        self.inner.register_entry(record)
    }

    fn entry_records(&self) -> PlatformFuture<'_, Vec<EntryRecord>> {
        self.inner.entry_records()
    }
}

/// Guards against an entry that returns after a long time, finds a gap, and counts its copy as fresh
/// before the snapshot: it would use an old record's domain for a whole ramp, as would its subscribers.
#[test]
fn copy_stays_stale_between_a_gap_and_the_snapshot() {
    block_on(async {
        let directory = Rc::new(GapDirectory::default());
        let gateway = Rc::new(Gateway::new(settings("entry-1", None), HEADER_NAMES));
        gateway.sharing.freshness.borrow_mut().record_update(ms(30_000), Instant::now());
        gateway.next_routes.set(Some(1.into()));

        monoio::spawn(follower::follow(gateway.clone(), directory));
        until("the gap is noticed", || gateway.next_routes.get().is_none()).await;
        until("the targets are read", || gateway.last_read.get().is_some()).await;

        let copy = gateway.sharing.freshness.borrow().copy_state(Instant::now());
        assert_eq!(copy, CopyState::Stale);
    })
    .unwrap();
}

/// Guards against a large configuration that is parsed twice, which doubles the pause of the calls, and
/// against two log lines for one malformed name.
#[test]
fn each_change_of_the_routes_is_decoded_once() {
    let directory = GapDirectory::default();
    let gateway = Gateway::new(settings("entry-1", None), HEADER_NAMES);
    let table = table(1, vec![idempotent_route()]).expect("the route is valid");
    directory.inner.append(Feed::Routes, "config", DecodedChange::Routes(Rc::new(table)));
    let (domain, state) = ("a".into(), EvacuationState::Active);
    let evacuation = DecodedChange::Evacuation { domain, state };
    directory.inner.append(Feed::Routes, "evacuate/a", evacuation);
    let batch = Batch { changes: directory.inner.all_changes(Feed::Routes), next: 2.into() };

    let read = RoutesRead { is_snapshot: true, copy: CopyState::Fresh };
    gateway.apply_routes(&directory, batch, read);

    assert_eq!(directory.decoded.get(), 2);
    assert!(gateway.table().is_some() && is_evacuated(&gateway.evacuations.borrow(), "a"));
}
