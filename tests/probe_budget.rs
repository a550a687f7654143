//! The budget of probes under random interleavings of entries, with fake time.

use std::collections::VecDeque;

use cornellink::prelude::*;
use cornellink::process::claims::record::Holder;
use cornellink::process::probes::lease::Lease;
use cornellink::process::probes::record::LeaseRecord;
use cornellink::process::probes::spend::Spend;
use quickcheck::{Arbitrary, Gen, QuickCheck};

const ENTRIES: usize = 5;
/// Probes that the target takes in any second.
const BUDGET: u32 = 3;

#[derive(Clone, Copy, Debug)]
enum Step {
    /// The entry does its next piece of work, with or without new records of the log. An entry
    /// that takes no steps is paused.
    Act {
        entry: usize,
        reads: bool,
    },
    /// One append under way takes effect, in any order, or is lost.
    Land {
        pick: usize,
        is_lost: bool,
    },
    Pass {
        millis: u64,
    },
    Restart {
        entry: usize,
    },
    /// The entry misses the records that it has not read.
    Miss {
        entry: usize,
    },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut below = |limit: usize| usize::arbitrary(g) % limit;
        // The first entry is the most active one, so that leases are held for long.
        let entry = [0, 0, below(ENTRIES), below(ENTRIES)][below(4)];
        match below(200) {
            0..=99 => Self::Act { entry, reads: below(4) > 0 },
            100..=139 => Self::Land { pick: below(16), is_lost: below(8) == 0 },
            140 => Self::Restart { entry: below(ENTRIES) },
            141 => Self::Miss { entry: below(ENTRIES) },
            142..=145 => Self::Pass { millis: below(8000) as u64 },
            _ => Self::Pass { millis: below(200) as u64 },
        }
    }
}

/// What an entry does about its probe.
#[derive(Clone, Copy, PartialEq)]
enum Probe {
    /// It has checked the lease and the budget, but has not sent the probe.
    Checked,
    None,
    /// It waits for the response.
    Sent,
}

struct Entry {
    lease: Lease,
    spend: Spend,
    probe: Probe,
    next: usize,
}

struct World {
    now: Instant,
    incarnations: u64,
    log: Vec<LeaseRecord>,
    under_way: VecDeque<LeaseRecord>,
    entries: Vec<Entry>,
    arrivals: Vec<Instant>,
}

impl World {
    fn new() -> Self {
        let (log, under_way, arrivals) = Default::default();
        let now = Instant::now();
        let mut world =
            Self { now, incarnations: 0, log, under_way, entries: Vec::new(), arrivals };
        world.entries = (0..ENTRIES).map(|index| world.start(index)).collect();
        world
    }

    fn start(&mut self, index: usize) -> Entry {
        self.incarnations += 1;
        let holder = Holder { name: index.to_string(), incarnation: self.incarnations };
        let lease = Lease::new(Rc::new(holder), "a", Duration::ZERO, self.now);
        Entry { lease, spend: Spend::default(), probe: Probe::None, next: 0 }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Act { entry, reads } => self.act(entry, reads),
            Step::Land { pick, is_lost } => {
                let count = self.under_way.len().max(1);
                let record = self.under_way.remove(pick % count);
                self.log.extend(record.filter(|_| !is_lost));
            }
            Step::Miss { entry } => {
                let entry = &mut self.entries[entry];
                entry.next = self.log.len();
                entry.lease.lose_track(self.now);
            }
            Step::Pass { millis } => self.now += Duration::from_millis(millis),
            Step::Restart { entry } => self.entries[entry] = self.start(entry),
        }
    }

    fn act(&mut self, index: usize, reads: bool) {
        let (entry, now) = (&mut self.entries[index], self.now);
        match entry.probe {
            Probe::Checked => {
                self.arrivals.push(now);
                entry.probe = Probe::Sent;
                return;
            }
            Probe::Sent => {
                entry.spend.end(true, now);
                entry.probe = Probe::None;
            }
            Probe::None => {}
        }
        if reads {
            for (offset, record) in self.log.iter().enumerate().skip(entry.next) {
                entry.lease.apply(offset as u64, record.clone(), now);
            }
            entry.next = self.log.len();
        }
        self.under_way.extend(entry.lease.wishes(entry.probe == Probe::None, now));
        if entry.spend.begin(entry.lease.allowance(BUDGET, now), now) {
            entry.probe = Probe::Checked;
        }
    }
}

impl World {
    fn is_within_budget(&self) -> bool {
        let mut windows = self.arrivals.windows(BUDGET as usize + 1);
        windows.all(|window| window[BUDGET as usize] - window[0] > Duration::from_secs(1))
    }

    /// Lets one entry work alone, every 100 ms, until it stands before its next probe.
    fn pause_before_probe(&mut self, index: usize) {
        while self.entries[index].probe != Probe::Checked {
            self.now += Duration::from_millis(100);
            self.act(index, true);
            self.log.extend(self.under_way.drain(..));
        }
    }
}

fn run(steps: Vec<Step>) -> World {
    let mut world = World::new();
    for step in steps {
        world.step(step);
    }
    world
}

/// Guards against more probes than the budget in any second, whatever the order of pauses,
/// restarts, late and lost appends and missed records.
#[test]
fn no_interleaving_exceeds_the_budget() {
    fn property(steps: Vec<Step>) -> bool {
        run(steps).is_within_budget()
    }
    let random = Gen::from_size_and_seed(3000, 11);
    QuickCheck::new().rng(random).tests(2000).quickcheck(property as fn(Vec<Step>) -> bool);
}

/// Guards against a budget that holds because nobody probes.
#[test]
fn interleavings_do_probe() {
    let mut random = Gen::from_size_and_seed(3000, 11);
    let probes = |_| run(Vec::arbitrary(&mut random)).arrivals.len();
    let probes: usize = (0..50).map(probes).sum();
    assert!(probes > 200, "only `{probes}` probes");
}

/// Guards against a budget that forgets one of several holders, each of which paused between its
/// check of the lease and its probe, and all of which resume in the same second.
#[test]
fn paused_holders_resume_together() {
    let mut world = World::new();
    for index in 0..3 {
        world.pause_before_probe(index);
    }
    let last = 2;

    for index in 0..last {
        world.act(index, true);
    }
    for _ in 0..20 {
        world.now += Duration::from_millis(10);
        world.act(last, false);
    }

    assert!(world.is_within_budget(), "`{}` probes", world.arrivals.len());
}

/// Guards against a second holder within the term of a holder that cannot read the log.
#[test]
fn holder_without_reads_is_respected() {
    let mut world = World::new();
    world.pause_before_probe(0);
    let start = world.now;

    while world.now < start + Duration::from_secs(20) {
        world.now += Duration::from_millis(10);
        world.act(0, false);
        world.under_way.clear();
        world.act(1, true);
        world.log.extend(world.under_way.drain(..));
    }

    assert!(world.is_within_budget());
    let late = world.arrivals.iter().filter(|at| **at > start + Duration::from_secs(10));
    assert!(late.count() > 5, "the second entry has not taken over");
}
