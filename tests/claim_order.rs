//! Property tests of the claim table over random interleavings of entries that claim the same
//! keys.

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
const HOLD_TIME_MS: u64 = 10_000;
/// Time within which a call ends, far below the time for which its claim holds the key.
const SPAN_MS: u64 = 1_000;

#[derive(Clone, Copy, Debug)]
enum Step {
    /// The entry sends a claim, which reaches the log in a later step, or never if `is_lost`.
    Claim { entry: usize, key: usize, is_lost: bool },
    /// One append in flight reaches the log. Appends arrive in any order.
    ApplyAppend { index: usize },
    /// The entry reads up to `count` records. Between its steps, an entry is in effect paused.
    Read { entry: usize, count: usize },
    /// The entry runs its granted calls, or gives them up and releases their keys.
    EndCalls { entry: usize, runs: bool },
    /// The entry restarts under the same name and reads from the oldest record.
    Restart { entry: usize },
    /// The log drops its oldest records, even within the hold time, but never the newest.
    DropOldest { count: usize },
    /// The clock advances.
    Advance { millis: u64 },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut below = |limit: usize| usize::arbitrary(g) % limit;
        let (entry, key) = (below(ENTRIES), below(KEYS));
        match below(100) {
            0..=24 => Self::Claim { entry, key, is_lost: below(4) == 0 },
            25..=46 => Self::ApplyAppend { index: below(16) },
            47..=76 => Self::Read { entry, count: below(8) },
            77..=88 => Self::EndCalls { entry, runs: below(3) > 0 },
            89 => Self::Restart { entry },
            90 => Self::DropOldest { count: below(4) },
            91 => Self::Advance { millis: below(6000) as u64 },
            _ => Self::Advance { millis: below(500) as u64 },
        }
    }
}

struct Entry {
    table: Table,
    holder: Rc<Holder>,
    /// Key and time of sending of each granted claim, by nonce.
    granted: HashMap<u64, (Key, u64)>,
    /// Time of sending of each claim, by nonce.
    sent: HashMap<u64, u64>,
}

impl Entry {
    fn new(index: usize, incarnation: u64) -> Self {
        let holder = Rc::new(Holder { name: index.to_string(), incarnation });
        let table = Table::new(holder.clone(), Duration::from_millis(HOLD_TIME_MS), 100);
        Self { table, holder, granted: HashMap::new(), sent: HashMap::new() }
    }
}

/// Entries over one log, with appends in flight and a clock that only steps advance.
struct Simulation {
    now: u64,
    last_number: u64,
    first_offset: u64,
    log: VecDeque<Record>,
    in_flight: Vec<ClaimRecord>,
    entries: Vec<Entry>,
    /// Times at which the calls of each key ran.
    run_times: HashMap<usize, Vec<u64>>,
}

impl Simulation {
    fn new() -> Self {
        let entries = (0..ENTRIES).map(|index| Entry::new(index, index as u64)).collect();
        let (log, in_flight, run_times) = Default::default();
        Self {
            now: 1_000_000,
            last_number: 100,
            first_offset: 0,
            log,
            in_flight,
            entries,
            run_times,
        }
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Claim { entry, key, is_lost } => self.claim(entry, key, is_lost),
            Step::ApplyAppend { index } => self.apply_append(index),
            Step::Read { entry, count } => self.read(entry, count),
            Step::EndCalls { entry, runs } => self.end_calls(entry, runs),
            Step::Restart { entry } => {
                let incarnation = self.next_number();
                self.entries[entry] = Entry::new(entry, incarnation);
            }
            Step::DropOldest { count } => {
                let count = count.min(self.log.len().saturating_sub(1));
                self.log.drain(..count);
                self.first_offset += count as u64;
            }
            Step::Advance { millis } => self.now += millis,
        }
    }

    fn claim(&mut self, index: usize, key: usize, is_lost: bool) {
        let nonce = self.next_number();
        let entry = &mut self.entries[index];
        entry.sent.insert(nonce, self.now);
        let claim = NewClaim {
            key: nth_key(key),
            digest: 0,
            holder: (*entry.holder).clone(),
            nonce,
            span: SPAN_MS as u32,
        };
        if !is_lost {
            self.in_flight.push(ClaimRecord::Claim(claim));
        }
    }

    fn apply_append(&mut self, index: usize) {
        if self.in_flight.is_empty() {
            return;
        }
        let record = self.in_flight.remove(index % self.in_flight.len());
        let offset = self.first_offset + self.log.len() as u64;
        self.log.push_back(Record { offset, time: self.now, value: record.encode() });
    }

    fn read(&mut self, index: usize, count: usize) {
        let next = self.first_offset + self.log.len() as u64;
        let entry = &mut self.entries[index];
        let from = entry.table.next_offset();
        let records = self.log.iter().filter(|record| record.offset >= from).take(count);
        let page = Page { first: self.first_offset, next, records: records.cloned().collect() };
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

    fn end_calls(&mut self, index: usize, runs: bool) {
        for (nonce, (key, sent)) in std::mem::take(&mut self.entries[index].granted) {
            if runs && self.now - sent < SPAN_MS {
                let key = (0..KEYS).find(|index| nth_key(*index) == key).unwrap();
                self.run_times.entry(key).or_default().push(self.now);
                continue;
            }
            self.in_flight.push(ClaimRecord::Release { key, nonce });
        }
    }
}

fn nth_key(key: usize) -> Key {
    Key::new("north", "jobs", key.to_string().as_bytes())
}

/// Guards against a key that runs twice while a claim can hold it, for any order of appends,
/// reads, pauses, restarts and losses of records. A call can run up to `SPAN_MS` after its claim,
/// so two runs may be closer by that much than the hold time.
#[test]
fn no_interleaving_runs_a_key_twice_while_claimed() {
    fn property(steps: Vec<Step>) -> bool {
        let mut simulation = Simulation::new();
        for step in steps {
            simulation.step(step);
        }
        let are_apart = |pair: &[u64]| pair[1] - pair[0] >= HOLD_TIME_MS - SPAN_MS;
        simulation.run_times.values().all(|times| times.windows(2).all(are_apart))
    }
    let random = Gen::from_size_and_seed(400, 7);
    QuickCheck::new().rng(random).tests(3000).quickcheck(property as fn(Vec<Step>) -> bool);
}

/// Guards against a property that holds only because no interleaving runs a call.
#[test]
fn random_interleavings_run_more_than_fifty_calls() {
    let mut random = Gen::from_size_and_seed(400, 7);
    let mut runs = 0;
    for _ in 0..100 {
        let mut simulation = Simulation::new();
        for step in Vec::<Step>::arbitrary(&mut random) {
            simulation.step(step);
        }
        runs += simulation.run_times.values().map(Vec::len).sum::<usize>();
    }
    assert!(runs > 50, "only `{runs}` calls ran");
}
