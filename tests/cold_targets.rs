//! Calls to targets that are warming up.

mod fixture;

use std::collections::{BTreeMap, HashMap};

use cornellink::edge::directory::{DecodedChange, EvacuationState, Feed};
use cornellink::prelude::*;
use cornellink::process::gateway::choice::{subset, subset_ratio, Candidate};
use cornellink::process::gateway::cold_share::{ColdLimit, ColdShare, MAX_TOKEN_LIFETIME};
use cornellink::process::gateway::cold_targets::{ColdAccess, ColdPermit};
use cornellink::process::gateway::evacuation_record::EvacuationRecord;
use cornellink::process::gateway::registered_target::RegisteredTargetKey;
use cornellink::process::gateway::registry::TargetRegistry;
use cornellink::process::gateway::sharing::freshness::CopyState;
use cornellink::process::gateway::warmup::{parse_warmup, Warmup};
use cornellink::process::gateway::Gateway;
use cornellink::process::runtime::block_on;
use cornellink::version::route_table::{RouteTable, ServicePlan};
use fixture::gateway::{idempotent_route, settings, until, TestGateway, HEADER_NAMES};
use fixture::registry::{any_target, apply_registration, bounds, key_of, target, PROBE_PATH};
use fixture::scripted::{Script, ScriptedTarget};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The rate and the bound of the page of workspaces: 6.1 calls per second, times 1.5, plus 8.
const RATE: f64 = 6.1;
const MAX_CALLS: f64 = 6.1 * 1.5 + 8.0;
/// Calls per second that a target must get if entries send whenever they may: half of its rate.
const MIN_RATE: f64 = RATE / 2.0;
/// Failure domains of the modelled deployments.
const DOMAINS: [&str; 4] = ["a", "b", "c", "d"];
/// Step of the model's time.
const STEP: Duration = Duration::from_millis(20);
/// Steps in one second.
const STEPS_PER_SECOND: usize = 50;
/// Length of a modelled warm-up in steps: 12 s.
const WARMUP_STEPS: usize = 12 * STEPS_PER_SECOND;
/// Warm-ups of each modelled deployment.
const WARMUPS: u64 = 1000;

/// Fleets of entries with other names, and so other subsets, in each modelled deployment.
const FLEETS: u64 = 8;

/// What happens during a modelled warm-up.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    /// All entries send whenever they may.
    Steady,
    /// No calls arrive until the middle of the warm-up.
    Silence,
    /// The target is warm for a moment in the middle and then cold again.
    ColdAgain,
    /// All entries restart within half a second.
    Restart,
}

const EVENTS: [Event; 4] = [Event::Steady, Event::Silence, Event::ColdAgain, Event::Restart];

/// For each target, the number of entries that have it in their subset.
fn users(entries: usize, targets: usize, fleet: u64) -> Vec<u32> {
    let mut registry = TargetRegistry::new(4, Rc::default());
    for number in 0..targets {
        let mut target = any_target(&format!("t{number}"));
        target.domain = DOMAINS[number % DOMAINS.len()].into();
        apply_registration(&mut registry, number as u64, &target);
    }
    let now = Instant::now();
    let mut users: BTreeMap<RegisteredTargetKey, u32> =
        registry.service("s").map(|(key, _)| (key, 0)).collect();
    for entry in 0..entries {
        let (name, domain) = (format!("entry-{fleet}-{entry}"), DOMAINS[entry % DOMAINS.len()]);
        let all = registry.service("s");
        let all = all.map(|(key, target)| Candidate::new(key, target, &name, domain, now));
        for candidate in subset(all.collect()) {
            *users.entry(candidate.key).or_default() += 1;
        }
    }
    users.into_values().collect()
}

fn limit(entries: usize, targets: usize) -> ColdLimit {
    let domains = (0..targets).map(|number| DOMAINS[number % DOMAINS.len()]);
    let subset_ratio = subset_ratio(domains, DOMAINS[0]);
    ColdLimit { rate: RATE, max_calls: MAX_CALLS, entries: entries as u32, subset_ratio }
}

/// Calls to the target in each step of one warm-up.
fn warm_up(limit: ColdLimit, users: u32, event: Event, seed: u64) -> Vec<u32> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let start = Instant::now();
    let middle = WARMUP_STEPS / 2;
    let mut counts = vec![0; WARMUP_STEPS];
    for _ in 0..users {
        let mut share = ColdShare::new(limit, rng.random(), start);
        let restart = middle + rng.random_range(0..STEPS_PER_SECOND / 2);
        for (step, count) in counts.iter_mut().enumerate() {
            let now = start + STEP * step as u32;
            let is_reset = match event {
                Event::Steady | Event::Silence => false,
                Event::ColdAgain => step == middle,
                Event::Restart => step == restart,
            };
            if is_reset {
                share = ColdShare::new(limit, rng.random(), now);
            }
            if event == Event::Silence && step < middle {
                continue;
            }
            while share.has_token(now) {
                *count += u32::from(share.take(now).is_some());
            }
        }
    }
    counts
}

/// Most calls in any second.
fn peak(counts: &[u32]) -> u32 {
    counts.windows(STEPS_PER_SECOND).map(|second| second.iter().sum()).max().unwrap_or_default()
}

/// Guards against a newcomer that crashes because all entries send to it at once, and against one
/// that gets so few calls that it never warms up.
#[test]
fn calls_of_all_entries_stay_below_the_bound() {
    let mut failures = Vec::new();
    for (entries, targets) in
        [1, 2, 3, 16, 125, 300].iter().flat_map(|entries| [16, 69, 140].map(|n| (*entries, n)))
    {
        let limit = limit(entries, targets);
        let users: Vec<u32> =
            (0..FLEETS).flat_map(|fleet| users(entries, targets, fleet)).collect();
        for event in EVENTS {
            let mut peaks: BTreeMap<u32, u32> = BTreeMap::new();
            let (mut calls, mut used) = (0, 0);
            for seed in 0..WARMUPS {
                let users = users[SmallRng::seed_from_u64(seed).random_range(0..users.len())];

                let counts = warm_up(limit, users, event, seed);

                *peaks.entry(peak(&counts)).or_default() += 1;
                calls += counts.iter().sum::<u32>();
                used += u32::from(users > 0);
            }
            let seconds = f64::from(used) * WARMUP_STEPS as f64 / STEPS_PER_SECOND as f64;
            let mean = f64::from(calls) / seconds;
            let highest = peaks.last_key_value().map_or(0, |(peak, _)| *peak);
            println!("{entries} entries, {targets} targets, {event:?}: highest {highest}, mean {mean:.2}/s of {RATE}");
            let context = format!("{entries} entries, {targets} targets, {event:?}: {peaks:?}");
            let is_whole = event != Event::Silence;
            if f64::from(highest) > MAX_CALLS || (is_whole && mean < MIN_RATE) {
                failures.push(format!("{mean:.2}/s; {context}"));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against a newcomer that gets no call for 4 s, although entries have only a few calls per
/// second each and tokens expire between them.
#[test]
fn newcomer_gets_a_call_within_four_seconds_at_usual_load() {
    let (limit, users) = (limit(125, 69), users(125, 69, 0));
    // A third of 924 calls per second, from 125 entries.
    let calls_per_step = 924.0 / 3.0 / 125.0 / STEPS_PER_SECOND as f64;
    let mut calls = Vec::new();
    for seed in 0..WARMUPS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let start = Instant::now();
        let mut count = 0;

        for _ in 0..users[seed as usize % users.len()] {
            let mut share = ColdShare::new(limit, rng.random(), start);
            for step in 0..4 * STEPS_PER_SECOND {
                let has_call = rng.random_bool(calls_per_step);
                let now = start + STEP * step as u32;
                count += u32::from(has_call && share.take(now).is_some());
            }
        }

        calls.push(count);
    }

    let mean = f64::from(calls.iter().sum::<u32>()) / calls.len() as f64;
    println!("lowest {:?}, mean {mean:.1} calls in 4 s", calls.iter().min());
    assert!(calls.iter().all(|count| *count > 0));
}

/// Guards against a stock of tokens that builds up while no calls arrive.
#[test]
fn tokens_expire() {
    let start = Instant::now();
    let mut share = ColdShare::new(limit(1, 16), 0.5, start);
    let now = start + Duration::from_secs(3600);

    let taken = std::iter::from_fn(|| share.take(now)).count();

    assert!(taken <= 1, "{taken}");
}

/// Guards against a very high warm-up rate in a configuration, with which the tokens of one target
/// would occupy the memory and the thread of the entry.
#[test]
fn number_of_tokens_is_bounded_at_a_very_high_rate() {
    let start = Instant::now();
    let limit = ColdLimit { rate: 1e6, max_calls: 1e9, entries: 1, subset_ratio: 1.0 };
    let mut share = ColdShare::new(limit, 0.5, start);
    let now = start + Duration::from_secs(3600);

    let taken = std::iter::from_fn(|| share.take(now)).count();

    assert!((1..=2000).contains(&taken), "{taken}");
}

/// Guards against a call that was not sent and yet uses up the share, and against a token that
/// outlives its expiry because it was given back.
#[test]
fn returned_token_can_be_taken_until_it_expires() {
    let start = Instant::now();
    let mut share = ColdShare::new(limit(125, 16), 0.0, start);
    let token = share.take(start).expect("the first token accrues at once");
    let was_empty = !share.has_token(start);

    share.give_back(token);

    assert!(was_empty && share.has_token(start));
    assert!(!share.has_token(start + MAX_TOKEN_LIFETIME));
}

/// Guards against a larger fleet whose entries keep the shares of a smaller one.
#[test]
fn share_shrinks_when_the_fleet_grows() {
    let start = Instant::now();
    let mut share = ColdShare::new(limit(1, 16), 0.5, start);
    share.set_limit(limit(300, 16), start);

    let taken =
        (0..WARMUP_STEPS).filter(|step| share.take(start + STEP * *step as u32).is_some()).count();

    assert!(taken <= 1, "{taken}");
}

/// Guards against a bound that is exceeded because a deployment allows no excess, and against
/// settings that allow no call.
#[test]
fn rate_follows_from_the_bound() {
    let tight = ColdLimit { max_calls: RATE, ..limit(125, 16) };
    let none = ColdLimit { max_calls: 0.0, ..limit(125, 16) };

    assert!(tight.entry_rate() > 0.0 && tight.entry_rate() < limit(125, 16).entry_rate());
    assert_eq!(none.entry_rate(), 0.0);
    assert!(!ColdShare::new(none, 0.0, Instant::now()).has_token(Instant::now()));
}

fn response(values: &[&'static str]) -> Answer {
    let mut response = Answer::own(Code::Answered);
    for value in values {
        response
            .headers
            .append(HeaderName::from_static(HEADER_NAMES.warmup), HeaderValue::from_static(value));
    }
    response
}

/// Guards against a garbled value that ends a warm-up or excludes a target for days.
#[test]
fn unusable_warmup_values_are_ignored() {
    let parse = |values: &[&'static str]| {
        let (remaining, errors) = parse_warmup(&HEADER_NAMES, &response(values));
        (remaining.map(|remaining| remaining.as_millis()), errors.len())
    };

    assert_eq!(parse(&["2500"]), (Some(2500), 0));
    assert_eq!(parse(&["0"]), (Some(0), 0));
    assert_eq!(parse(&["86400000"]), (Some(86_400_000), 0));
    assert_eq!(parse(&["86400001"]), (None, 1));
    for value in ["", "x", "-1", "+1", "1.5", "1 ", "99999999999999999999999"] {
        assert_eq!(parse(&[value]), (None, 1), "{value}");
    }
    assert_eq!(parse(&["x", "300", "100"]), (Some(300), 1));
    assert_eq!(parse(&[]), (None, 0));
}

/// Guards against a warm-up that is ended by a response or registration older than the report that
/// stated it.
#[test]
fn older_reports_do_not_end_a_warmup() {
    let ms = Duration::from_millis;
    let start = Instant::now();
    let mut warmup = Warmup::new(ms(8000), start + ms(100));

    warmup.report(ms(0), start, start + ms(150));
    let after_older_response = warmup.is_cold(start + ms(150));
    warmup.report(ms(0), start + ms(200), start + ms(210));
    let after_newer_response = warmup.is_cold(start + ms(210));
    warmup.report(ms(3000), start + ms(300), start + ms(310));
    warmup.register(ms(0), start + ms(400));
    warmup.report(ms(0), start + ms(250), start + ms(420));
    let after_late_reports = warmup.is_cold(start + ms(420));

    assert!(after_older_response && !after_newer_response && after_late_reports);
    assert!(!warmup.is_cold(start + ms(3310)));
}

/// A table with one route, whose service has the given warm-up rate.
fn table_with_rate(warmup_rate: Option<f64>) -> RouteTable {
    let plan = ServicePlan { probe_path: PROBE_PATH.into(), connections: 200, warmup_rate };
    let services: HashMap<Rc<str>, ServicePlan> = [("s".into(), plan)].into();
    RouteTable::new(1, bounds(), services, vec![idempotent_route()]).expect("the route is valid")
}

/// Starts a gateway whose service `s` has a warm-up rate, with targets and their remaining warm-up.
async fn start(rate: Option<f64>, targets: &[(&str, &ScriptedTarget, Duration)]) -> TestGateway {
    let this = TestGateway::empty();
    for (id, scripted, warmup) in targets {
        let mut registration = target(id, "s", scripted.address);
        registration.warmup = *warmup;
        this.directory.append(Feed::Targets, id, DecodedChange::Target(registration));
    }
    let table = DecodedChange::Routes(Rc::new(table_with_rate(rate)));
    this.directory.append(Feed::Routes, "config", table);
    until("the gateway is ready", || this.gateway.is_ready()).await;
    this
}

/// A gateway of a fleet of 125 entries with 20 targets of the service `s` in each of the domains; the
/// first target is cold.
fn gateway_with_domains(domains: &[&str]) -> Gateway {
    let gateway = Gateway::new(settings("entry-1", None), HEADER_NAMES);
    gateway.set_table(Rc::new(table_with_rate(Some(RATE))));
    gateway.sharing.fleet.record_list(124, true, Instant::now());
    for number in 0..20 * domains.len() {
        let mut registration = any_target(&format!("t-{number}"));
        registration.domain = domains[number / 20].into();
        if number == 0 {
            registration.warmup = Duration::from_secs(3600);
        }
        apply_registration(&mut gateway.registry.borrow_mut(), number as u64, &registration);
    }
    gateway
}

/// Number of calls that a gateway may send to its first target within 600 s.
fn permitted_calls(gateway: &Gateway, start: Instant) -> usize {
    let key = key_of(&gateway.registry.borrow(), "s", "t-0");
    let times = (0..600 * STEPS_PER_SECOND as u32).map(|step| start + STEP * step);
    times.filter(|now| gateway.take_cold_permit(key, *now).is_some()).count()
}

/// Guards against a cold target that gets too many calls while other domains are evacuated: the
/// subsets of all entries then consist of fewer targets, so that more entries use it.
#[test]
fn share_shrinks_when_other_domains_are_evacuated() {
    let start = Instant::now();
    let evacuated = gateway_with_domains(&["a", "b", "c", "d"]);
    for (offset, domain) in [(1, "c"), (2, "d")] {
        let state = EvacuationState::Active;
        let record = EvacuationRecord { domain: domain.into(), position: offset.into(), state };
        evacuated.evacuations.borrow_mut().apply(&record, CopyState::Stale, start);
    }
    let smaller = gateway_with_domains(&["a", "b"]);
    let whole = gateway_with_domains(&["a", "b", "c", "d"]);

    let calls = [&evacuated, &smaller, &whole].map(|gateway| permitted_calls(gateway, start));

    let [evacuated, smaller, whole] = calls;
    assert!(evacuated.abs_diff(smaller) <= 1 && smaller < whole, "{calls:?}");
}

/// Sends calls at intervals of 20 ms for a time; returns the number that was answered with 200.
async fn call_for(gateway: &TestGateway, time: Duration) -> usize {
    let (end, mut answered) = (Instant::now() + time, 0);
    for number in 0.. {
        if Instant::now() >= end {
            break;
        }
        let response = gateway.call(&format!("c-{number}")).await;
        answered += usize::from(response.status == StatusCode::OK);
        monoio::time::sleep(STEP).await;
    }
    answered
}

fn access(gateway: &TestGateway, id: &str) -> ColdAccess {
    let key = key_of(&gateway.gateway.registry.borrow(), "s", id);
    gateway.gateway.cold_access(key, Instant::now())
}

/// Load of an idle target.
const IDLE_LOAD: &str = "0,0,4,100";
/// Warm-up that outlasts the tests.
const LONG_WARMUP: Duration = Duration::from_secs(60);

/// Guards against an idle newcomer that gets no call because warm targets cost less, and against one
/// that gets as many calls as a warm target.
#[test]
fn cold_idle_target_gets_some_calls() {
    let (cold, warm) = (
        ScriptedTarget::start("cold", Script::Respond, IDLE_LOAD),
        ScriptedTarget::start("warm", Script::Respond, IDLE_LOAD),
    );
    let targets = [("cold", &cold, LONG_WARMUP), ("warm", &warm, Duration::ZERO)];

    let answered = block_on(async {
        // The gateway counts 16 entries, so that its share is a sixteenth.
        let gateway = start(Some(40.0), &targets).await;
        call_for(&gateway, Duration::from_secs(3)).await
    })
    .unwrap();

    let (cold, warm) = (cold.received_calls().len(), warm.received_calls().len());
    assert_eq!(cold + warm, answered);
    assert!((2..=8).contains(&cold) && warm > 20, "{cold} cold, {warm} warm");
}

/// Guards against calls that are sent without a token when only cold targets are left, and against
/// calls that are refused although a token accrues in time.
#[test]
fn calls_wait_for_tokens_if_all_targets_are_cold() {
    let cold = ScriptedTarget::start("cold", Script::Respond, IDLE_LOAD);

    let answered = block_on(async {
        let gateway = start(Some(40.0), &[("cold", &cold, LONG_WARMUP)]).await;
        call_for(&gateway, Duration::from_secs(3)).await
    })
    .unwrap();

    let received = cold.received_calls().len();
    assert_eq!(received, answered);
    assert!((2..=8).contains(&received), "{received}");
}

/// Guards against a limit on targets of services that state no warm-up rate.
#[test]
fn services_without_a_warmup_rate_are_not_limited() {
    let cold = ScriptedTarget::start("cold", Script::Respond, IDLE_LOAD);
    cold.set_probe_fields("warmup-ms: 60000\r\n");
    cold.set_call_fields("warmup-ms: 60000\r\n");

    let access = block_on(async {
        let gateway = start(None, &[("cold", &cold, LONG_WARMUP)]).await;
        for number in 0..20 {
            assert_eq!(gateway.call(&format!("c-{number}")).await.status, StatusCode::OK);
        }
        access(&gateway, "cold")
    })
    .unwrap();

    assert_eq!((cold.received_calls().len(), access), (20, ColdAccess::Unlimited));
}

/// Guards against coldness that only responses tell of, and against a target that stays limited
/// after it has said that it is warm.
#[test]
fn responses_begin_and_end_a_warmup() {
    let scripted = ScriptedTarget::start("one", Script::Respond, IDLE_LOAD);

    let states = block_on(async {
        let gateway = start(Some(0.001), &[("one", &scripted, Duration::ZERO)]).await;
        let mut states = vec![access(&gateway, "one")];
        gateway.call("c-1").await;
        states.push(access(&gateway, "one"));
        scripted.set_call_fields("warmup-ms: 700\r\n");
        gateway.call("c-2").await;
        states.push(access(&gateway, "one"));
        // The time has passed; the next probe says that the target is cold again.
        monoio::time::sleep(Duration::from_millis(750)).await;
        states.push(access(&gateway, "one"));
        scripted.set_probe_fields("warmup-ms: 60000\r\n");
        let refused = gateway.call("c-3").await;
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        states.push(access(&gateway, "one"));
        states
    })
    .unwrap();

    use ColdAccess::{Deferred, Unlimited};
    assert_eq!(states, [Unlimited, Unlimited, Deferred, Unlimited, Deferred]);
    assert_eq!(scripted.received_calls().len(), 2);
}

/// Guards against a token that is lost although no byte of its call was sent, and against one that
/// is given back although the call was sent.
#[test]
fn permit_is_given_back_only_if_nothing_was_sent() {
    let scripted = ScriptedTarget::start("one", Script::Respond, IDLE_LOAD);

    let (after_unsent, after_sent) = block_on(async {
        // A token accrues every 0.6 s, and expires after 0.5 s.
        let gateway = start(Some(30.0), &[("one", &scripted, LONG_WARMUP)]).await;
        until("there is a token", || access(&gateway, "one") == ColdAccess::Granted).await;
        let key = key_of(&gateway.gateway.registry.borrow(), "s", "one");
        let settle = |is_sent| {
            let now = Instant::now();
            let permit = gateway.gateway.take_cold_permit(key, now).expect("there is a token");
            assert!(matches!(permit, ColdPermit::Token(_)));
            gateway.gateway.settle_cold_permit(key, permit, is_sent);
            access(&gateway, "one")
        };
        (settle(false), settle(true))
    })
    .unwrap();

    assert_eq!((after_unsent, after_sent), (ColdAccess::Granted, ColdAccess::Deferred));
}
