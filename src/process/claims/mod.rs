//! Keyed calls run at most once: claims through the platform's log (section 7 of the design page).

pub mod admit;
pub mod bucket;
pub mod duplicate;
pub mod grant;
pub mod health;
pub mod key;
pub mod limits;
pub mod lookup;
pub mod outbox;
pub mod pending_call;
pub mod record;
pub mod response_cache;
pub mod signal;
pub mod table;
pub mod tasks;

use std::collections::{HashMap, HashSet};
use std::time::{SystemTime, UNIX_EPOCH};

use bucket::Bucket;
use health::Health;
use key::Key;
use limits::ClaimLimits;
use outbox::Outbox;
use pending_call::{ClaimOutcome, PendingCall};
use record::{ClaimRecord, Holder};
use response_cache::ResponseCache;
use signal::Signal;
use table::{Event, Table};

use super::metrics::Metrics;
use crate::prelude::*;

/// Longest time from a booking's arrival to its confirmed claim. Of the 100 ms within which the
/// caller must know that its booking was not run, 10 ms are left for timers and the response.
pub const CLAIM_LIMIT: Duration = Duration::from_millis(90);
/// Appends a second of all entries together, a share of the several hundred that the log takes.
const FLEET_APPENDS: f64 = 200.0;
/// Appends of one entry in excess of its rate; 16 entries together append at most 264 times in
/// any second.
const BURST: f64 = 4.0;
/// Most claims that were given up and may still appear in the log. Older ones are forgotten and
/// hold their keys until they expire.
const MAX_ABANDONED: usize = 10_000;
/// Time between two looks whether all records have been appended.
const FLUSH_INTERVAL: Duration = Duration::from_millis(5);
/// Entries assumed before a document is in force.
const DEFAULT_ENTRIES: u32 = 16;

/// The claims of one entry, shared by its tasks.
pub struct Claims {
    holder: Rc<Holder>,
    limits: ClaimLimits,
    metrics: Rc<Metrics>,
    state: RefCell<State>,
    /// Tells the task that appends that the records under way have been read back.
    read_back: Signal,
    /// Wakes the task that appends.
    work: Signal,
}

struct State {
    /// Claims that were sent and given up before they were read back.
    abandoned: HashSet<u64>,
    active: HashMap<Key, Rc<PendingCall>>,
    bucket: Bucket,
    health: Health,
    responses: ResponseCache,
    outbox: Outbox,
    /// Claims whose release is not yet in the table.
    released: HashSet<u64>,
    reset_due: bool,
    table: Table,
}

impl Claims {
    /// Creates the claims of the entry `name`.
    pub fn new(name: &str, limits: ClaimLimits, metrics: Rc<Metrics>) -> Self {
        let holder = Rc::new(Holder { name: name.into(), incarnation: rand::random() });
        let rate = FLEET_APPENDS / f64::from(DEFAULT_ENTRIES);
        let state = State {
            abandoned: HashSet::new(),
            active: HashMap::new(),
            bucket: Bucket::new(rate, BURST, Instant::now()),
            health: Health::default(),
            responses: ResponseCache::new(limits.response_bytes, limits.hold()),
            outbox: Outbox::default(),
            released: HashSet::new(),
            reset_due: false,
            table: Table::new(holder.clone(), limits.hold(), limits.table_entries),
        };
        let (read_back, work) = Default::default();
        Self { holder, limits, metrics, state: RefCell::new(state), read_back, work }
    }

    /// Sets the greatest number of entries, which share the appends.
    pub fn set_entries(&self, entries: u32) {
        let rate = FLEET_APPENDS / f64::from(entries.max(1));
        self.state.borrow_mut().bucket.set_rate(rate, Instant::now());
    }

    /// Whether new claims are taken.
    pub fn is_open(&self) -> bool {
        self.state.borrow().health.is_open(CLAIM_LIMIT, Instant::now())
    }

    /// Whether every result and release has reached the log.
    pub fn is_flushed(&self) -> bool {
        self.state.borrow().outbox.is_empty()
    }

    /// Waits until every result and release has reached the log, at most for `limit`.
    pub async fn flush(&self, limit: Duration) {
        let end = Instant::now() + limit;
        while !self.is_flushed() && Instant::now() < end {
            monoio::time::sleep(FLUSH_INTERVAL).await;
        }
    }

    /// Handles what the records of a page meant for the own claims.
    fn handle(&self, events: Vec<Event>) {
        for event in events {
            match event {
                Event::Ended { nonce } => self.confirm(nonce),
                Event::Lost { key, nonce } => self.decide(&key, nonce, ClaimOutcome::Lost),
                Event::Released { nonce } => {
                    self.confirm(nonce);
                    self.state.borrow_mut().released.remove(&nonce);
                }
                Event::Won { key, nonce, time } => self.won(&key, nonce, time),
            }
        }
    }

    fn won(&self, key: &Key, nonce: u64, time: u64) {
        self.confirm(nonce);
        if self.state.borrow_mut().abandoned.remove(&nonce) {
            return self.release(*key, nonce);
        }
        let Some(call) = self.call(key, nonce) else { return };
        let is_covered = self.state.borrow().table.covers(time, call.issued);
        call.decide(if is_covered { ClaimOutcome::Won } else { ClaimOutcome::Uncovered });
    }

    fn decide(&self, key: &Key, nonce: u64, claim_outcome: ClaimOutcome) {
        self.confirm(nonce);
        self.state.borrow_mut().abandoned.remove(&nonce);
        if let Some(call) = self.call(key, nonce) {
            call.decide(claim_outcome);
        }
    }

    fn call(&self, key: &Key, nonce: u64) -> Option<Rc<PendingCall>> {
        let state = self.state.borrow();
        state.active.get(key).filter(|call| call.nonce == nonce).cloned()
    }

    /// Settles the append under way if it has carried this number: its response is not needed.
    fn confirm(&self, nonce: u64) {
        if self.state.borrow().outbox.is_under_way(nonce) {
            self.read_back.notify();
        }
    }

    fn abandon(&self, nonce: u64) {
        let mut state = self.state.borrow_mut();
        if state.abandoned.len() >= MAX_ABANDONED {
            state.abandoned.clear();
        }
        state.abandoned.insert(nonce);
    }

    fn release(&self, key: Key, nonce: u64) {
        let mut state = self.state.borrow_mut();
        state.released.insert(nonce);
        state.outbox.push(ClaimRecord::Release { key, nonce });
        self.work.notify();
    }
}

/// The wall clock in Unix milliseconds.
fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
