//! What an entry knows of the stream `config`.

use std::collections::VecDeque;
use std::time::{SystemTime, UNIX_EPOCH};

use crate::edge::log::{Page, Record};
use crate::prelude::*;
use crate::version::history::History;
use crate::version::record::{ConfigRecord, RenewRecord};
use crate::version::verdict::Verdict;

/// Most refused publications that `/status` lists.
const MAX_REFUSALS: usize = 8;
/// A renewal is due when a new reader would depend on a record older than this part of the
/// retention; the rest of the retention covers outages of the log.
const RENEWAL_PART: u32 = 3;

/// The entry's position in the stream, and what it tells operators about it.
#[derive(Default)]
pub struct Configuration {
    history: RefCell<History>,
    /// The anchor of the history and when this entry first saw it.
    anchor: Cell<Option<(u64, Instant)>>,
    /// Offset that the next record of the stream will get, as of the last read.
    end: Cell<u64>,
    fault: RefCell<Option<String>>,
    refusals: RefCell<VecDeque<serde_json::Value>>,
}

impl Configuration {
    /// Applies a page; returns whether another revision may be in force.
    pub fn apply(&self, page: &Page) -> bool {
        self.history.borrow_mut().start_page(page.first);
        let mut changed = false;
        for record in &page.records {
            let verdict = self.history.borrow_mut().apply(record);
            self.tell(record, verdict);
            changed |= matches!(verdict, Verdict::Accepted | Verdict::Base);
        }
        self.end.set(page.next);
        self.fault.replace(None);
        self.note_anchor();
        changed
    }

    /// Installs a revision that a peer offers; returns whether another one is in force now.
    pub fn install(&self, offer: &RenewRecord) -> bool {
        let changed = self.history.borrow_mut().install(offer);
        self.note_anchor();
        changed
    }

    /// The revision in force as a renewal or as an offer to a peer.
    pub fn base(&self) -> Option<RenewRecord> {
        self.history.borrow().base()
    }

    /// The history, to read it.
    pub fn history(&self) -> std::cell::Ref<'_, History> {
        self.history.borrow()
    }

    /// Takes note of a failed read; returns whether it is the first one like this.
    pub fn set_fault(&self, error: &Error) -> bool {
        let text = Some(error.to_string());
        self.fault.replace(text.clone()) != text
    }

    /// Whether the revision in force must be renewed.
    pub fn is_renewal_due(&self, retention: Duration) -> bool {
        let history = self.history.borrow();
        if !history.is_known() || history.number() == 0 {
            return false;
        }
        let Some((time, seen)) = self.anchor.get() else { return true };
        // The log's clock may differ from the VM's; the time since the read is a lower bound.
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let age = now.saturating_sub(Duration::from_millis(time)).max(seen.elapsed());
        age > retention / RENEWAL_PART
    }

    /// The state for `/status`.
    pub fn status(&self) -> serde_json::Value {
        let history = self.history.borrow();
        let revision = history.current();
        serde_json::json!({
            "revision": history.number(),
            "nonce": revision.as_ref().map(|revision| revision.nonce),
            "author": revision.as_ref().map(|revision| revision.author.clone()),
            "environment": revision.map(|revision| revision.document.environment.clone()),
            "formats": crate::version::parse::FORMATS,
            "unknownFormat": history.unknown_format(),
            "known": history.is_known(),
            "next": history.next(),
            "lag": self.end.get().saturating_sub(history.next()),
            "logFault": *self.fault.borrow(),
            "refusals": *self.refusals.borrow(),
        })
    }

    fn note_anchor(&self) {
        let anchor = self.history.borrow().anchor();
        if self.anchor.get().map(|(time, _)| time) != anchor {
            self.anchor.set(anchor.map(|time| (time, Instant::now())));
        }
    }

    fn tell(&self, record: &Record, verdict: Verdict) {
        let (offset, number) = (record.offset, self.history.borrow().number());
        match verdict {
            Verdict::Accepted | Verdict::Base => {
                log::info!(offset, revision = number; "revision `{number}` is in force");
            }
            Verdict::Ignored | Verdict::Renewed | Verdict::Repeated => {
                log::debug!(offset; "record changes nothing: {verdict:?}");
            }
            Verdict::Undecided => {
                log::warn!(offset; "cannot decide the record without a renewal or a peer's offer");
            }
            Verdict::Conflict | Verdict::Invalid | Verdict::UnknownFormat => {
                self.refuse(record, verdict, number);
            }
        }
    }

    fn refuse(&self, record: &Record, verdict: Verdict, number: u64) {
        let Some(ConfigRecord::Publish(publish)) = ConfigRecord::decode(&record.value) else {
            return;
        };
        let current = self.history.borrow().current();
        let winner = current.map(|revision| revision.author.clone());
        log::warn!(
            offset = record.offset, revision = number, author = publish.author.as_str();
            "publication refused: {verdict:?}, it replaces revision `{}`", publish.replaces
        );
        let mut refusals = self.refusals.borrow_mut();
        if refusals.len() == MAX_REFUSALS {
            refusals.pop_front();
        }
        refusals.push_back(serde_json::json!({
            "offset": record.offset,
            "verdict": verdict,
            "author": publish.author,
            "replaces": publish.replaces,
            "revision": number,
            "winner": winner,
        }));
    }
}
