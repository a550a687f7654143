//! The evacuations of failure domains that this entry knows.
//!
//! The set is complete up to a position of the routes' feed: it holds the newest record before that
//! position of each domain that was evacuated there. Any other record from a lower one is therefore a
//! late copy.
//!
//! A directory that returns from an older copy may lack the beginning or the end of an evacuation.
//! Records of an earlier history that the new one lacks hold until they are superseded. Ended
//! evacuations are kept for a time, so that the copy of a beginning does not begin them again.

use std::collections::HashMap;

use super::evacuation_effect::EvacuationEffect;
use super::evacuation_ramp::EvacuationRamp;
use super::evacuation_record::EvacuationRecord;
use super::sharing::freshness::CopyState;
use crate::edge::directory::EvacuationState;
use crate::edge::position::Position;
use crate::prelude::*;

/// Largest age of a copy from which the directory returns.
pub const MAX_COPY_AGE: Duration = Duration::from_secs(60);
/// Most domains that are kept. The names come from records that anybody may write to the feed.
pub const MAX_DOMAINS: usize = 64;

/// An evacuation of one domain that is active or has ended.
#[derive(Clone, Copy, Debug)]
struct Evacuation {
    position: Position,
    /// Position of the newest record by which the evacuation began, if it is known.
    began: Option<Position>,
    state: EvacuationState,
    ramp: EvacuationRamp,
}

impl Evacuation {
    /// Sort key of the records of one domain. At equal positions the end is newer, as it was derived
    /// from a snapshot that lacks the record.
    fn order(position: Position, state: EvacuationState) -> (Position, bool) {
        (position, state == EvacuationState::Ended)
    }

    /// Whether a record repeats, in a later history, the one by which this evacuation began. A copy
    /// keeps the offsets of its records.
    fn is_copied_begin(&self, record: &EvacuationRecord) -> bool {
        self.state == EvacuationState::Ended
            && record.state == EvacuationState::Active
            && self.began.is_some_and(|began| {
                began.history < record.position.history && began.offset == record.position.offset
            })
    }
}

/// The newest record of each domain, and when this entry learned of it.
#[derive(Debug)]
pub struct Evacuations {
    /// Time from the acknowledgement of a record until no call reaches the domain.
    limit: Duration,
    domains: HashMap<Rc<str>, Evacuation>,
    /// Position up to which the set is complete.
    complete_to: Position,
}

impl Evacuations {
    /// Creates an empty set.
    pub fn new(limit: Duration) -> Self {
        Self { limit, domains: HashMap::default(), complete_to: Position::default() }
    }

    /// The share of calls that may use the targets of a domain, from 0 to 1.
    pub fn share(&self, domain: &str, now: Instant) -> f64 {
        let evacuation = self.domains.get(domain);
        evacuation.map_or(1.0, |one| one.ramp.share(one.state, self.limit, now))
    }

    /// Whether no call may use the targets of a domain.
    pub fn is_closed(&self, domain: &str, now: Instant) -> bool {
        self.share(domain, now) <= 0.0
    }

    /// Whether all calls may use all domains.
    pub fn is_empty(&self) -> bool {
        self.domains.is_empty()
    }

    /// Number of domains that are evacuated.
    pub fn active_count(&self) -> usize {
        self.domains.values().filter(|one| one.state == EvacuationState::Active).count()
    }

    /// The newest record of each domain, sorted by domain. Ended ones are included, so that a late
    /// copy of their beginning is recognized by others.
    pub fn records(&self) -> Vec<EvacuationRecord> {
        let record = |(domain, one): (&Rc<str>, &Evacuation)| EvacuationRecord {
            domain: domain.clone(),
            position: one.position,
            state: one.state,
        };
        let mut records: Vec<EvacuationRecord> = self.domains.iter().map(record).collect();
        records.sort_by(|first, second| first.domain.cmp(&second.domain));
        records
    }

    /// Applies one record. `copy` is the state of the entry's copy right before it: if it was
    /// stale, the record may be so old that there is no time left for a ramp.
    pub fn apply(
        &mut self,
        record: &EvacuationRecord,
        copy: CopyState,
        now: Instant,
    ) -> EvacuationEffect {
        match record.position < self.complete_to {
            true => EvacuationEffect::Unchanged,
            false => self.put(record, copy, now),
        }
    }

    /// Applies the records of a snapshot that ends at `end`. Returns the records that have an effect.
    ///
    /// Known evacuations that the snapshot lacks have ended, unless they began at `end` or later or in
    /// an earlier history, or this entry's own set is complete beyond it.
    pub fn apply_snapshot(
        &mut self,
        records: &[EvacuationRecord],
        end: Position,
        copy: CopyState,
        now: Instant,
    ) -> Vec<(EvacuationRecord, EvacuationEffect)> {
        self.apply_set(records, end, end >= self.complete_to, copy, now)
    }

    /// Applies the whole set of another entry, complete up to `end`, as a snapshot. A set
    /// with `MAX_DOMAINS` active evacuations may lack some, so that it ends none.
    pub fn apply_shared(
        &mut self,
        records: &[EvacuationRecord],
        end: Position,
        copy: CopyState,
        now: Instant,
    ) -> Vec<(EvacuationRecord, EvacuationEffect)> {
        let is_active = |record: &&EvacuationRecord| record.state == EvacuationState::Active;
        let is_whole = records.iter().filter(is_active).count() < MAX_DOMAINS;
        let is_newer = is_whole && end >= self.complete_to;
        self.apply_set(records, end, is_newer, copy, now)
    }

    fn apply_set(
        &mut self,
        records: &[EvacuationRecord],
        end: Position,
        is_newer: bool,
        copy: CopyState,
        now: Instant,
    ) -> Vec<(EvacuationRecord, EvacuationEffect)> {
        let mut effects = if is_newer { self.end_missing(records, end, now) } else { Vec::new() };
        for record in records {
            let effect = match is_newer {
                true => self.put(record, copy, now),
                false => self.apply(record, copy, now),
            };
            effects.push((record.clone(), effect));
        }
        if is_newer {
            self.set_complete_to(end, now);
        }
        effects.retain(|(_, effect)| *effect != EvacuationEffect::Unchanged);
        effects
    }

    /// Records that all changes before `end` were applied, and drops the ended evacuations of which
    /// neither a ramp nor a copy is left.
    pub fn set_complete_to(&mut self, end: Position, now: Instant) {
        if self.active_count() < MAX_DOMAINS {
            self.complete_to = self.complete_to.max(end);
        }
        let (limit, complete_to) = (self.limit, self.complete_to);
        self.domains.retain(|_, one| {
            one.state == EvacuationState::Active
                || one.position >= complete_to
                || one.ramp.share(one.state, limit, now) < 1.0
                || now.saturating_duration_since(one.ramp.since) < MAX_COPY_AGE
        });
    }

    /// Ends the evacuations of the domains that a set which is complete up to `end` lacks.
    fn end_missing(
        &mut self,
        present: &[EvacuationRecord],
        end: Position,
        now: Instant,
    ) -> Vec<(EvacuationRecord, EvacuationEffect)> {
        let is_present = |domain: &str| present.iter().any(|record| &*record.domain == domain);
        let missing = self.domains.iter().filter(|(domain, one)| {
            one.state == EvacuationState::Active
                && one.position < end
                && one.position.history == end.history
                && !is_present(domain)
        });
        let ended = missing.map(|(domain, one)| EvacuationRecord {
            domain: domain.clone(),
            position: one.position.max(end.previous()),
            state: EvacuationState::Ended,
        });
        let ended: Vec<EvacuationRecord> = ended.collect();
        let end_one = |record: EvacuationRecord| {
            let effect = self.put(&record, CopyState::Fresh, now);
            (record, effect)
        };
        ended.into_iter().map(end_one).collect()
    }

    /// Stores a record unless a newer one of the domain is known.
    fn put(
        &mut self,
        record: &EvacuationRecord,
        copy: CopyState,
        now: Instant,
    ) -> EvacuationEffect {
        let EvacuationRecord { domain, position, state } = record;
        if let Some(known) = self.domains.get_mut(domain) {
            let known_order = Evacuation::order(known.position, known.state);
            if Evacuation::order(*position, *state) <= known_order || known.is_copied_begin(record)
            {
                return EvacuationEffect::Unchanged;
            }
            known.position = *position;
            if *state == EvacuationState::Active {
                known.began = Some(*position);
            }
            if known.state == *state {
                return EvacuationEffect::Renewed;
            }
        } else if !self.make_room() {
            return match state {
                EvacuationState::Active => EvacuationEffect::Refused,
                EvacuationState::Ended => EvacuationEffect::Unchanged,
            };
        }
        let known = self.domains.get(domain);
        let was_known = known.is_some();
        let began = match state {
            EvacuationState::Active => Some(*position),
            EvacuationState::Ended => known.and_then(|known| known.began),
        };
        let start_share = match (state, copy) {
            (EvacuationState::Active, CopyState::Stale) => 0.0,
            // A ramp that the record interrupts continues from its share.
            (EvacuationState::Active, CopyState::Fresh) | (EvacuationState::Ended, _) => {
                self.share(domain, now)
            }
        };
        let ramp = EvacuationRamp { start_share, since: now };
        let evacuation = Evacuation { position: *position, began, state: *state, ramp };
        self.domains.insert(domain.clone(), evacuation);
        match state {
            EvacuationState::Active => EvacuationEffect::Began,
            EvacuationState::Ended if was_known => EvacuationEffect::Ended,
            EvacuationState::Ended => EvacuationEffect::Renewed,
        }
    }

    /// Makes room for one more domain, if need be by dropping the evacuation that ended first.
    fn make_room(&mut self) -> bool {
        if self.domains.len() < MAX_DOMAINS {
            return true;
        }
        let ended = self.domains.iter().filter(|(_, one)| one.state == EvacuationState::Ended);
        let first = ended.min_by_key(|(_, one)| (one.ramp.since, one.position));
        let Some(domain) = first.map(|(domain, _)| domain.clone()) else { return false };
        self.domains.remove(&domain).is_some()
    }
}
