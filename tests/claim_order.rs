//! Random interleavings of entries that claim the same keys.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use cornellink::edge::log::{Page, Record};
use cornellink::prelude::*;
use cornellink::process::claims::key::Key;
use cornellink::process::claims::record::{ClaimRecord, Holder, NewClaim};
use cornellink::process::claims::table::{Event, Table};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const ENTRIES: usize = 3;
const KEYS: usize = 2;
const HOLD_MS: u64 = 10_000;
/// Time within which a call ends, far below the time for which its claim holds.
const SPAN_MS: u64 = 1_000;

#[derive(Clone, Copy, Debug)]
enum Step {
    /// The entry sends a claim; it takes effect later, or never if `is_lost`.
    Claim {
        entry: usize,
        key: usize,
        is_lost: bool,
    },
    /// One append under way takes effect, in any order.
    Land {
        pick: usize,
    },
    /// The entry reads up to `count` records. An entry that takes no steps is paused.
    Read {
        entry: usize,
        count: usize,
    },
    /// The entry runs its granted calls, or gives them up and releases their keys.
    End {
        entry: usize,
        runs: bool,
    },
    /// The entry restarts under its name and reads from the oldest record.
    Restart {
        entry: usize,
    },
    /// The log drops its oldest records, also those within the window, but never the newest.
    Drop {
        count: usize,
    },
    Pass {
        millis: u64,
    },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut below = |limit: usize| usize::arbitrary(g) % limit;
        let (entry, key) = (below(ENTRIES), below(KEYS));
        match below(100) {
            0..=24 => Self::Claim { entry, key, is_lost: below(4) == 0 },
            25..=46 => Self::Land { pick: below(16) },
            47..=76 => Self::Read { entry, count: below(8) },
            77..=88 => Self::End { entry, runs: below(3) > 0 },
            89 => Self::Restart { entry },
            90 => Self::Drop { count: below(4) },
            91 => Self::Pass { millis: below(6000) as u64 },
            _ => Self::Pass { millis: below(500) as u64 },
        }
    }
}

struct Entry {
    table: Table,
    holder: Rc<Holder>,
    granted: HashMap<u64, (Key, u64)>,
    sent: HashMap<u64, u64>,
}

impl Entry {
    fn new(index: usize, incarnation: u64) -> Self {
        let holder = Rc::new(Holder { name: index.to_string(), incarnation });
        let table = Table::new(holder.clone(), Duration::from_millis(HOLD_MS), 100);
        Self { table, holder, granted: HashMap::new(), sent: HashMap::new() }
    }
}

struct World {
    now: u64,
    numbers: u64,
    first: u64,
    log: VecDeque<Record>,
    under_way: Vec<ClaimRecord>,
    entries: Vec<Entry>,
    runs: HashMap<usize, Vec<u64>>,
}

impl World {
    fn new() -> Self {
        let entries = (0..ENTRIES).map(|index| Entry::new(index, index as u64)).collect();
        let (log, under_way, runs) = Default::default();
        Self { now: 1_000_000, numbers: 100, first: 0, log, under_way, entries, runs }
    }

    fn number(&mut self) -> u64 {
        self.numbers += 1;
        self.numbers
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Claim { entry, key, is_lost } => self.claim(entry, key, is_lost),
            Step::Land { pick } => self.land(pick),
            Step::Read { entry, count } => self.read(entry, count),
            Step::End { entry, runs } => self.end(entry, runs),
            Step::Restart { entry } => {
                let incarnation = self.number();
                self.entries[entry] = Entry::new(entry, incarnation);
            }
            Step::Drop { count } => {
                let count = count.min(self.log.len().saturating_sub(1));
                self.log.drain(..count);
                self.first += count as u64;
            }
            Step::Pass { millis } => self.now += millis,
        }
    }

    fn claim(&mut self, index: usize, key: usize, is_lost: bool) {
        let nonce = self.number();
        let entry = &mut self.entries[index];
        entry.sent.insert(nonce, self.now);
        let claim = NewClaim {
            key: name(key),
            digest: 0,
            holder: (*entry.holder).clone(),
            nonce,
            span: SPAN_MS as u32,
        };
        if !is_lost {
            self.under_way.push(ClaimRecord::Claim(claim));
        }
    }

    fn land(&mut self, pick: usize) {
        if self.under_way.is_empty() {
            return;
        }
        let record = self.under_way.remove(pick % self.under_way.len());
        let offset = self.first + self.log.len() as u64;
        self.log.push_back(Record { offset, time: self.now, value: record.encode() });
    }

    fn read(&mut self, index: usize, count: usize) {
        let next = self.first + self.log.len() as u64;
        let entry = &mut self.entries[index];
        let from = entry.table.next_offset();
        let records = self.log.iter().filter(|record| record.offset >= from).take(count);
        let page = Page { first: self.first, next, records: records.cloned().collect() };
        if page.records.is_empty() && next > from {
            return;
        }
        for event in entry.table.apply(&page).expect("the log is never reset") {
            let Event::Won { key, nonce, time } = event else { continue };
            let sent = entry.sent.get(&nonce).copied();
            if let Some(sent) = sent.filter(|_| entry.table.is_complete(time, None)) {
                entry.granted.insert(nonce, (key, sent));
            }
        }
    }

    fn end(&mut self, index: usize, runs: bool) {
        for (nonce, (key, sent)) in std::mem::take(&mut self.entries[index].granted) {
            if runs && self.now - sent < SPAN_MS {
                let key = (0..KEYS).find(|index| name(*index) == key).unwrap();
                self.runs.entry(key).or_default().push(self.now);
                continue;
            }
            self.under_way.push(ClaimRecord::Release { key, nonce });
        }
    }
}

fn name(key: usize) -> Key {
    Key::new("north", "jobs", key.to_string().as_bytes())
}

/// Guards against a key that runs twice while a claim could still hold it, whatever the order
/// of appends, reads, pauses, restarts and losses of records.
#[test]
fn no_interleaving_runs_a_key_twice() {
    fn property(steps: Vec<Step>) -> bool {
        let mut world = World::new();
        for step in steps {
            world.step(step);
        }
        let is_apart = |pair: &[u64]| pair[1] - pair[0] >= HOLD_MS - SPAN_MS;
        world.runs.values().all(|times| times.windows(2).all(is_apart))
    }
    let random = Gen::from_size_and_seed(400, 7);
    QuickCheck::new().rng(random).tests(3000).quickcheck(property as fn(Vec<Step>) -> bool);
}

/// Guards against a property that holds because no interleaving runs anything.
#[test]
fn interleavings_do_run_keys() {
    let mut random = Gen::from_size_and_seed(400, 7);
    let mut runs = 0;
    for _ in 0..100 {
        let mut world = World::new();
        for step in Vec::<Step>::arbitrary(&mut random) {
            world.step(step);
        }
        runs += world.runs.values().map(Vec::len).sum::<usize>();
    }
    assert!(runs > 50, "only `{runs}` calls ran");
}
