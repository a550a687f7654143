//! Whether a call is sent, keeps searching or is refused, for several load patterns.

use cornellink::prelude::*;
use cornellink::process::gateway::overload::{Decision, DecisionInput, TargetScore};
use cornellink::process::gateway::typical_durations::TypicalDurations;
use quickcheck::quickcheck;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A call that has just arrived, with an objective of 300 ms and a deadline of 1 s.
fn new_call(score: Option<TargetScore>) -> DecisionInput {
    DecisionInput {
        score,
        waited: ms(0),
        objective: ms(300),
        left: ms(1000),
        typical: Some(ms(60)),
        rank: 0,
    }
}

fn score(cost: f64, queue_ratio: f64) -> Option<TargetScore> {
    Some(TargetScore { cost, queue_ratio })
}

/// Steady load: guards against a delay while a target is free.
#[test]
fn call_is_sent_to_a_free_target_at_once() {
    assert_eq!(new_call(score(1.0, 0.0)).decide(), Decision::Send);
    assert_eq!(new_call(score(1.95, 0.0)).decide(), Decision::Send);
}

/// Targets that become slow: guards against a call that is sent to a slow target while another one
/// may become free soon.
#[test]
fn call_keeps_searching_if_the_free_target_is_slow() {
    assert_eq!(new_call(score(5.0, 0.0)).decide(), Decision::Continue);
}

/// A load peak: guards against calls that join the queue of one target at once, and against calls
/// that search without end.
#[test]
fn queue_is_joined_only_at_the_end_of_the_search() {
    let queued = new_call(score(1.8, 0.3));
    let later = DecisionInput { waited: ms(90), left: ms(910), ..queued };

    assert_eq!((queued.decide(), later.decide()), (Decision::Continue, Decision::Send));
}

/// A service without capacity: guards against calls that are held until their deadline.
#[test]
fn call_is_refused_after_the_search_if_all_targets_are_full() {
    let full = new_call(score(4.0, 1.5));
    let later = DecisionInput { waited: ms(90), left: ms(910), ..full };

    assert_eq!((full.decide(), later.decide()), (Decision::Continue, Decision::Refuse));
}

/// A close deadline: guards against work whose response would come after the deadline.
#[test]
fn call_that_cannot_finish_in_time_is_refused() {
    let late = DecisionInput { left: ms(50), waited: ms(300), ..new_call(score(1.0, 0.0)) };

    assert_eq!(late.decide(), Decision::Refuse);
}

/// A service whose targets do not respond: guards against a refusal before all were probed.
#[test]
fn call_without_probe_responses_keeps_searching_then_is_refused() {
    let silent = new_call(None);
    let later = DecisionInput { waited: ms(90), ..silent };

    assert_eq!((silent.decide(), later.decide()), (Decision::Continue, Decision::Refuse));
}

/// Calls of two priorities: guards against a queue that is full of calls of the lower priority.
#[test]
fn call_of_lower_priority_does_not_join_a_long_queue() {
    let urgent = DecisionInput { waited: ms(90), ..new_call(score(2.0, 0.8)) };
    let other = DecisionInput { rank: 1, ..urgent };

    assert_eq!((urgent.decide(), other.decide()), (Decision::Send, Decision::Refuse));
}

fn input_of(cost: u8, queue: u8, waited: u16, left: u16, rank: u8) -> DecisionInput {
    DecisionInput {
        score: score(1.0 + f64::from(cost) / 40.0, f64::from(queue) / 100.0),
        waited: ms(u64::from(waited)),
        objective: ms(300),
        left: ms(u64::from(left)),
        typical: Some(ms(60)),
        rank: u32::from(rank % 4),
    }
}

quickcheck! {
    /// No call is refused while a free target can finish it in time.
    fn call_that_fits_is_not_refused(cost: u8, waited: u16, left: u16, rank: u8) -> bool {
        let input = input_of(cost, 0, waited, left, rank);
        let duration_factor = input.score.map_or(1.0, |score| score.cost);
        let fits = ms(60).mul_f64(duration_factor) <= input.left;
        !fits || input.decide() != Decision::Refuse
    }

    /// A target that a call accepts now is still accepted later, so that no call starves.
    fn accepted_target_stays_acceptable_later(cost: u8, queue: u8, waited: u16, more: u16) -> bool {
        let now = input_of(cost, queue, waited, 5000, 0);
        let later = input_of(cost, queue, waited.saturating_add(more), 5000, 0);
        now.decide() != Decision::Send || later.decide() == Decision::Send
    }

    /// A call of a higher priority is sent wherever one of a lower priority is.
    fn higher_priority_is_sent_if_lower_is(
        cost: u8, queue: u8, waited: u16, left: u16, rank: u8
    ) -> bool {
        let less = input_of(cost, queue, waited, left, rank);
        let more = DecisionInput { rank: 0, ..less };
        less.decide() != Decision::Send || more.decide() == Decision::Send
    }

    /// Every call is sent or refused within a third of its latency objective.
    fn search_ends_in_time(cost: u8, queue: u8, left: u16, rank: u8) -> bool {
        input_of(cost, queue, 100, left, rank).decide() != Decision::Continue
    }
}

/// Guards against typical durations that grow with the load until all calls are refused.
#[test]
fn typical_duration_excludes_the_expected_slowdown() {
    let mut durations = TypicalDurations::default();
    let route: Rc<str> = "r".into();
    for _ in 0..4 {
        durations.add(&route, ms(60), 1.0);
    }
    let unknown = durations.get("r");
    for _ in 0..50 {
        durations.add(&route, ms(300), 5.0);
    }

    assert_eq!(unknown, None);
    assert_eq!(durations.get("r").unwrap().as_millis(), 60);
}

/// A simulated target, whose state is visible only to a probe.
#[derive(Clone)]
struct SimulatedTarget {
    /// End of the work in each of its slots.
    slots: Vec<f64>,
    /// Whether it works five times slower, and until when.
    slow: bool,
    until: f64,
}

/// Simulates a load peak on five targets with three slots, of which a quarter is slow at any time.
/// Returns the part of the calls that finish within their objective.
fn simulate(rule: impl Fn(&DecisionInput) -> Decision) -> f64 {
    let mut rng = SmallRng::seed_from_u64(5);
    let idle = SimulatedTarget { slots: vec![0.0; 3], slow: false, until: 0.0 };
    let mut targets = vec![idle; 5];
    let (mut good, calls) = (0, 4000);
    // Time of the next probe and of the arrival of each call, in milliseconds.
    let mut searches: Vec<(f64, f64)> =
        (0..calls).map(|n| (f64::from(n) * 8.0, f64::from(n) * 8.0)).collect();
    while let Some(place) =
        (0..searches.len()).min_by(|a, b| searches[*a].0.total_cmp(&searches[*b].0))
    {
        let (now, arrived) = searches.swap_remove(place);
        let mut best: Option<(TargetScore, usize)> = None;
        for (number, target) in targets.iter_mut().enumerate() {
            if now >= target.until {
                target.slow = rng.random_bool(0.25);
                target.until = now + 150.0;
            }
            let busy = target.slots.iter().filter(|end| **end > now).count();
            let slowdown = if target.slow { 5.0 } else { 1.0 };
            let waiting =
                target.slots.iter().map(|end| ((end - now) / 300.0).max(0.0)).sum::<f64>();
            let queue_ratio = if busy == 3 { 0.34 + waiting } else { 0.0 };
            let found = TargetScore { cost: slowdown * (1.0 + queue_ratio), queue_ratio };
            if best.is_none_or(|(lowest, _)| found.cost < lowest.cost) {
                best = Some((found, number));
            }
        }
        let input = DecisionInput {
            score: best.map(|(found, _)| found),
            waited: Duration::from_secs_f64((now - arrived) / 1000.0),
            objective: ms(250),
            left: Duration::from_secs_f64((600.0 - (now - arrived)).max(0.0) / 1000.0),
            typical: Some(ms(66)),
            rank: 0,
        };
        match (rule(&input), best) {
            (Decision::Send, Some((_, number))) => {
                let target = &mut targets[number];
                let slot =
                    (0..3).min_by(|a, b| target.slots[*a].total_cmp(&target.slots[*b])).unwrap();
                let start = target.slots[slot].max(now);
                let slowdown = if target.slow { 3.0 } else { 1.0 };
                let end = start + 66.0 * slowdown * rng.random_range(0.5..1.5);
                target.slots[slot] = end;
                good += u32::from(end - arrived <= 250.0);
            }
            (Decision::Continue, _) => searches.push((now + 12.0, arrived)),
            (Decision::Refuse | Decision::Send, _) => {}
        }
    }
    f64::from(good) / f64::from(calls)
}

/// A load peak with slow targets under two rules: guards against a rule that is no better than
/// joining the shortest queue at once.
#[test]
fn searching_finishes_more_calls_in_time_than_the_shortest_queue() {
    let searching = simulate(DecisionInput::decide);
    let joining = simulate(|input| match input.score {
        Some(score) if score.queue_ratio <= 1.0 => Decision::Send,
        _ => Decision::Refuse,
    });

    assert!(searching > joining, "searching {searching:.3}, joining {joining:.3}");
}
