//! Who is sent, who waits and who is refused, for each pattern of load.

use cornellink::prelude::*;
use cornellink::process::gateway::overload::{Decision, Offer, Situation};
use cornellink::process::gateway::typical_durations::TypicalDurations;
use quickcheck::quickcheck;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A call that has just arrived, with an objective of 300 ms and a deadline of 1 s.
fn fresh(offer: Option<Offer>) -> Situation {
    Situation {
        offer,
        waited: ms(0),
        objective: ms(300),
        left: ms(1000),
        typical: Some(ms(60)),
        rank: 0,
    }
}

fn offer(cost: f64, queue: f64) -> Option<Offer> {
    Some(Offer { cost, queue })
}

/// Steady load: guards against a wait while a target is free.
#[test]
fn free_target_is_taken_at_once() {
    assert_eq!(fresh(offer(1.0, 0.0)).decide(), Decision::Send);
    assert_eq!(fresh(offer(1.95, 0.0)).decide(), Decision::Send);
}

/// Targets that turn slow: guards against a call that starts on a slow target while another one
/// may be fast in a moment.
#[test]
fn slow_target_is_left_for_a_better_one() {
    assert_eq!(fresh(offer(5.0, 0.0)).decide(), Decision::Look);
}

/// A crest: guards against calls that join the queue of one target at once, and against calls that
/// look for ever.
#[test]
fn queue_is_joined_only_after_looking() {
    let queued = fresh(offer(1.8, 0.3));
    let later = Situation { waited: ms(90), left: ms(910), ..queued };

    assert_eq!((queued.decide(), later.decide()), (Decision::Look, Decision::Send));
}

/// A service without room: guards against calls that are held to their deadline.
#[test]
fn call_without_room_is_refused_early() {
    let full = fresh(offer(4.0, 1.5));
    let later = Situation { waited: ms(90), left: ms(910), ..full };

    assert_eq!((full.decide(), later.decide()), (Decision::Look, Decision::Refuse));
}

/// Callers at the end of their time: guards against work whose answer nobody waits for.
#[test]
fn call_that_cannot_end_in_time_is_refused() {
    let late = Situation { left: ms(50), waited: ms(300), ..fresh(offer(1.0, 0.0)) };

    assert_eq!(late.decide(), Decision::Refuse);
}

/// A service that has lost its targets: guards against a refusal before all were asked.
#[test]
fn silence_is_looked_at_again_and_then_refused() {
    let silent = fresh(None);
    let later = Situation { waited: ms(90), ..silent };

    assert_eq!((silent.decide(), later.decide()), (Decision::Look, Decision::Refuse));
}

/// Urgent work beside other work: guards against a queue that the less urgent calls have filled.
#[test]
fn less_urgent_calls_leave_the_end_of_the_queue() {
    let urgent = Situation { waited: ms(90), ..fresh(offer(2.0, 0.8)) };
    let other = Situation { rank: 1, ..urgent };

    assert_eq!((urgent.decide(), other.decide()), (Decision::Send, Decision::Refuse));
}

fn any(cost: u8, queue: u8, waited: u16, left: u16, rank: u8) -> Situation {
    Situation {
        offer: offer(1.0 + f64::from(cost) / 40.0, f64::from(queue) / 100.0),
        waited: ms(u64::from(waited)),
        objective: ms(300),
        left: ms(u64::from(left)),
        typical: Some(ms(60)),
        rank: u32::from(rank % 4),
    }
}

quickcheck! {
    /// No call is refused while a target is free that ends it in time.
    fn room_is_used(cost: u8, waited: u16, left: u16, rank: u8) -> bool {
        let situation = any(cost, 0, waited, left, rank);
        let stretch = situation.offer.map_or(1.0, |offer| offer.cost);
        let fits = ms(60).mul_f64(stretch) <= situation.left;
        !fits || situation.decide() != Decision::Refuse
    }

    /// No call starves: what it would take now, it takes later.
    fn waiting_makes_no_call_choosier(cost: u8, queue: u8, waited: u16, more: u16) -> bool {
        let now = any(cost, queue, waited, 5000, 0);
        let later = any(cost, queue, waited.saturating_add(more), 5000, 0);
        now.decide() != Decision::Send || later.decide() == Decision::Send
    }

    /// A more urgent call is never refused where a less urgent one is sent.
    fn urgency_never_harms(cost: u8, queue: u8, waited: u16, left: u16, rank: u8) -> bool {
        let less = any(cost, queue, waited, left, rank);
        let more = Situation { rank: 0, ..less };
        less.decide() != Decision::Send || more.decide() == Decision::Send
    }

    /// Every call is sent or refused within a third of its objective.
    fn looking_ends(cost: u8, queue: u8, left: u16, rank: u8) -> bool {
        any(cost, queue, 100, left, rank).decide() != Decision::Look
    }
}

/// Guards against usual durations that grow with the load and then refuse everybody.
#[test]
fn usual_duration_leaves_out_what_the_target_stretched() {
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

/// A target of a played service: what it does is known only when it is asked.
#[derive(Clone)]
struct Played {
    /// End of the work in each of its slots.
    slots: Vec<f64>,
    /// Whether it works five times slower, and until when.
    slow: bool,
    until: f64,
}

/// Plays a crest on five targets with three slots, of which a quarter is slow at any time, and
/// returns the part of the calls that end within their objective.
fn play(rule: impl Fn(&Situation) -> Decision) -> f64 {
    let mut rng = SmallRng::seed_from_u64(5);
    let idle = Played { slots: vec![0.0; 3], slow: false, until: 0.0 };
    let mut targets = vec![idle; 5];
    let (mut good, calls) = (0, 4000);
    // Calls by the time of their next look, in milliseconds.
    let mut looks: Vec<(f64, f64)> =
        (0..calls).map(|n| (f64::from(n) * 8.0, f64::from(n) * 8.0)).collect();
    while let Some(place) = (0..looks.len()).min_by(|a, b| looks[*a].0.total_cmp(&looks[*b].0)) {
        let (now, arrived) = looks.swap_remove(place);
        let mut best: Option<(Offer, usize)> = None;
        for (number, target) in targets.iter_mut().enumerate() {
            if now >= target.until {
                target.slow = rng.random_bool(0.25);
                target.until = now + 150.0;
            }
            let busy = target.slots.iter().filter(|end| **end > now).count();
            let pace = if target.slow { 5.0 } else { 1.0 };
            let waiting =
                target.slots.iter().map(|end| ((end - now) / 300.0).max(0.0)).sum::<f64>();
            let queue = if busy == 3 { 0.34 + waiting } else { 0.0 };
            let found = Offer { cost: pace * (1.0 + queue), queue };
            if best.is_none_or(|(lowest, _)| found.cost < lowest.cost) {
                best = Some((found, number));
            }
        }
        let situation = Situation {
            offer: best.map(|(found, _)| found),
            waited: Duration::from_secs_f64((now - arrived) / 1000.0),
            objective: ms(250),
            left: Duration::from_secs_f64((600.0 - (now - arrived)).max(0.0) / 1000.0),
            typical: Some(ms(66)),
            rank: 0,
        };
        match (rule(&situation), best) {
            (Decision::Send, Some((_, number))) => {
                let target = &mut targets[number];
                let slot =
                    (0..3).min_by(|a, b| target.slots[*a].total_cmp(&target.slots[*b])).unwrap();
                let start = target.slots[slot].max(now);
                let pace = if target.slow { 3.0 } else { 1.0 };
                let end = start + 66.0 * pace * rng.random_range(0.5..1.5);
                target.slots[slot] = end;
                good += u32::from(end - arrived <= 250.0);
            }
            (Decision::Look, _) => looks.push((now + 12.0, arrived)),
            (Decision::Refuse | Decision::Send, _) => {}
        }
    }
    f64::from(good) / f64::from(calls)
}

/// A crest with slow targets, both rules side by side: guards against a rule that is no better
/// than joining the shortest queue at once.
#[test]
fn looking_again_beats_the_shortest_queue() {
    let looking = play(Situation::decide);
    let joining = play(|situation| match situation.offer {
        Some(offer) if offer.queue <= 1.0 => Decision::Send,
        _ => Decision::Refuse,
    });

    assert!(looking > joining, "looking {looking:.3}, joining {joining:.3}");
}
