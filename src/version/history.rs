//! The rule that decides which published document is in force.

use super::parse::parse;
use super::record::{ConfigRecord, PublishRecord};
use super::revision::Revision;
use crate::prelude::*;

/// What became of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The document is in force from here on.
    Accepted,
    /// Another revision was in force than the one to be replaced.
    Conflict,
    /// The record changes nothing.
    Ignored,
    /// The document fails the checks.
    Invalid,
}

/// The revision in force as a function of log order alone.
#[derive(Default)]
pub struct History {
    current: Option<Rc<Revision>>,
    /// Offset of the next record to apply.
    next: u64,
}

impl History {
    /// The revision in force.
    pub fn current(&self) -> Option<Rc<Revision>> {
        self.current.clone()
    }

    /// Offset of the next record to apply.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Applies the record at `offset`.
    pub fn apply(&mut self, offset: u64, value: &[u8]) -> Verdict {
        self.next = offset + 1;
        match ConfigRecord::decode(value) {
            Some(ConfigRecord::Publish(publish)) => self.publish(publish),
            Some(ConfigRecord::Renew(_)) | None => Verdict::Ignored,
        }
    }

    fn publish(&mut self, publish: PublishRecord) -> Verdict {
        let number = self.current.as_ref().map_or(0, |revision| revision.number);
        if publish.replaces != number {
            return Verdict::Conflict;
        }
        let Ok(document) = parse(&publish.text) else { return Verdict::Invalid };
        self.current = Some(Rc::new(Revision {
            number: number + 1,
            nonce: publish.nonce,
            author: publish.author,
            text: publish.text,
            document,
        }));
        Verdict::Accepted
    }
}
