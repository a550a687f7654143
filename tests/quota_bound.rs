//! Random orders of events around the quotas: whatever happens, no window has more calls of a
//! workspace than the quota allows.

mod fixture;

use cornellink::prelude::*;
use cornellink::version::workspace_table::Quota;
use fixture::quota::{ms, Faults, Fleet, START, TERMS};
use quickcheck::{quickcheck, Arbitrary, Gen};
use rand::Rng;

/// Time between two steps of a plan.
const STEP: Duration = Duration::from_millis(300);
/// Time that a plan runs; it repeats its steps.
const LENGTH: Duration = Duration::from_secs(15);
/// Calls per second of each workspace.
const CALL_RATE: f64 = 150.0;

/// What happens to an entry or to the fleet.
#[derive(Clone, Copy, Debug)]
enum Step {
    Nothing,
    Kill { entry: usize },
    Restart { entry: usize },
    Pause { entry: usize, ms: u64 },
    Split { entry: usize, side: u8 },
    Heal,
    Lower { entry: usize },
}

impl Arbitrary for Step {
    fn arbitrary(gen: &mut Gen) -> Self {
        let entry = usize::arbitrary(gen);
        match u8::arbitrary(gen) % 10 {
            0 => Self::Kill { entry },
            1 | 2 => Self::Restart { entry },
            3 | 4 => Self::Pause { entry, ms: u64::arbitrary(gen) % 3000 },
            5 => Self::Split { entry, side: u8::arbitrary(gen) % 3 },
            6 => Self::Heal,
            7 => Self::Lower { entry },
            _ => Self::Nothing,
        }
    }
}

/// A random order of events in a random fleet.
#[derive(Clone, Debug)]
struct Plan {
    entries: usize,
    /// Entries that the others do not know.
    unknown: usize,
    seed: u64,
    faults: Faults,
    steps: Vec<Step>,
}

impl Arbitrary for Plan {
    fn arbitrary(gen: &mut Gen) -> Self {
        let probability = |gen: &mut Gen| f64::from(u8::arbitrary(gen) % 4) * 0.03;
        let faults = Faults {
            loss: probability(gen),
            duplicate: probability(gen),
            late: probability(gen),
            max_delay: ms(3000),
            stall: probability(gen) / 100.0,
            max_pause: ms(2000),
            max_search: ms(u64::arbitrary(gen) % 1000),
        };
        let entries = 1 + usize::arbitrary(gen) % 6;
        let unknown = usize::arbitrary(gen) % 4;
        Self { entries, unknown, seed: u64::arbitrary(gen), faults, steps: Vec::arbitrary(gen) }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let plan = self.clone();
        Box::new(self.steps.shrink().map(move |steps| Self { steps, ..plan.clone() }))
    }
}

fn quotas() -> [Quota; 3] {
    [(20.0, 20.0), (60.0, 5.0), (1.0, 1.0)].map(|(rate, burst)| Quota { rate, burst })
}

fn lowered(quota: Quota) -> Quota {
    Quota { rate: quota.rate / 2.0, burst: quota.burst / 2.0 }
}

/// Calls of all workspaces in bursts and pauses, at random entries.
fn send_calls(fleet: &mut Fleet, entries: usize) {
    for workspace in 0..quotas().len() {
        let mut time = START;
        while time < START + LENGTH {
            let is_pause = fleet.rng.random_bool(0.001);
            let mean = if is_pause { 2.0 } else { 1.0 / CALL_RATE };
            time += Duration::from_secs_f64(fleet.rng.random_range(0.0..2.0 * mean));
            let entry = fleet.rng.random_range(0..entries);
            fleet.call(entry, workspace, time);
        }
    }
}

/// Runs a plan; returns the fleet and the time at which all entries have the lowered limit.
fn run(plan: &Plan) -> (Fleet, Option<Duration>) {
    let mut fleet = Fleet::start(plan.entries, &quotas(), plan.seed);
    (0..plan.unknown).for_each(|_| fleet.add_unknown());
    let entries = plan.entries + plan.unknown;
    fleet.faults = plan.faults;
    send_calls(&mut fleet, entries);
    let mut is_lowered = vec![false; entries];
    let mut lowered_at = None;
    let mut steps = plan.steps.iter().cycle();
    while fleet.now < START + LENGTH {
        let end = fleet.now + STEP;
        fleet.run_until(end);
        let Some(step) = steps.next() else { continue };
        apply(&mut fleet, *step, entries, &mut is_lowered);
        if lowered_at.is_none() && is_lowered.iter().all(|lowered| *lowered) {
            lowered_at = Some(fleet.now);
        }
    }
    (fleet, lowered_at)
}

fn apply(fleet: &mut Fleet, step: Step, entries: usize, is_lowered: &mut [bool]) {
    match step {
        Step::Nothing => {}
        Step::Kill { entry } => fleet.kill(entry % entries),
        Step::Restart { entry } => {
            fleet.start_entry(entry % entries);
            // It starts with the newest configuration.
            if is_lowered.contains(&true) {
                is_lowered[entry % entries] = true;
            }
        }
        Step::Pause { entry, ms: pause } => fleet.pause(entry % entries, ms(pause)),
        Step::Split { entry, side } => fleet.set_side(entry % entries, side),
        Step::Heal => (0..entries).for_each(|entry| fleet.set_side(entry, 0)),
        Step::Lower { entry } => {
            fleet.set_quota(entry % entries, 0, lowered(quotas()[0]));
            is_lowered[entry % entries] = true;
        }
    }
}

quickcheck! {
    /// Guards against tokens that are used twice or too late: by two owners, after a pause, a restart,
    /// a partition, or by messages that are late or doubled.
    fn no_window_has_more_calls_than_the_quota_allows(plan: Plan) -> bool {
        let (fleet, lowered_at) = run(&plan);

        let is_kept = quotas().iter().enumerate().all(|(workspace, quota)| {
            fleet.max_in_window(workspace, TERMS.window, START) as f64 <= TERMS.max_calls(*quota)
        });
        let is_lowered_kept = lowered_at.is_none_or(|time| {
            let most = fleet.max_in_window(0, TERMS.window, time + TERMS.window);
            most as f64 <= TERMS.max_calls(lowered(quotas()[0]))
        });
        is_kept && is_lowered_kept
    }
}

/// A fleet without faults that asks for more than its quotas.
fn calm_plan(entries: usize) -> Plan {
    Plan { entries, unknown: 0, seed: 7, faults: Faults::default(), steps: Vec::new() }
}

/// Guards against a bound that holds only because hardly any call passes.
#[test]
fn a_calm_fleet_uses_its_quotas() {
    for entries in [1, 2, 6] {
        let (fleet, _) = run(&calm_plan(entries));

        for (workspace, quota) in quotas().into_iter().enumerate() {
            let most = fleet.max_in_window(workspace, TERMS.window, START);
            let least = quota.rate * TERMS.window.as_secs_f64();
            let max = TERMS.max_calls(quota);
            println!("entries {entries}, workspace {workspace}: {most} of {max}");
            assert!(most as f64 >= least, "{most} calls, {least} allowed by the rate alone");
            assert!(most as f64 <= max, "{most} calls of {max}");
        }
    }
}

/// Guards against entries added in an outage of the directory that use shares of a quota beside those
/// that make up the whole, be they connected to the others or cut off.
#[test]
fn unknown_entries_add_nothing_to_a_quota() {
    for unknown in [1, 3, 10] {
        for side in [0, 1] {
            let mut fleet = Fleet::start(5, &quotas(), 7);
            (0..unknown).for_each(|_| fleet.add_unknown());
            (5..5 + unknown).for_each(|entry| fleet.set_side(entry, side));
            send_calls(&mut fleet, 5 + unknown);

            fleet.run_until(START + LENGTH);

            for (workspace, quota) in quotas().into_iter().enumerate() {
                let most = fleet.max_in_window(workspace, TERMS.window, START) as f64;
                let max = TERMS.max_calls(quota);
                println!("{unknown} unknown, side {side}, workspace {workspace}: {most} of {max}");
                assert!(most <= max, "{most} calls of {max}");
            }
        }
    }
}

/// Guards against an added entry whose callers are refused until the others know it.
#[test]
fn an_unknown_entry_gets_tokens_from_the_others() {
    let quota = Quota { rate: 40.0, burst: 40.0 };
    let mut fleet = Fleet::start(5, &[quota], 7);
    fleet.add_unknown();
    for number in 0..300 {
        fleet.call(5, 0, START + ms(1000 + number * 30));
    }

    fleet.run_until(START + LENGTH);

    let refused = fleet.outcomes.iter().filter(|outcome| outcome.arrived.is_none()).count();
    println!("refused {refused} of 300");
    assert!(refused * 100 < 300, "{refused} of 300 refused");
}

/// Guards against an entry that refuses all calls while it is cut off: it has its own share.
#[test]
fn a_cut_off_entry_uses_its_own_share() {
    let mut fleet = Fleet::start(4, &quotas(), 7);
    send_calls(&mut fleet, 4);
    (0..4).for_each(|entry| fleet.set_side(entry, entry as u8));

    fleet.run_until(START + LENGTH);

    let from = START + Duration::from_secs(5);
    let passed = fleet.max_in_window(1, TERMS.window, from) as f64;
    assert!(passed >= quotas()[1].rate * 5.0 * 0.8, "{passed} calls");
    assert!(passed <= TERMS.max_calls(quotas()[1]), "{passed} calls");
}

/// Guards against calls that fail for long after the owner was killed.
#[test]
fn another_owner_takes_over_from_a_killed_one() {
    let entries = 16;
    let quota = Quota { rate: 40.0, burst: 40.0 };
    let mut fleet = Fleet::start(entries, &[quota], 7);
    for number in 0..400 {
        let time = START + ms(number * 40);
        let entry = fleet.rng.random_range(4..entries);
        fleet.call(entry, 0, time);
    }
    fleet.run_until(START + ms(8000));

    // The entries with the fastest links come first in the order.
    (0..4).for_each(|entry| fleet.kill(entry));
    fleet.run_until(START + ms(17_000));

    let late = fleet.outcomes.iter().filter(|outcome| outcome.sent > START + ms(10_000));
    let refused = late.clone().filter(|outcome| outcome.arrived.is_none()).count();
    let count = late.count();
    println!("refused {refused} of {count} from 2 s after the kill on");
    assert!(refused * 100 < count, "{refused} of {count} refused");
}
