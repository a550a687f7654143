//! Fairness between workspaces: queueing by weight, eviction and caps.

mod fixture;

use std::time::Instant;

use cornellink::prelude::Code;
use cornellink::process::admission::Decision;
use cornellink::process::demand::Demand;
use cornellink::process::queue::{FlowKey, Queue};
use cornellink::version::class::Length;
use fixture::schedulers::{admit_until_full, document, request, scheduler};
use quickcheck::{Gen, QuickCheck};

/// Checks a property with a fixed seed, so that each run has the same inputs.
fn check_property<P: quickcheck::Testable>(property: P) {
    QuickCheck::new().rng(Gen::from_size_and_seed(60, 5)).tests(200).quickcheck(property);
}

fn pop_next(queue: &mut Queue<f64>) -> Option<(FlowKey, f64)> {
    let flow = queue.next_flow(|_| true)?;
    Some((flow, queue.pop(flow)?))
}

/// Guards against a workspace that gets more than its share by weight while others wait: the
/// service per weight of two waiting flows differs by at most one call of each.
#[test]
fn waiting_flows_are_served_by_weight() {
    fn property(costs: Vec<(u8, u8)>, weights: (u8, u8)) -> bool {
        let weights = [weights.0, weights.1].map(|weight| f64::from(weight % 7 + 1));
        let mut queue = Queue::default();
        for (one, two) in &costs {
            for (flow, cost) in [(0, *one), (1, *two)] {
                let cost = f64::from(cost) + 1.0;
                queue.push(FlowKey(flow), weights[flow as usize], cost, cost);
            }
        }
        let mut served = [0.0, 0.0];
        while (0..2).all(|flow| queue.flow_len(FlowKey(flow)) > 0) {
            let (flow, cost) = pop_next(&mut queue).unwrap();
            served[flow.0 as usize] += cost / weights[flow.0 as usize];
        }
        (served[0] - served[1]).abs() <= 256.0 / weights[0] + 256.0 / weights[1]
    }
    check_property(property as fn(Vec<(u8, u8)>, (u8, u8)) -> bool);
}

/// Guards against a call of an idle workspace that waits behind the whole queue of a busy one.
#[test]
fn new_flow_is_served_within_two_calls() {
    let mut queue = Queue::default();
    for _ in 0..100 {
        queue.push(FlowKey(1), 1.0, 1.0, 1.0);
    }
    for _ in 0..10 {
        pop_next(&mut queue);
    }

    queue.push(FlowKey(2), 1.0, 1.0, 2.0);

    let early = [pop_next(&mut queue), pop_next(&mut queue)];
    assert!(early.contains(&Some((FlowKey(2), 2.0))), "{early:?}");
}

/// Guards against a workspace that floods the queue so that calls of other workspaces are refused.
#[test]
fn full_queue_evicts_one_call_of_the_flooding_workspace() {
    let document = document(2, 3, 8, 1);
    let mut scheduler = scheduler(0, &document);
    admit_until_full(&mut scheduler, Length::Short);
    let now = Instant::now();
    let mut flood = Vec::new();
    for _ in 0..20 {
        let decision = scheduler.admit(request(&scheduler, 1, Length::Short, now), now);
        if let Decision::Wait(receiver) = decision {
            flood.push(receiver);
        }
    }

    let quiet = scheduler.admit(request(&scheduler, 2, Length::Short, now), now);
    let again = scheduler.admit(request(&scheduler, 1, Length::Short, now), now);

    assert!(matches!(quiet, Decision::Wait(_)));
    assert!(matches!(again, Decision::Refuse(Code::NotRunQueueFull)));
    let evicted = flood.iter_mut().filter_map(|receiver| receiver.try_recv().ok());
    assert_eq!(evicted.filter(|result| result.is_err()).count(), 1);
}

/// Guards against a cap on a workspace that needs less than its share, or that is the only one.
#[test]
fn only_a_flow_above_its_share_is_capped() {
    let now = Instant::now();
    let mut demand = Demand::default();
    for _ in 0..100 {
        demand.record_call(FlowKey(1), 1.0, 0.1, now);
    }
    assert_eq!(demand.slot_cap(FlowKey(1), 6.0, now), 6.0);

    for _ in 0..10 {
        demand.record_call(FlowKey(2), 1.0, 0.1, now);
    }

    assert_eq!(demand.slot_cap(FlowKey(2), 6.0, now), 6.0);
    let flooding = demand.slot_cap(FlowKey(1), 6.0, now);
    assert!((3.0..5.0).contains(&flooding), "{flooding}");
}
