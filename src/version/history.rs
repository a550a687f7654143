//! The rule that decides which published document is in force.

use std::collections::VecDeque;

use super::parse::{parse, SUPPORTED_FORMATS};
use super::record::{ConfigRecord, PublishRecord, RenewRecord};
use super::revision::Revision;
use super::run::Run;
use super::verdict::Verdict;
use crate::edge::log::Record;
use crate::prelude::*;

/// Most records whose times are kept to judge renewals.
const MAX_TIMES: usize = 4096;

/// Whether a reader knows the outcome of all records before its position.
enum State {
    /// `current` is the revision at the reader's position.
    Known,
    /// Records are missing before the run, or one of an unknown format may have been accepted.
    Waiting(Run),
}

/// The revision in force as a function of log order alone.
pub struct History {
    current: Option<Rc<Revision>>,
    state: State,
    /// Offset of the next record to apply.
    next: u64,
    /// Offsets and times of the newest records.
    times: VecDeque<(u64, u64)>,
    anchor: Option<u64>,
    unknown: Option<u32>,
}

impl Default for History {
    /// A reader at the start of the stream, where no revision is in force.
    fn default() -> Self {
        Self {
            current: None,
            state: State::Known,
            next: 0,
            times: VecDeque::new(),
            anchor: None,
            unknown: None,
        }
    }
}

impl History {
    /// The revision in force as far as this reader knows.
    pub fn current(&self) -> Option<Rc<Revision>> {
        self.current.clone()
    }

    /// Number of the revision in force; 0 before the first.
    pub fn number(&self) -> u64 {
        self.current.as_ref().map_or(0, |revision| revision.number)
    }

    /// Whether the outcome of every record before `next` is known.
    pub fn is_known(&self) -> bool {
        matches!(self.state, State::Known)
    }

    /// Offset of the next record to apply.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Log time of the oldest record that a new reader needs to find the revision in force.
    pub fn anchor(&self) -> Option<u64> {
        self.anchor
    }

    /// The format that keeps this program from following the stream.
    pub fn unknown_format(&self) -> Option<u32> {
        self.unknown
    }

    /// The revision in force as a renewal or as an offer to a peer.
    pub fn base(&self) -> Option<RenewRecord> {
        let revision = self.current.as_ref().filter(|_| self.is_known())?;
        Some(RenewRecord {
            format: revision.document.format,
            number: revision.number,
            nonce: revision.nonce,
            author: revision.author.clone(),
            through: self.next.checked_sub(1)?,
            text: revision.text.clone(),
        })
    }

    /// Takes note of the oldest offset that the log keeps, before the records of a page.
    pub fn start_page(&mut self, first: u64) {
        if first > self.next {
            self.skip_to(first);
        }
    }

    /// Applies a record; one before `next` was applied already and is ignored.
    pub fn apply(&mut self, record: &Record) -> Verdict {
        if record.offset < self.next {
            return Verdict::Ignored;
        }
        self.start_page(record.offset);
        self.next = record.offset + 1;
        self.note_time(record);
        match ConfigRecord::decode(&record.value) {
            Some(ConfigRecord::Publish(publish)) => self.publish(record.offset, publish),
            Some(ConfigRecord::Renew(renew)) => self.renew(&renew),
            None => Verdict::Ignored,
        }
    }

    /// Installs a revision that a peer or an entry's `/revision` offers.
    ///
    /// Returns whether another revision is in force now.
    pub fn install(&mut self, offer: &RenewRecord) -> bool {
        let number = self.number();
        if self.is_known() && offer.through < self.next {
            return false;
        }
        if offer.through >= self.next {
            // The peer has read further, so this reader continues behind it.
            let Some(revision) = revision(offer).filter(|_| offer.number >= number) else {
                return false;
            };
            self.next = offer.through + 1;
            self.current = Some(Rc::new(revision));
            self.settle();
        } else {
            self.rebase(offer);
        }
        self.number() > number
    }

    fn skip_to(&mut self, offset: u64) {
        self.next = offset;
        self.state = State::Waiting(Run::new(offset));
        self.times.clear();
        self.anchor = None;
    }

    fn settle(&mut self) {
        self.state = State::Known;
        self.unknown = None;
    }

    fn publish(&mut self, offset: u64, publish: PublishRecord) -> Verdict {
        if let State::Waiting(run) = &mut self.state {
            run.push(offset, publish);
            return Verdict::Undecided;
        }
        let verdict = self.decide(&publish);
        if verdict == Verdict::UnknownFormat {
            // A program that knows the format may have accepted the record.
            self.unknown = Some(publish.format);
            let mut run = Run::new(offset);
            run.push(offset, publish);
            self.state = State::Waiting(run);
        }
        verdict
    }

    fn decide(&mut self, publish: &PublishRecord) -> Verdict {
        let number = self.number();
        if publish.replaces != number {
            let nonce = self.current.as_ref().map(|revision| revision.nonce);
            let is_repeated = nonce == Some(publish.nonce) && publish.replaces + 1 == number;
            return if is_repeated { Verdict::Repeated } else { Verdict::Conflict };
        }
        if !SUPPORTED_FORMATS.contains(&publish.format) {
            return Verdict::UnknownFormat;
        }
        let Ok(document) = parse(&publish.text) else { return Verdict::Invalid };
        let in_force = self.current.as_ref().map(|revision| &revision.document.environment);
        let is_consistent = document.format == publish.format
            && document.environment == publish.environment
            && in_force.is_none_or(|environment| *environment == publish.environment);
        if !is_consistent {
            return Verdict::Invalid;
        }
        self.current = Some(Rc::new(Revision {
            number: number + 1,
            nonce: publish.nonce,
            author: publish.author.clone(),
            text: publish.text.clone(),
            document,
        }));
        Verdict::Accepted
    }

    fn renew(&mut self, renew: &RenewRecord) -> Verdict {
        if !self.is_known() {
            return self.rebase(renew);
        }
        // A new reader needs every record after the offset that the renewal names.
        let needed = self.times.iter().find(|(offset, _)| *offset == renew.through + 1);
        let Some((_, time)) = needed else { return Verdict::Ignored };
        self.anchor = self.anchor.max(Some(*time));
        Verdict::Renewed
    }

    /// Takes a renewal as the base and decides all records after it again.
    fn rebase(&mut self, renew: &RenewRecord) -> Verdict {
        let State::Waiting(run) = &self.state else { return Verdict::Ignored };
        let Some(later) = run.after(renew.through) else { return Verdict::Undecided };
        if !SUPPORTED_FORMATS.contains(&renew.format) {
            self.unknown = Some(renew.format);
            return Verdict::UnknownFormat;
        }
        let Some(revision) = revision(renew) else { return Verdict::Invalid };
        let mut fresh = History { current: Some(Rc::new(revision)), ..History::default() };
        for (offset, publish) in later {
            fresh.publish(offset, publish);
        }
        if fresh.number() < self.number() {
            return Verdict::Ignored;
        }
        self.current = fresh.current;
        self.state = fresh.state;
        self.unknown = fresh.unknown;
        let needed = self.times.iter().find(|(offset, _)| *offset == renew.through + 1);
        self.anchor = needed.map(|(_, time)| *time);
        Verdict::Base
    }

    fn note_time(&mut self, record: &Record) {
        if record.offset == 0 {
            self.anchor = Some(record.time);
        }
        self.times.push_back((record.offset, record.time));
        if self.times.len() > MAX_TIMES {
            self.times.pop_front();
        }
    }
}

fn revision(renew: &RenewRecord) -> Option<Revision> {
    let document = parse(&renew.text).ok().filter(|document| document.format == renew.format)?;
    Some(Revision {
        number: renew.number,
        nonce: renew.nonce,
        author: renew.author.clone(),
        text: renew.text.clone(),
        document,
    })
}
