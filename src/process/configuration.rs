//! The entry's state of the stream `config`: the history of revisions, read errors and refusals.

use std::collections::VecDeque;
use std::time::{SystemTime, UNIX_EPOCH};

use crate::edge::log::{Page, Record};
use crate::prelude::*;
use crate::version::history::History;
use crate::version::record::{ConfigRecord, RenewRecord};
use crate::version::verdict::Verdict;

/// Maximum number of refused publications listed in `/status`.
const MAX_REFUSALS: usize = 8;
/// A renewal is due when a new reader would need a record older than the retention divided by this
/// number; the rest of the retention covers outages of the log.
const RENEWAL_DIVISOR: u32 = 3;

/// The entry's position in the stream, and the state of the stream that `/status` reports.
#[derive(Default)]
pub struct Configuration {
    history: RefCell<History>,
    /// Log time in Unix milliseconds of the oldest record that a new reader needs, and when this
    /// entry first read it.
    anchor: Cell<Option<(u64, Instant)>>,
    /// Offset of the next record to be appended to the stream, as of the last read.
    end_offset: Cell<u64>,
    /// Error of the last read, if it failed.
    log_fault: RefCell<Option<String>>,
    refusals: RefCell<VecDeque<serde_json::Value>>,
}

impl Configuration {
    /// Applies a page of records; returns whether another revision may be in force.
    pub fn apply(&self, page: &Page) -> bool {
        self.history.borrow_mut().skip_expired(page.first);
        let mut changed = false;
        for record in &page.records {
            let verdict = self.history.borrow_mut().apply(record);
            self.log_verdict(record, verdict);
            changed |= matches!(verdict, Verdict::Accepted | Verdict::Base);
        }
        self.end_offset.set(page.next);
        self.log_fault.replace(None);
        self.update_anchor();
        changed
    }

    /// Installs a revision received from a peer; returns whether another one is in force now.
    pub fn install(&self, renewal: &RenewRecord) -> bool {
        let changed = self.history.borrow_mut().install(renewal);
        self.update_anchor();
        changed
    }

    /// The revision in force as a record, for a renewal or for a peer.
    pub fn base(&self) -> Option<RenewRecord> {
        self.history.borrow().base()
    }

    pub fn history(&self) -> std::cell::Ref<'_, History> {
        self.history.borrow()
    }

    /// Records a failed read; returns whether its error differs from that of the previous read.
    pub fn set_log_fault(&self, error: &Error) -> bool {
        let text = Some(error.to_string());
        self.log_fault.replace(text.clone()) != text
    }

    /// Whether the revision in force must be appended again before the log drops its record.
    pub fn is_renewal_due(&self, retention: Duration) -> bool {
        let history = self.history.borrow();
        if !history.is_known() || history.number() == 0 {
            return false;
        }
        let Some((time, first_read)) = self.anchor.get() else { return true };
        // The log's clock may differ from the VM's; the time since the first read is a lower bound.
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let age = now.saturating_sub(Duration::from_millis(time)).max(first_read.elapsed());
        age > retention / RENEWAL_DIVISOR
    }

    /// The value of `configuration` in `/status`.
    pub fn status(&self) -> serde_json::Value {
        let history = self.history.borrow();
        let revision = history.current();
        serde_json::json!({
            "revision": history.number(),
            "nonce": revision.as_ref().map(|revision| revision.nonce),
            "author": revision.as_ref().map(|revision| revision.author.clone()),
            "environment": revision.map(|revision| revision.document.environment.clone()),
            "formats": crate::version::parse::SUPPORTED_FORMATS,
            "unknownFormat": history.unknown_format(),
            "known": history.is_known(),
            "next": history.next(),
            "lag": self.end_offset.get().saturating_sub(history.next()),
            "logFault": *self.log_fault.borrow(),
            "refusals": *self.refusals.borrow(),
        })
    }

    fn update_anchor(&self) {
        let anchor = self.history.borrow().anchor();
        if self.anchor.get().map(|(time, _)| time) != anchor {
            self.anchor.set(anchor.map(|time| (time, Instant::now())));
        }
    }

    fn log_verdict(&self, record: &Record, verdict: Verdict) {
        let (offset, number) = (record.offset, self.history.borrow().number());
        match verdict {
            Verdict::Accepted | Verdict::Base => {
                log::info!(offset, revision = number; "revision `{number}` is in force");
            }
            Verdict::Ignored | Verdict::Renewed | Verdict::Repeated => {
                log::debug!(offset; "record has no effect: {verdict:?}");
            }
            Verdict::Undecided => {
                log::warn!(offset; "record undecided until a renewal or peer document arrives");
            }
            Verdict::Conflict | Verdict::Invalid | Verdict::UnknownFormat => {
                self.record_refusal(record, verdict, number);
            }
        }
    }

    fn record_refusal(&self, record: &Record, verdict: Verdict, number: u64) {
        let Some(ConfigRecord::Publish(publish)) = ConfigRecord::decode(&record.value) else {
            return;
        };
        let current = self.history.borrow().current();
        let winner = current.map(|revision| revision.author.clone());
        log::warn!(
            offset = record.offset, revision = number, author = publish.author.as_str();
            "publication refused: {verdict:?}; it replaces revision `{}`", publish.replaces
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
