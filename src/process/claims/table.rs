//! The claims in force as a function of the log's records.

use std::collections::{HashMap, VecDeque};

use super::key::Key;
use super::record::{ClaimRecord, Holder, Mark, NewClaim, Outcome};
use crate::edge::log::{Page, Record};
use crate::prelude::*;

/// Most names of entries whose newest process is remembered.
const MAX_NAMES: usize = 4096;

/// A claim that won its key.
#[derive(Clone, Debug)]
pub struct Claim {
    pub digest: u64,
    pub holder: Rc<Holder>,
    pub nonce: u64,
    /// Time of the record by the log's clock, in Unix milliseconds.
    pub time: u64,
    /// Time in milliseconds within which the call ends.
    pub span: u32,
    pub outcome: Option<Outcome>,
    doubt: Doubt,
}

/// Whether a claim may have won only because an earlier one is missing from the table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Doubt {
    /// It may have, and a later claim of the key may be the true winner.
    Contested,
    None,
    /// It may have.
    Uncertain,
}

/// What a record meant for the claims of the process that applied it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The result is in the log.
    Ended { nonce: u64 },
    /// Another claim was first.
    Lost { key: Key, nonce: u64 },
    /// The key is free again.
    Released { nonce: u64 },
    /// The claim is the first of its key among those that the table knows at `time`.
    Won { key: Key, nonce: u64, time: u64 },
}

/// Claims by key, bounded by the time for which claims hold and by number.
pub struct Table {
    own: Rc<Holder>,
    /// Time in milliseconds for which a claim holds its key.
    hold: u64,
    limit: usize,
    claims: HashMap<Key, Claim>,
    order: VecDeque<(u64, Key, u64)>,
    names: HashMap<String, Rc<Holder>>,
    /// Offset of the first record that was read without a gap.
    start: Option<u64>,
    next: u64,
    /// Newest time of a record.
    clock: u64,
    /// Claims before this time may be missing.
    since: u64,
    survived: bool,
}

impl Table {
    /// Creates an empty table for the process `own`.
    pub fn new(own: Rc<Holder>, hold: Duration, limit: usize) -> Self {
        Self {
            own,
            hold: hold.as_millis() as u64,
            limit,
            claims: HashMap::new(),
            order: VecDeque::new(),
            names: HashMap::new(),
            start: None,
            next: 0,
            clock: 0,
            since: 0,
            survived: false,
        }
    }

    /// Offset of the next record to read.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Starts reading at an offset; what lies before counts as missing.
    pub fn start_at(&mut self, offset: u64) {
        if self.start.is_none() {
            self.next = offset;
        }
    }

    /// Number of claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether the table holds no claim.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// The claim that holds a key at `now`, in Unix milliseconds.
    pub fn get(&self, key: &Key, now: u64) -> Option<&Claim> {
        self.claims.get(key).filter(|claim| now.saturating_sub(claim.time) < self.hold)
    }

    /// Whether another process has since started under the holder's name.
    pub fn is_replaced(&self, holder: &Holder) -> bool {
        let newest = self.names.get(&holder.name);
        newest.is_some_and(|newest| newest.incarnation != holder.incarnation)
    }

    /// Whether every claim that could hold the key at `now` is known; `issued` is the earliest
    /// time at which the key could have been used.
    pub fn covers(&self, now: u64, issued: Option<u64>) -> bool {
        self.start.is_some()
            && (self.since == 0
                || now.saturating_sub(self.since) >= self.hold
                || issued.is_some_and(|issued| issued >= self.since))
    }

    /// The process's own mark; `reset` announces a loss of records.
    ///
    /// A table that survived a loss names no base, because its oldest claims are in no log.
    pub fn mark(&self, reset: bool, now: u64) -> Mark {
        let base = self.start.filter(|_| !self.survived && self.covers(now, None));
        Mark { writer: (*self.own).clone(), base, reset }
    }

    /// Applies a page. Returns `None` if the log has lost records that were read before; the
    /// next read then starts over, and what the table knows stays.
    pub fn apply(&mut self, page: &Page) -> Option<Vec<Event>> {
        if page.next < self.next {
            self.next = 0;
            self.start = Some(0);
            self.survived = true;
            return None;
        }
        self.check_start(page);
        let events = page.records.iter().filter_map(|record| self.apply_record(record));
        let events = events.collect();
        if page.records.is_empty() {
            self.next = page.next;
        }
        Some(events)
    }

    fn check_start(&mut self, page: &Page) {
        let is_gap = match self.start {
            None => page.first.max(self.next) > 0,
            Some(_) => page.first > self.next,
        };
        if self.start.is_none() || is_gap {
            self.next = page.first.max(self.next);
            self.start = Some(self.next);
        }
        if !is_gap {
            return;
        }
        // An empty stream has lost only records that are older than the retention.
        self.since = page.records.first().map_or(0, |record| record.time);
    }

    fn apply_record(&mut self, record: &Record) -> Option<Event> {
        self.next = record.offset + 1;
        self.clock = self.clock.max(record.time);
        self.expire();
        match ClaimRecord::decode(&record.value)? {
            ClaimRecord::Claim(claim) => self.claim(claim),
            ClaimRecord::Mark(mark) => {
                self.read_mark(mark);
                None
            }
            ClaimRecord::Release { key, nonce } => self.release(key, nonce),
            ClaimRecord::Result { key, nonce, outcome } => {
                let claim = self.claims.get_mut(&key)?;
                if claim.nonce != nonce {
                    return None;
                }
                claim.outcome = Some(outcome);
                (*claim.holder == *self.own).then_some(Event::Ended { nonce })
            }
        }
    }

    fn claim(&mut self, new: NewClaim) -> Option<Event> {
        let NewClaim { key, digest, holder, nonce, span } = new;
        let holder = self.intern(holder);
        let is_own = *holder == *self.own;
        let time = self.clock;
        let known = self.claims.get(&key).map(|claim| (claim.nonce, claim.doubt));
        let doubt = match known {
            Some((winner, _)) if winner == nonce => return None,
            Some((_, Doubt::None)) => return is_own.then_some(Event::Lost { key, nonce }),
            // The newest of the possible winners holds the key longest.
            Some(_) => Doubt::Contested,
            None if self.covers(time, None) => Doubt::None,
            None => Doubt::Uncertain,
        };
        self.claims.insert(key, Claim { digest, holder, nonce, time, span, outcome: None, doubt });
        self.order.push_back((time, key, nonce));
        if doubt == Doubt::Contested {
            return is_own.then_some(Event::Lost { key, nonce });
        }
        if self.claims.len() > self.limit {
            self.evict();
        }
        is_own.then_some(Event::Won { key, nonce, time })
    }

    fn release(&mut self, key: Key, nonce: u64) -> Option<Event> {
        let claim = self.claims.get(&key)?;
        if claim.nonce != nonce || claim.doubt == Doubt::Contested {
            return None;
        }
        let claim = self.claims.remove(&key)?;
        (*claim.holder == *self.own).then_some(Event::Released { nonce })
    }

    fn read_mark(&mut self, mark: Mark) {
        self.intern(mark.writer);
        if mark.reset && !self.survived {
            self.since = self.clock;
        }
        if mark.base.zip(self.start).is_some_and(|(base, start)| start <= base) {
            self.since = 0;
        }
    }

    fn intern(&mut self, holder: Holder) -> Rc<Holder> {
        if let Some(known) = self.names.get(&holder.name).filter(|known| ***known == holder) {
            return known.clone();
        }
        if self.names.len() >= MAX_NAMES {
            self.names.clear();
        }
        let holder = Rc::new(holder);
        self.names.insert(holder.name.clone(), holder.clone());
        holder
    }

    fn expire(&mut self) {
        while let Some((time, key, nonce)) = self.order.front().copied() {
            if self.clock - time < self.hold {
                return;
            }
            self.order.pop_front();
            self.remove(&key, nonce);
        }
    }

    /// Drops the oldest claim; the table is incomplete from then on.
    fn evict(&mut self) {
        while let Some((time, key, nonce)) = self.order.pop_front() {
            if self.remove(&key, nonce) {
                self.since = self.since.max(time + 1);
                return;
            }
        }
    }

    fn remove(&mut self, key: &Key, nonce: u64) -> bool {
        let is_current = self.claims.get(key).is_some_and(|claim| claim.nonce == nonce);
        is_current && self.claims.remove(key).is_some()
    }
}
