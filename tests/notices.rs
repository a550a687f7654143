//! Targets that leave, or that turn calls away for a time, and say so in their responses.

mod fixture;

use cornellink::edge::directory::{DecodedChange, Feed};
use cornellink::prelude::*;
use cornellink::process::gateway::availability::Availability;
use cornellink::process::gateway::evacuations::Evacuations;
use cornellink::process::gateway::load_sample::LoadSample;
use cornellink::process::gateway::probing::record_peer_sample;
use cornellink::process::gateway::registry::{AbsencePolicy, TargetRegistry};
use cornellink::process::gateway::response_notice::ResponseNotice;
use cornellink::process::gateway::sharing::loads::{decode, encode, TargetSample};
use cornellink::process::runtime::block_on;
use cornellink::version::registration::Registration;
use fixture::gateway::{idempotent_route, non_idempotent_route, TestGateway, HEADER_NAMES};
use fixture::registry::{any_target, apply_registration, apply_removal, eligible, key_of, target};
use fixture::scripted::{Script, ScriptedTarget};

/// Load report of a target that is chosen before one that reports `BUSY_LOAD`.
const IDLE_LOAD: &str = "0,0,4,100";
const BUSY_LOAD: &str = "3,2,4,300";

const LEAVING: ResponseNotice = ResponseNotice { leaving: true, retry_delay: None };
const LEAVING_FIELD: &str = "leaving: 1\r\n";

fn away(delay: Duration) -> ResponseNotice {
    ResponseNotice { leaving: false, retry_delay: Some(delay) }
}

fn response(status: u16, fields: &[(&'static str, &str)]) -> Answer {
    let mut response = Answer::new(StatusCode::from_u16(status).unwrap(), "");
    for (name, value) in fields {
        response.headers.append(*name, HeaderValue::from_str(value).unwrap());
    }
    response
}

/// A registry with the target `one`, which has sent `notice`.
fn registry_after(notice: ResponseNotice) -> TargetRegistry {
    let mut registry = TargetRegistry::new(4, Rc::default());
    apply_registration(&mut registry, 0, &any_target("one"));
    let key = key_of(&registry, "s", "one");
    registry.record_notice(key, notice, Instant::now());
    registry
}

fn next_report(sequence: u64) -> Registration {
    Registration { sequence, ..any_target("one") }
}

fn next_incarnation() -> Registration {
    Registration { born: 2000, ..any_target("one") }
}

/// Guards against calls to a target that has said in any kind of response to a call that it leaves,
/// while the directory still lists it as ready.
#[test]
fn target_that_leaves_gets_no_further_call() {
    for script in [Script::Respond, Script::Refuse, Script::Fail, Script::Unavailable] {
        let leaving = ScriptedTarget::start_with("leaves", script, IDLE_LOAD, LEAVING_FIELD);
        let staying = ScriptedTarget::start("stays", Script::Respond, BUSY_LOAD);
        block_on(async move {
            let targets = [("leaves", &leaving), ("stays", &staying)];
            let gateway = TestGateway::start(idempotent_route(), &targets).await;
            gateway.call("c-0").await;
            assert_eq!(leaving.received_calls().len(), 1, "{script:?}");
            let probes = leaving.probes();

            for number in 1..6 {
                let response = gateway.call(&format!("c-{number}")).await;
                assert_eq!(response.status, StatusCode::OK, "{script:?}");
            }

            assert_eq!(leaving.received_calls().len(), 1, "{script:?}");
            assert_eq!(leaving.probes(), probes, "{script:?}");
        })
        .unwrap();
    }
}

/// Guards against a call to a target that says in its response to a probe that it leaves, such as
/// after a restart of the entry.
#[test]
fn target_that_leaves_by_its_probe_response_gets_no_call() {
    let leaving = ScriptedTarget::start("leaves", Script::Respond, IDLE_LOAD);
    leaving.set_probe_fields(LEAVING_FIELD);
    block_on(async move {
        let gateway = TestGateway::start(non_idempotent_route(), &[("leaves", &leaving)]).await;
        let start = Instant::now();

        let response = gateway.call("c-1").await;

        assert_eq!(response.code(), Some(Code::NotRunNoTarget));
        assert!(leaving.received_calls().is_empty());
        // Well below the deadline of 1 s: the call does not wait for a target that has left.
        assert!(start.elapsed() < Duration::from_millis(500), "{:?}", start.elapsed());
    })
    .unwrap();
}

/// Guards against a target that returns because the directory repeats, loses and finds again what it
/// said before the target left.
#[test]
fn only_a_new_incarnation_of_a_target_that_left_gets_calls() {
    let mut registry = registry_after(LEAVING);

    apply_registration(&mut registry, 1, &next_report(2));
    assert!(eligible(&registry, "s").is_empty());
    let keep = AbsencePolicy::KeepUntil(Instant::now() + Duration::from_secs(2));
    apply_removal(&mut registry, 2, "one", keep);
    apply_registration(&mut registry, 3, &next_report(3));
    assert!(eligible(&registry, "s").is_empty());
    apply_removal(&mut registry, 4, "one", AbsencePolicy::Remove);
    apply_registration(&mut registry, 5, &next_report(4));
    assert!(eligible(&registry, "s").is_empty());

    apply_registration(&mut registry, 6, &next_incarnation());
    assert_eq!(eligible(&registry, "s"), ["one"]);
}

/// Guards against a delay that the directory's reports end, and against one that outlasts the
/// incarnation which stated it.
#[test]
fn retry_delay_holds_until_it_ends_or_a_new_incarnation_starts() {
    let now = Instant::now();
    let delay = Duration::from_secs(5);
    let mut registry = registry_after(away(delay));

    apply_registration(&mut registry, 1, &next_report(2));
    apply_removal(&mut registry, 2, "one", AbsencePolicy::Remove);
    apply_registration(&mut registry, 3, &next_report(3));

    assert!(eligible(&registry, "s").is_empty());
    assert!(registry
        .retry_at("s", &Evacuations::new(Duration::from_secs(5)), now)
        .is_some_and(|at| at >= now + delay));
    assert!(registry.find("one").unwrap().is_eligible(now + delay + Duration::from_secs(1)));
    apply_registration(&mut registry, 4, &next_incarnation());
    assert_eq!(eligible(&registry, "s"), ["one"]);
}

/// Guards against a shorter delay that ends a longer one, and against a leaving target that returns
/// at the end of a delay.
#[test]
fn longest_delay_counts_and_leaving_has_no_end() {
    let now = Instant::now();
    let second = Duration::from_secs(1);
    let mut availability = Availability::default();
    availability.record(away(3 * second), now);
    availability.record(away(second), now);

    assert!(!availability.takes_calls(now + 2 * second));
    assert!(availability.takes_calls(now + 3 * second));

    availability.record(LEAVING, now);
    assert!(!availability.takes_calls(now + 9 * second));
    assert_eq!(availability.retry_at(now), None);
}

/// Guards against values that stop all calls to a target for longer than it asked for, or that hide
/// a usable value beside them.
#[test]
fn notices_are_parsed_strictly() {
    let digits = "9".repeat(400);
    let hour = Some(Duration::from_secs(3600));
    // The status, the values of `retry-after`, the delay and the number of errors.
    let cases: [(u16, &[&str], Option<Duration>, usize); 15] = [
        (503, &["2"], Some(Duration::from_secs(2)), 0),
        (503, &["0.25"], Some(Duration::from_millis(250)), 0),
        (503, &["0"], Some(Duration::ZERO), 0),
        (503, &["1", "3", "2"], Some(Duration::from_secs(3)), 0),
        (503, &["soon", "2"], Some(Duration::from_secs(2)), 1),
        (503, &[&digits], hour, 0),
        (503, &["Wed, 21 Oct 2026 07:28:00 GMT"], None, 1),
        (503, &["-1"], None, 1),
        (503, &["1e999"], None, 1),
        (503, &["inf"], None, 1),
        (503, &["1."], None, 1),
        (503, &[".5"], None, 1),
        (503, &["1,5"], None, 1),
        (429, &["2"], None, 0),
        (200, &["2"], None, 0),
    ];
    for (status, values, delay, errors) in cases {
        let fields: Vec<_> = values.iter().map(|value| ("retry-after", *value)).collect();

        let (notice, found) = ResponseNotice::parse(&HEADER_NAMES, &response(status, &fields));

        assert_eq!((notice.retry_delay, found.len()), (delay, errors), "{status} {values:?}");
        assert!(found.iter().all(|error| error.to_string().len() < 120), "{found:?}");
    }
    for (value, leaving, errors) in [("1", true, 0), ("0", false, 0), ("yes", false, 1)] {
        let (notice, found) =
            ResponseNotice::parse(&HEADER_NAMES, &response(500, &[("leaving", value)]));

        assert_eq!((notice.leaving, found.len()), (leaving, errors), "{value}");
    }
}

/// Load pattern: all targets of a service turn the entry away while many callers wait. Guards
/// against calls and probes that reach the target before the stated time, calls that are held until
/// then, and callers that all return at the same moment.
#[test]
fn target_that_turned_the_entry_away_is_left_alone_until_the_stated_time() {
    let fields = "retry-after: 1.2\r\n";
    let target = ScriptedTarget::start_with("one", Script::Refuse, IDLE_LOAD, fields);
    block_on(async move {
        let gateway = TestGateway::start(non_idempotent_route(), &[("one", &target)]).await;
        let first = gateway.call("c-0").await;
        let refused_at = Instant::now();
        let probes = target.probes();

        let mut delays = Vec::new();
        for number in 1..=40 {
            let start = Instant::now();
            let response = gateway.call(&format!("c-{number}")).await;
            assert_eq!(response.code(), Some(Code::NotRunTurnedAway));
            assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
            assert!(start.elapsed() < Duration::from_millis(100), "{:?}", start.elapsed());
            let return_at: f64 = response.header("retry-after").unwrap().parse().unwrap();
            delays.push(return_at + refused_at.elapsed().as_secs_f64());
        }

        assert_eq!(first.code(), Some(Code::NotRunRefused));
        assert_eq!((target.received_calls().len(), target.probes()), (1, probes));
        let (shortest, longest) =
            delays.iter().fold((f64::MAX, 0.0_f64), |(min, max), d| (min.min(*d), max.max(*d)));
        // The route's objective is 300 ms: callers return within a part of it after the 1.2 s.
        assert!(shortest >= 1.2 && longest < 1.6, "{shortest} {longest}");
        assert!(longest - shortest > 0.03, "{shortest} {longest}");

        target.set_script(Script::Respond);
        let wait = Duration::from_millis(1250).saturating_sub(refused_at.elapsed());
        monoio::time::sleep(wait).await;
        assert_eq!(gateway.call("c-41").await.status, StatusCode::OK);
    })
    .unwrap();
}

/// Load pattern: many calls are on their way when the target begins to turn them away. Guards
/// against more than two calls that reach it later than half a second after its first refusal.
#[test]
fn waiting_calls_do_not_reach_a_target_that_turned_the_entry_away() {
    let fields = "retry-after: 2\r\n";
    let target = ScriptedTarget::start_with("one", Script::Refuse, IDLE_LOAD, fields);
    block_on(async move {
        let gateway = Rc::new(TestGateway::start(idempotent_route(), &[("one", &target)]).await);
        let callers: Vec<_> = (0..60)
            .map(|number| {
                let gateway = gateway.clone();
                monoio::spawn(async move {
                    monoio::time::sleep(Duration::from_millis(25 * number)).await;
                    gateway.call(&format!("c-{number}")).await
                })
            })
            .collect();
        for caller in callers {
            assert_eq!(caller.await.status, StatusCode::SERVICE_UNAVAILABLE);
        }

        let received = target.received_calls();
        let late_from = received[0].at + Duration::from_millis(500);
        let late = received.iter().filter(|call| call.at > late_from).count();
        assert!(late <= 2, "{late} of {}", received.len());
    })
    .unwrap();
}

/// Guards against calls that are turned away although another target takes them.
#[test]
fn calls_go_to_targets_that_did_not_turn_them_away() {
    let fields = "retry-after: 5\r\n";
    let away = ScriptedTarget::start_with("away", Script::Refuse, IDLE_LOAD, fields);
    let open = ScriptedTarget::start("open", Script::Respond, BUSY_LOAD);
    block_on(async move {
        let targets = [("away", &away), ("open", &open)];
        let gateway = TestGateway::start(non_idempotent_route(), &targets).await;

        for number in 0..5 {
            let response = gateway.call(&format!("c-{number}")).await;
            assert_eq!(response.status, StatusCode::OK);
        }

        assert_eq!((away.received_calls().len(), open.received_calls().len()), (1, 5));
    })
    .unwrap();
}

/// Guards against a probe response with 503 that does not count as turning the entry away.
#[test]
fn refused_probe_with_a_delay_keeps_calls_away() {
    let target = ScriptedTarget::start("one", Script::Respond, IDLE_LOAD);
    target.set_probe_status("503 Service Unavailable");
    target.set_probe_fields("not-run: 1\r\nretry-after: 3\r\n");
    block_on(async move {
        let gateway = TestGateway::start(idempotent_route(), &[("one", &target)]).await;

        let response = gateway.call("c-1").await;

        assert_eq!(response.code(), Some(Code::NotRunTurnedAway));
        assert!(target.received_calls().is_empty());
        assert_eq!(target.probes(), 1);
    })
    .unwrap();
}

/// Guards against a neighbor's notice that is lost on the way, that concerns an earlier incarnation,
/// or that excludes a target forever although datagrams can be forged.
#[test]
fn neighbors_learn_for_a_bounded_time_that_a_target_leaves() {
    let now = Instant::now();
    let notice = |born| TargetSample {
        id: "one".into(),
        born,
        sample: LoadSample { taken: now, load: None, healthy: false },
        leaving: true,
    };
    let mut received = decode(&encode(&[notice(1000)], now), now).unwrap();
    assert_eq!(received, [notice(1000)]);
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    block_on(async move {
        let gateway = TestGateway::empty();
        let registration = DecodedChange::Target(target("one", "s", address));
        gateway.directory.append(Feed::Targets, "one", registration);
        let state = gateway.gateway.clone();
        fixture::gateway::until("the target is known", || state.registry.borrow().len() == 1).await;
        let eligible_at = |time| state.registry.borrow().find("one").unwrap().is_eligible(time);

        record_peer_sample(&state, &notice(999));
        assert!(eligible_at(Instant::now()));
        record_peer_sample(&state, &received.remove(0));

        assert!(!eligible_at(Instant::now() + Duration::from_secs(9)));
        assert!(eligible_at(Instant::now() + Duration::from_secs(11)));
    })
    .unwrap();
}
