//! At-most-once execution of keyed calls, by claims in the platform's log (section 7 of the design
//! page).

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

use bucket::TokenBucket;
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

/// Longest time from the arrival of a keyed call to its confirmed claim. A keyed call that
/// cannot run must be refused within 100 ms; the other 10 ms are for timers and the response.
pub const CLAIM_TIMEOUT: Duration = Duration::from_millis(90);
/// Append rate that all entries share. The log accepts several hundred appends per second in
/// total.
const TOTAL_APPENDS_PER_SECOND: f64 = 200.0;
/// Appends that one entry can send at once on top of its rate. 16 entries together then send at
/// most 264 appends in any second.
const BURST_APPENDS: f64 = 4.0;
/// Limit on abandoned claims that are tracked until they appear in the log. Beyond it, the tracked
/// claims are forgotten: they are not released, and each holds its key until it expires.
const MAX_ABANDONED_CLAIMS: usize = 10_000;
/// Interval at which `flush` checks whether all records have been appended.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Number of entries that share the append rate until a document is in force.
const DEFAULT_ENTRIES: u32 = 16;

/// The claims of one entry, shared by its tasks.
pub struct Claims {
    holder: Rc<Holder>,
    limits: ClaimLimits,
    metrics: Rc<Metrics>,
    state: RefCell<State>,
    /// Wakes the append task when a record of its append in flight has been read from the stream.
    append_read: Signal,
    /// Wakes the append task when a record has been queued.
    append_requested: Signal,
}

struct State {
    /// Nonces of claims that were sent and given up before they were read from the stream.
    abandoned: HashSet<u64>,
    pending_calls: HashMap<Key, Rc<PendingCall>>,
    bucket: TokenBucket,
    health: Health,
    responses: ResponseCache,
    outbox: Outbox,
    /// Nonces of claims whose release is queued or sent but not yet in the table.
    pending_releases: HashSet<u64>,
    /// The log has lost records, and no confirmed mark reports the loss yet.
    reset_pending: bool,
    table: Table,
}

impl Claims {
    /// Creates the claims of the entry `name`, under a new random incarnation.
    pub fn new(name: &str, limits: ClaimLimits, metrics: Rc<Metrics>) -> Self {
        let holder = Rc::new(Holder { name: name.into(), incarnation: rand::random() });
        let rate = TOTAL_APPENDS_PER_SECOND / f64::from(DEFAULT_ENTRIES);
        let state = State {
            abandoned: HashSet::new(),
            pending_calls: HashMap::new(),
            bucket: TokenBucket::new(rate, BURST_APPENDS, Instant::now()),
            health: Health::default(),
            responses: ResponseCache::new(limits.response_bytes, limits.hold_time()),
            outbox: Outbox::default(),
            pending_releases: HashSet::new(),
            reset_pending: false,
            table: Table::new(holder.clone(), limits.hold_time(), limits.table_entries),
        };
        let (append_read, append_requested) = Default::default();
        Self { holder, limits, metrics, state: RefCell::new(state), append_read, append_requested }
    }

    /// Sets the largest number of entries that can run at once and share the append rate.
    pub fn set_entries(&self, entries: u32) {
        let rate = TOTAL_APPENDS_PER_SECOND / f64::from(entries.max(1));
        self.state.borrow_mut().bucket.set_rate(rate, Instant::now());
    }

    /// Whether the log is expected to confirm new claims in time.
    pub fn is_accepting(&self) -> bool {
        self.state.borrow().health.can_confirm(CLAIM_TIMEOUT, Instant::now())
    }

    /// Whether every result and release has reached the log.
    pub fn is_flushed(&self) -> bool {
        self.state.borrow().outbox.is_empty()
    }

    /// Waits until every result and release has reached the log, for at most `timeout`.
    pub async fn flush(&self, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        while !self.is_flushed() && Instant::now() < deadline {
            monoio::time::sleep(FLUSH_POLL_INTERVAL).await;
        }
    }

    /// Handles the events that a page of records raised for this process's claims.
    fn handle_events(&self, events: Vec<Event>) {
        for event in events {
            match event {
                Event::Ended { nonce } => self.confirm_by_read(nonce),
                Event::Lost { key, nonce } => self.record_outcome(&key, nonce, ClaimOutcome::Lost),
                Event::Released { nonce } => {
                    self.confirm_by_read(nonce);
                    self.state.borrow_mut().pending_releases.remove(&nonce);
                }
                Event::Won { key, nonce, time } => self.handle_won(&key, nonce, time),
            }
        }
    }

    fn handle_won(&self, key: &Key, nonce: u64, time: u64) {
        self.confirm_by_read(nonce);
        if self.state.borrow_mut().abandoned.remove(&nonce) {
            return self.release(*key, nonce);
        }
        let Some(call) = self.find_pending(key, nonce) else { return };
        let is_complete = self.state.borrow().table.is_complete(time, call.issued);
        call.set_outcome(if is_complete { ClaimOutcome::Won } else { ClaimOutcome::Unverified });
    }

    fn record_outcome(&self, key: &Key, nonce: u64, claim_outcome: ClaimOutcome) {
        self.confirm_by_read(nonce);
        self.state.borrow_mut().abandoned.remove(&nonce);
        if let Some(call) = self.find_pending(key, nonce) {
            call.set_outcome(claim_outcome);
        }
    }

    fn find_pending(&self, key: &Key, nonce: u64) -> Option<Rc<PendingCall>> {
        let state = self.state.borrow();
        state.pending_calls.get(key).filter(|call| call.nonce == nonce).cloned()
    }

    /// Confirms the append in flight if it contains this nonce, without waiting for its response.
    fn confirm_by_read(&self, nonce: u64) {
        if self.state.borrow().outbox.is_in_flight(nonce) {
            self.append_read.notify();
        }
    }

    /// Tracks a claim that was given up, so that its key is released if the claim wins.
    fn record_abandoned(&self, nonce: u64) {
        let mut state = self.state.borrow_mut();
        if state.abandoned.len() >= MAX_ABANDONED_CLAIMS {
            state.abandoned.clear();
        }
        state.abandoned.insert(nonce);
    }

    fn release(&self, key: Key, nonce: u64) {
        let mut state = self.state.borrow_mut();
        state.pending_releases.insert(nonce);
        state.outbox.push_record(ClaimRecord::Release { key, nonce });
        self.append_requested.notify();
    }
}

/// The wall clock in Unix milliseconds.
fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
