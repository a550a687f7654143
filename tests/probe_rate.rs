//! The rate limit on the probes of all entries together, which holds over any `WINDOW`.

mod fixture;

use cornellink::prelude::*;
use cornellink::process::gateway::probe_budget::{ProbeBudget, RateLimit};
use cornellink::process::runtime::block_on;
use cornellink::request::relay::relay;
use fixture::gateway::{get, idempotent_route, non_idempotent_route, TestGateway};
use fixture::scripted::{Script, ScriptedTarget};
use quickcheck::quickcheck;

const WINDOW: Duration = Duration::from_secs(30);
const RATE: f64 = 60.0;
const TARGETS: usize = 28;
const ENTRIES: usize = 15;
const RATE_LIMIT: RateLimit = RateLimit { rate: RATE, targets: TARGETS, entries: ENTRIES as u32 };

/// Most probes in any window; `times` holds the times of probes in order, with their number.
fn max_in_a_window(times: &[(Instant, usize)]) -> usize {
    let (mut first, mut in_window, mut max) = (0, 0, 0);
    for (now, count) in times {
        in_window += count;
        while times[first].0 + WINDOW <= *now {
            in_window -= times[first].1;
            first += 1;
        }
        max = max.max(in_window);
    }
    max
}

/// Probes that the entries may send in a window.
fn limit(entries: usize) -> f64 {
    RATE * TARGETS as f64 * WINDOW.as_secs_f64() * entries as f64 / ENTRIES as f64
}

quickcheck! {
    /// Guards against probes beyond the rate, whatever number the calls of an entry request.
    fn probes_in_any_window_stay_within_the_rate(requests: Vec<(u8, u8)>) -> bool {
        let mut now = Instant::now();
        let mut budget = ProbeBudget::new(now);
        let mut times = Vec::new();
        for _ in 0..200 {
            for (wanted, gap) in &requests {
                now += Duration::from_millis(u64::from(gap % 16));
                let wanted = usize::from(wanted % 6);
                times.push((now, budget.take(wanted, RATE_LIMIT, now)));
            }
        }
        max_in_a_window(&times) as f64 <= limit(1)
    }
}

/// Guards against a budget that grants all probes at once and then none.
#[test]
fn grants_shrink_before_the_budget_is_empty() {
    let start = Instant::now();
    let mut budget = ProbeBudget::new(start);
    let now = start + Duration::from_secs(10);

    let granted: Vec<usize> = (0..400).map(|_| budget.take(5, RATE_LIMIT, now)).collect();

    assert_eq!((granted[0], granted[399]), (5, 0));
    assert!(granted.windows(2).all(|pair| pair[1] <= pair[0]), "{granted:?}");
    assert!(granted.contains(&3) && granted.iter().filter(|granted| **granted > 0).count() > 80);
}

/// Guards against calls that arrive at a load peak and get no probe because waiting calls took all.
#[test]
fn further_rounds_leave_probes_for_new_calls() {
    let start = Instant::now();
    let mut budget = ProbeBudget::new(start);

    for millis in 5000..15_000 {
        let now = start + Duration::from_millis(millis);
        budget.take_spare(5, RATE_LIMIT, now);
        if millis % 20 == 0 {
            assert!(budget.take(5, RATE_LIMIT, now) > 0, "after {millis} ms");
        }
    }
}

/// Guards against a call that is refused only because no probe may be sent.
#[test]
fn call_without_a_probe_is_routed_by_cached_samples() {
    let target = ScriptedTarget::start("one", Script::Respond, "0,0,4,100");
    block_on(async move {
        let gateway = TestGateway::start(idempotent_route(), &[("one", &target)]).await;
        gateway.gateway.settings.borrow_mut().probes = 0.0;

        let response = gateway.call("c-1").await;

        assert_eq!((response.status, target.probes()), (StatusCode::OK, 0));
        let metrics = gateway.gateway.metrics.render();
        assert!(metrics.contains("cornellink_calls_unprobed_total 1"), "{metrics}");
        assert!(metrics.contains("cornellink_probe_rounds_refused_total"), "{metrics}");
    })
    .unwrap();
}

/// Guards against calls without a probe that all go to the same target when no target reports its
/// load.
#[test]
fn calls_without_a_probe_are_spread_over_targets_without_load() {
    let names = ["one", "two", "three"];
    let found = names.map(|name| ScriptedTarget::start(name, Script::Hang, ""));
    let targets: Vec<_> = names.into_iter().zip(&found).collect();
    block_on(async move {
        let gateway = TestGateway::start(non_idempotent_route(), &targets).await;
        let state = gateway.gateway.clone();
        state.settings.borrow_mut().probes = 0.0;

        let mut calls = Vec::new();
        for number in 0..6 {
            let call = get("/a/x", &format!("c-{number}"), 1000);
            calls.push(monoio::spawn(relay(state.clone(), call)));
            monoio::time::sleep(Duration::from_millis(30)).await;
        }
        for call in calls {
            call.await;
        }

        let sends: Vec<usize> =
            targets.iter().map(|(_, target)| target.received_calls().len()).collect();
        assert_eq!(sends, [2, 2, 2]);
    })
    .unwrap();
}

/// Guards against probes beyond the rate because each start of an entry brings a full budget.
#[test]
fn rolling_restarts_stay_within_the_rate() {
    let start = Instant::now();
    let mut budgets: Vec<ProbeBudget> = (0..ENTRIES).map(|_| ProbeBudget::new(start)).collect();
    let mut times = Vec::new();

    for millis in (0..60_000).step_by(5) {
        let now = start + Duration::from_millis(millis);
        let entry = (millis / 5) as usize % ENTRIES;
        if millis % 1300 == 0 {
            budgets[(millis / 1300) as usize % ENTRIES] = ProbeBudget::new(now);
        }
        times.push((now, budgets[entry].take(30, RATE_LIMIT, now)));
    }

    let max = max_in_a_window(&times);
    assert!(max as f64 <= limit(ENTRIES), "{max} of {}", limit(ENTRIES));
}

/// Guards against a load peak at which every waiting call keeps probing, so that probes take the
/// slots for which the calls wait (incident SHORT).
#[test]
fn waiting_calls_stay_within_the_probe_rate() {
    let names = ["one", "two", "three"];
    let found = names.map(|name| ScriptedTarget::start(name, Script::Respond, "3,6,3,500"));
    let targets: Vec<_> = names.into_iter().zip(&found).collect();
    block_on(async move {
        let gateway = TestGateway::start(idempotent_route(), &targets).await;
        let state = gateway.gateway.clone();
        let limit = {
            let settings = state.settings.borrow();
            let rate = settings.probes * targets.len() as f64 / f64::from(settings.max_entries);
            rate * WINDOW.as_secs_f64()
        };

        let mut calls = Vec::new();
        for number in 0..400 {
            let call = get("/a/x", &format!("c-{number}"), 1000);
            calls.push(monoio::spawn(relay(state.clone(), call)));
            monoio::time::sleep(Duration::from_millis(3)).await;
        }
        for call in calls {
            call.await;
        }

        let probes: u32 = targets.iter().map(|(_, target)| target.probes()).sum();
        assert!(f64::from(probes) <= limit, "{probes} of {limit}");
    })
    .unwrap();
}
