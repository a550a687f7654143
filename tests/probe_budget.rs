//! The probe budget under random interleavings of entries, with simulated time.

use std::collections::VecDeque;

use cornellink::prelude::*;
use cornellink::process::claims::record::Holder;
use cornellink::process::probes::lease::Lease;
use cornellink::process::probes::probe_window::ProbeWindow;
use cornellink::process::probes::record::LeaseRecord;
use quickcheck::{Arbitrary, Gen, QuickCheck};

const ENTRIES: usize = 5;
/// Most probes of the target in any second.
const BUDGET: u32 = 3;

#[derive(Clone, Copy, Debug)]
enum Step {
    /// The entry does its next step, with or without reading new records of the log. An entry
    /// without steps is paused.
    RunEntry {
        entry: usize,
        reads: bool,
    },
    /// One pending append takes effect, in any order, or is lost.
    Append {
        index: usize,
        is_lost: bool,
    },
    Advance {
        millis: u64,
    },
    Restart {
        entry: usize,
    },
    /// The entry misses the records that it has not read yet.
    SkipRecords {
        entry: usize,
    },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut below = |limit: usize| usize::arbitrary(g) % limit;
        // The first entry is the most active one, so that leases are held for long.
        let entry = [0, 0, below(ENTRIES), below(ENTRIES)][below(4)];
        match below(200) {
            0..=99 => Self::RunEntry { entry, reads: below(4) > 0 },
            100..=139 => Self::Append { index: below(16), is_lost: below(8) == 0 },
            140 => Self::Restart { entry: below(ENTRIES) },
            141 => Self::SkipRecords { entry: below(ENTRIES) },
            142..=145 => Self::Advance { millis: below(8000) as u64 },
            _ => Self::Advance { millis: below(200) as u64 },
        }
    }
}

/// The state of the probe of an entry.
#[derive(Clone, Copy, PartialEq)]
enum Probe {
    /// The lease and the budget are checked, but the probe is not sent.
    Checked,
    None,
    /// The entry waits for the response.
    Sent,
}

struct Entry {
    lease: Lease,
    probe_window: ProbeWindow,
    probe: Probe,
    next: usize,
}

struct Simulation {
    now: Instant,
    incarnations: u64,
    log: Vec<LeaseRecord>,
    pending_appends: VecDeque<LeaseRecord>,
    entries: Vec<Entry>,
    arrivals: Vec<Instant>,
}

impl Simulation {
    fn new() -> Self {
        let (log, pending_appends, arrivals) = Default::default();
        let now = Instant::now();
        let mut simulation =
            Self { now, incarnations: 0, log, pending_appends, entries: Vec::new(), arrivals };
        simulation.entries = (0..ENTRIES).map(|index| simulation.start(index)).collect();
        simulation
    }

    fn start(&mut self, index: usize) -> Entry {
        self.incarnations += 1;
        let holder = Holder { name: index.to_string(), incarnation: self.incarnations };
        let lease = Lease::new(Rc::new(holder), "a", Duration::ZERO, self.now);
        Entry { lease, probe_window: ProbeWindow::default(), probe: Probe::None, next: 0 }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::RunEntry { entry, reads } => self.run_entry(entry, reads),
            Step::Append { index, is_lost } => {
                let count = self.pending_appends.len().max(1);
                let record = self.pending_appends.remove(index % count);
                self.log.extend(record.filter(|_| !is_lost));
            }
            Step::SkipRecords { entry } => {
                let entry = &mut self.entries[entry];
                entry.next = self.log.len();
                entry.lease.reset(self.now);
            }
            Step::Advance { millis } => self.now += Duration::from_millis(millis),
            Step::Restart { entry } => self.entries[entry] = self.start(entry),
        }
    }

    fn run_entry(&mut self, index: usize, reads: bool) {
        let (entry, now) = (&mut self.entries[index], self.now);
        match entry.probe {
            Probe::Checked => {
                self.arrivals.push(now);
                entry.probe = Probe::Sent;
                return;
            }
            Probe::Sent => {
                entry.probe_window.end(true, now);
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
        self.pending_appends.extend(entry.lease.records_to_append(entry.probe == Probe::None, now));
        if entry.probe_window.try_begin(entry.lease.probe_limit(BUDGET, now), now) {
            entry.probe = Probe::Checked;
        }
    }
}

impl Simulation {
    fn is_within_budget(&self) -> bool {
        let mut windows = self.arrivals.windows(BUDGET as usize + 1);
        windows.all(|window| window[BUDGET as usize] - window[0] > Duration::from_secs(1))
    }

    /// Runs one entry alone, every 100 ms, until it has checked its next probe but not sent it.
    fn pause_before_probe(&mut self, index: usize) {
        while self.entries[index].probe != Probe::Checked {
            self.now += Duration::from_millis(100);
            self.run_entry(index, true);
            self.log.extend(self.pending_appends.drain(..));
        }
    }
}

fn run(steps: Vec<Step>) -> Simulation {
    let mut simulation = Simulation::new();
    for step in steps {
        simulation.step(step);
    }
    simulation
}

/// Guards against more probes than the budget in any second, in any order of pauses, restarts, late
/// and lost appends and missed records.
#[test]
fn probes_stay_within_the_budget_in_any_interleaving() {
    fn property(steps: Vec<Step>) -> bool {
        run(steps).is_within_budget()
    }
    let random = Gen::from_size_and_seed(3000, 11);
    QuickCheck::new().rng(random).tests(2000).quickcheck(property as fn(Vec<Step>) -> bool);
}

/// Guards against a budget that holds only because no entry sends probes.
#[test]
fn random_interleavings_send_probes() {
    let mut random = Gen::from_size_and_seed(3000, 11);
    let probes = |_| run(Vec::arbitrary(&mut random)).arrivals.len();
    let probes: usize = (0..50).map(probes).sum();
    assert!(probes > 200, "only `{probes}` probes");
}

/// Guards against a budget that reserves too few probes for several earlier holders, each of which
/// paused between checking the lease and sending its probe, and all of which resume in one second.
#[test]
fn paused_holders_that_resume_together_stay_within_the_budget() {
    let mut simulation = Simulation::new();
    for index in 0..3 {
        simulation.pause_before_probe(index);
    }
    let last = 2;

    for index in 0..last {
        simulation.run_entry(index, true);
    }
    for _ in 0..20 {
        simulation.now += Duration::from_millis(10);
        simulation.run_entry(last, false);
    }

    assert!(simulation.is_within_budget(), "`{}` probes", simulation.arrivals.len());
}

/// Guards against a second holder during the term of a holder that cannot read the log.
#[test]
fn holder_that_cannot_read_the_log_keeps_the_lease_for_its_term() {
    let mut simulation = Simulation::new();
    simulation.pause_before_probe(0);
    let start = simulation.now;

    while simulation.now < start + Duration::from_secs(20) {
        simulation.now += Duration::from_millis(10);
        simulation.run_entry(0, false);
        simulation.pending_appends.clear();
        simulation.run_entry(1, true);
        simulation.log.extend(simulation.pending_appends.drain(..));
    }

    assert!(simulation.is_within_budget());
    let late = simulation.arrivals.iter().filter(|at| **at > start + Duration::from_secs(10));
    assert!(late.count() > 5, "the second entry has not taken over");
}
