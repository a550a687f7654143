//! Decides which published document is in force.
//!
//! The decision depends only on the order of the records in the stream `config`, so all readers
//! agree. A reader needs a base: the start of the stream, a renewal, or the revision of a peer.
//! Until it has one, it buffers the publications.

use std::collections::VecDeque;

use super::parse::{parse, SUPPORTED_FORMATS};
use super::publication_buffer::PublicationBuffer;
use super::record::{ConfigRecord, PublishRecord, RenewRecord};
use super::revision::Revision;
use super::verdict::Verdict;
use crate::edge::log::Record;
use crate::prelude::*;

/// Maximum number of records whose times are kept to find the anchor of a renewal.
const MAX_RECORD_TIMES: usize = 4096;

/// Whether a reader has decided all records before its position.
enum State {
    /// `current` is the revision at the reader's position.
    Known,
    /// Records before the buffered ones are missing, or the first buffered one has an unsupported
    /// format and may be in force.
    Undecided(PublicationBuffer),
}

/// A reader's position in the stream `config` and the revision in force there.
pub struct History {
    /// The revision in force as last decided.
    current: Option<Rc<Revision>>,
    state: State,
    /// Offset of the next record to apply.
    next: u64,
    /// Offsets and log times of the newest records.
    record_times: VecDeque<(u64, u64)>,
    /// Log time of the oldest record that a new reader needs.
    anchor: Option<u64>,
    unknown_format: Option<u32>,
}

impl Default for History {
    /// Creates a reader at the start of the stream, where no revision is in force.
    fn default() -> Self {
        Self {
            current: None,
            state: State::Known,
            next: 0,
            record_times: VecDeque::new(),
            anchor: None,
            unknown_format: None,
        }
    }
}

impl History {
    /// The revision in force as last decided by this reader.
    pub fn current(&self) -> Option<Rc<Revision>> {
        self.current.clone()
    }

    /// Number of the current revision; 0 if there is none yet.
    pub fn number(&self) -> u64 {
        self.current.as_ref().map_or(0, |revision| revision.number)
    }

    /// Whether all records before `next` are decided, so that `current` is in force there.
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

    /// The unsupported document format that prevents this reader from deciding further records.
    pub fn unknown_format(&self) -> Option<u32> {
        self.unknown_format
    }

    /// The revision in force, as a renewal or as an offer to a peer; `None` if it is not known.
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

    /// Skips to `first`, the oldest offset that the log still keeps, before a page's records are
    /// applied.
    pub fn skip_expired(&mut self, first: u64) {
        if first > self.next {
            self.skip_to(first);
        }
    }

    /// Applies a record; a record before `next` has already been applied and is ignored.
    pub fn apply(&mut self, record: &Record) -> Verdict {
        if record.offset < self.next {
            return Verdict::Ignored;
        }
        self.skip_expired(record.offset);
        self.next = record.offset + 1;
        self.store_record_time(record);
        match ConfigRecord::decode(&record.value) {
            Some(ConfigRecord::Publish(publication)) => {
                self.apply_publication(record.offset, publication)
            }
            Some(ConfigRecord::Renew(renewal)) => self.apply_renewal(&renewal),
            None => Verdict::Ignored,
        }
    }

    /// Installs a revision received from a peer or from an entry's `/revision`.
    ///
    /// Returns whether a newer revision is in force now.
    pub fn install(&mut self, offer: &RenewRecord) -> bool {
        let number = self.number();
        if self.is_known() && offer.through < self.next {
            return false;
        }
        if offer.through >= self.next {
            // The peer has read further, so this reader continues from the peer's position.
            let Some(revision) = parse_revision(offer).filter(|_| offer.number >= number) else {
                return false;
            };
            self.next = offer.through + 1;
            self.current = Some(Rc::new(revision));
            self.mark_known();
        } else {
            self.rebase(offer);
        }
        self.number() > number
    }

    fn skip_to(&mut self, offset: u64) {
        self.next = offset;
        self.state = State::Undecided(PublicationBuffer::new(offset));
        self.record_times.clear();
        self.anchor = None;
    }

    fn mark_known(&mut self) {
        self.state = State::Known;
        self.unknown_format = None;
    }

    fn apply_publication(&mut self, offset: u64, publication: PublishRecord) -> Verdict {
        if let State::Undecided(buffer) = &mut self.state {
            buffer.push(offset, publication);
            return Verdict::Undecided;
        }
        let verdict = self.decide(&publication);
        if verdict == Verdict::UnknownFormat {
            // An entry that supports the format may have accepted the record.
            self.unknown_format = Some(publication.format);
            let mut buffer = PublicationBuffer::new(offset);
            buffer.push(offset, publication);
            self.state = State::Undecided(buffer);
        }
        verdict
    }

    fn decide(&mut self, publication: &PublishRecord) -> Verdict {
        let number = self.number();
        if publication.replaces != number {
            let nonce = self.current.as_ref().map(|revision| revision.nonce);
            let is_repeated =
                nonce == Some(publication.nonce) && publication.replaces + 1 == number;
            return if is_repeated { Verdict::Repeated } else { Verdict::Conflict };
        }
        if !SUPPORTED_FORMATS.contains(&publication.format) {
            return Verdict::UnknownFormat;
        }
        let Ok(document) = parse(&publication.text) else { return Verdict::Invalid };
        let current_environment =
            self.current.as_ref().map(|revision| &revision.document.environment);
        let is_consistent = document.format == publication.format
            && document.environment == publication.environment
            && current_environment
                .is_none_or(|environment| *environment == publication.environment);
        if !is_consistent {
            return Verdict::Invalid;
        }
        self.current = Some(Rc::new(Revision {
            number: number + 1,
            nonce: publication.nonce,
            author: publication.author.clone(),
            text: publication.text.clone(),
            document,
        }));
        Verdict::Accepted
    }

    fn apply_renewal(&mut self, renewal: &RenewRecord) -> Verdict {
        if !self.is_known() {
            return self.rebase(renewal);
        }
        // A new reader that takes the renewal as its base needs every record after `through`.
        let needed = self.record_times.iter().find(|(offset, _)| *offset == renewal.through + 1);
        let Some((_, time)) = needed else { return Verdict::Ignored };
        self.anchor = self.anchor.max(Some(*time));
        Verdict::Renewed
    }

    /// Takes a renewal as the base and decides the buffered publications after it.
    fn rebase(&mut self, renewal: &RenewRecord) -> Verdict {
        let State::Undecided(buffer) = &self.state else { return Verdict::Ignored };
        let Some(later) = buffer.after(renewal.through) else { return Verdict::Undecided };
        if !SUPPORTED_FORMATS.contains(&renewal.format) {
            self.unknown_format = Some(renewal.format);
            return Verdict::UnknownFormat;
        }
        let Some(revision) = parse_revision(renewal) else { return Verdict::Invalid };
        let mut replayed = History { current: Some(Rc::new(revision)), ..History::default() };
        for (offset, publication) in later {
            replayed.apply_publication(offset, publication);
        }
        if replayed.number() < self.number() {
            return Verdict::Ignored;
        }
        self.current = replayed.current;
        self.state = replayed.state;
        self.unknown_format = replayed.unknown_format;
        let needed = self.record_times.iter().find(|(offset, _)| *offset == renewal.through + 1);
        self.anchor = needed.map(|(_, time)| *time);
        Verdict::Base
    }

    fn store_record_time(&mut self, record: &Record) {
        // No revision is in force before the first record, so a new reader can start at it.
        if record.offset == 0 {
            self.anchor = Some(record.time);
        }
        self.record_times.push_back((record.offset, record.time));
        if self.record_times.len() > MAX_RECORD_TIMES {
            self.record_times.pop_front();
        }
    }
}

fn parse_revision(renewal: &RenewRecord) -> Option<Revision> {
    let document =
        parse(&renewal.text).ok().filter(|document| document.format == renewal.format)?;
    Some(Revision {
        number: renewal.number,
        nonce: renewal.nonce,
        author: renewal.author.clone(),
        text: renewal.text.clone(),
        document,
    })
}
