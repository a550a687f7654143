//! The table of claims in force. It is built from the records of the stream `claims` alone, so
//! that entries that have read the same records agree on the winner of every key.

use std::collections::{HashMap, VecDeque};

use super::key::Key;
use super::record::{CallResult, ClaimRecord, Holder, Mark, NewClaim};
use crate::edge::log::{Page, Record};
use crate::prelude::*;

/// Limit on entry names for which the newest process is tracked.
const MAX_HOLDER_NAMES: usize = 4096;

/// The claim that holds a key.
#[derive(Clone, Debug)]
pub struct Claim {
    pub digest: u64,
    pub holder: Rc<Holder>,
    pub nonce: u64,
    /// Time of the record by the log's clock, in Unix milliseconds.
    pub time: u64,
    /// Time in milliseconds after `time` within which the call ends.
    pub span: u32,
    /// Result of the call, once it is in the log.
    pub outcome: Option<CallResult>,
    certainty: Certainty,
}

/// Whether a claim is known to be the first of its key, or an earlier one may be missing from the
/// table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Certainty {
    /// An earlier claim may be missing, and the key has further claims: any may be the winner.
    Contested,
    /// No earlier claim is missing.
    Certain,
    /// An earlier claim may be missing, and the table has no other claim of the key.
    Uncertain,
}

/// The effect of a record on a claim of the process that applies it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The result of the call is in the log.
    Ended { nonce: u64 },
    /// Another claim of the key was first, or may have been if an earlier one is missing.
    Lost { key: Key, nonce: u64 },
    /// The key is free again.
    Released { nonce: u64 },
    /// The claim is the first of its key in the table at `time`. The table may miss an earlier
    /// one; see `Table::is_complete`.
    Won { key: Key, nonce: u64, time: u64 },
}

/// Claims by key. A claim is dropped when its hold time is over, or as the oldest of a full table.
pub struct Table {
    own_holder: Rc<Holder>,
    /// Time in milliseconds for which a claim holds its key.
    hold_ms: u64,
    max_claims: usize,
    claims: HashMap<Key, Claim>,
    /// Time, key and nonce of claims, oldest first.
    insertion_order: VecDeque<(u64, Key, u64)>,
    /// Newest process of each entry name.
    newest_holders: HashMap<String, Rc<Holder>>,
    /// Offset from which on all records have been read without a gap; `None` before the first
    /// page.
    contiguous_from: Option<u64>,
    next_offset: u64,
    /// Newest time of a record, which is the clock of the table.
    newest_time: u64,
    /// Claims before this time may be missing; zero if none is.
    missing_before: u64,
    /// The table has claims whose records the log has lost.
    survived_reset: bool,
}

impl Table {
    /// Creates an empty table of at most `max_claims` claims for the process `own_holder`; each
    /// claim holds its key for `hold_time`.
    pub fn new(own_holder: Rc<Holder>, hold_time: Duration, max_claims: usize) -> Self {
        Self {
            own_holder,
            hold_ms: hold_time.as_millis() as u64,
            max_claims,
            claims: HashMap::new(),
            insertion_order: VecDeque::new(),
            newest_holders: HashMap::new(),
            contiguous_from: None,
            next_offset: 0,
            newest_time: 0,
            missing_before: 0,
            survived_reset: false,
        }
    }

    /// Offset of the next record to read.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Starts reading at an offset; claims before it count as missing.
    pub fn start_at(&mut self, offset: u64) {
        if self.contiguous_from.is_none() {
            self.next_offset = offset;
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
        self.claims.get(key).filter(|claim| now.saturating_sub(claim.time) < self.hold_ms)
    }

    /// Whether another process has since started under the holder's name.
    pub fn is_superseded(&self, holder: &Holder) -> bool {
        let newest = self.newest_holders.get(&holder.name);
        newest.is_some_and(|newest| newest.incarnation != holder.incarnation)
    }

    /// Whether the table has every claim that could hold a key at `now`. `issued` is the earliest
    /// time at which the key can have been used; a missing claim from before does not matter.
    pub fn is_complete(&self, now: u64, issued: Option<u64>) -> bool {
        self.contiguous_from.is_some()
            && (self.missing_before == 0
                || now.saturating_sub(self.missing_before) >= self.hold_ms
                || issued.is_some_and(|issued| issued >= self.missing_before))
    }

    /// Creates a mark of this process; `reset` reports that the log has lost records.
    ///
    /// A table that survived a loss names no base: the log no longer has all of its claims, so a
    /// new reader would miss them.
    pub fn new_mark(&self, reset: bool, now: u64) -> Mark {
        let base =
            self.contiguous_from.filter(|_| !self.survived_reset && self.is_complete(now, None));
        Mark { writer: (*self.own_holder).clone(), base, reset }
    }

    /// Applies a page. Returns `None` if the log has lost records that were read before: the table
    /// then keeps its claims, and the next read starts at offset zero.
    pub fn apply(&mut self, page: &Page) -> Option<Vec<Event>> {
        if page.next < self.next_offset {
            self.next_offset = 0;
            self.contiguous_from = Some(0);
            self.survived_reset = true;
            return None;
        }
        self.detect_gap(page);
        let events = page.records.iter().filter_map(|record| self.apply_record(record));
        let events = events.collect();
        if page.records.is_empty() {
            self.next_offset = page.next;
        }
        Some(events)
    }

    fn detect_gap(&mut self, page: &Page) {
        let is_gap = match self.contiguous_from {
            None => page.first.max(self.next_offset) > 0,
            Some(_) => page.first > self.next_offset,
        };
        if self.contiguous_from.is_none() || is_gap {
            self.next_offset = page.first.max(self.next_offset);
            self.contiguous_from = Some(self.next_offset);
        }
        if !is_gap {
            return;
        }
        // If the stream is empty, the records of the gap are older than the log's retention, so
        // none of them is a claim in force.
        self.missing_before = page.records.first().map_or(0, |record| record.time);
    }

    fn apply_record(&mut self, record: &Record) -> Option<Event> {
        self.next_offset = record.offset + 1;
        self.newest_time = self.newest_time.max(record.time);
        self.remove_expired();
        match ClaimRecord::decode(&record.value)? {
            ClaimRecord::Claim(claim) => self.apply_claim(claim),
            ClaimRecord::Mark(mark) => {
                self.apply_mark(mark);
                None
            }
            ClaimRecord::Release { key, nonce } => self.apply_release(key, nonce),
            ClaimRecord::Result { key, nonce, outcome } => {
                let claim = self.claims.get_mut(&key)?;
                if claim.nonce != nonce {
                    return None;
                }
                claim.outcome = Some(outcome);
                (*claim.holder == *self.own_holder).then_some(Event::Ended { nonce })
            }
        }
    }

    fn apply_claim(&mut self, new: NewClaim) -> Option<Event> {
        let NewClaim { key, digest, holder, nonce, span } = new;
        let holder = self.intern_holder(holder);
        let is_own = *holder == *self.own_holder;
        let time = self.newest_time;
        let current = self.claims.get(&key).map(|claim| (claim.nonce, claim.certainty));
        let certainty = match current {
            Some((current_nonce, _)) if current_nonce == nonce => return None,
            Some((_, Certainty::Certain)) => return is_own.then_some(Event::Lost { key, nonce }),
            // Any of these claims may be the winner. The newest is kept, as it holds the key
            // longest.
            Some(_) => Certainty::Contested,
            None if self.is_complete(time, None) => Certainty::Certain,
            None => Certainty::Uncertain,
        };
        self.claims
            .insert(key, Claim { digest, holder, nonce, time, span, outcome: None, certainty });
        self.insertion_order.push_back((time, key, nonce));
        if certainty == Certainty::Contested {
            return is_own.then_some(Event::Lost { key, nonce });
        }
        if self.claims.len() > self.max_claims {
            self.evict_oldest();
        }
        is_own.then_some(Event::Won { key, nonce, time })
    }

    fn apply_release(&mut self, key: Key, nonce: u64) -> Option<Event> {
        let claim = self.claims.get(&key)?;
        if claim.nonce != nonce || claim.certainty == Certainty::Contested {
            return None;
        }
        let claim = self.claims.remove(&key)?;
        (*claim.holder == *self.own_holder).then_some(Event::Released { nonce })
    }

    /// Applies a mark. A reported loss of records makes the table incomplete, unless the table
    /// still has the lost claims; a base at or after the offset from which it has read makes it
    /// complete.
    fn apply_mark(&mut self, mark: Mark) {
        self.intern_holder(mark.writer);
        if mark.reset && !self.survived_reset {
            self.missing_before = self.newest_time;
        }
        if mark.base.zip(self.contiguous_from).is_some_and(|(base, from)| from <= base) {
            self.missing_before = 0;
        }
    }

    fn intern_holder(&mut self, holder: Holder) -> Rc<Holder> {
        if let Some(known) =
            self.newest_holders.get(&holder.name).filter(|known| ***known == holder)
        {
            return known.clone();
        }
        if self.newest_holders.len() >= MAX_HOLDER_NAMES {
            self.newest_holders.clear();
        }
        let holder = Rc::new(holder);
        self.newest_holders.insert(holder.name.clone(), holder.clone());
        holder
    }

    fn remove_expired(&mut self) {
        while let Some((time, key, nonce)) = self.insertion_order.front().copied() {
            if self.newest_time - time < self.hold_ms {
                return;
            }
            self.insertion_order.pop_front();
            self.remove_claim(&key, nonce);
        }
    }

    /// Drops the oldest claim and records that claims up to its time may be missing.
    fn evict_oldest(&mut self) {
        while let Some((time, key, nonce)) = self.insertion_order.pop_front() {
            if self.remove_claim(&key, nonce) {
                self.missing_before = self.missing_before.max(time + 1);
                return;
            }
        }
    }

    fn remove_claim(&mut self, key: &Key, nonce: u64) -> bool {
        let is_current = self.claims.get(key).is_some_and(|claim| claim.nonce == nonce);
        is_current && self.claims.remove(key).is_some()
    }
}
