//! The stream `config` as a command reads it.

use std::collections::BTreeMap;

use serde::Serialize;

use super::Result;
use crate::connection::client::Client;
use crate::edge::http_log::HttpLog;
use crate::edge::log::{Log, Record};
use crate::prelude::*;
use crate::version::history::History;
use crate::version::record::{ConfigRecord, RenewRecord, STREAM};
use crate::version::revision::Revision;
use crate::version::verdict::Verdict;

/// Longest wait for one operation of the log or of an entry.
pub const TIMEOUT: Duration = Duration::from_secs(2);

/// One record and what became of it.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Row {
    pub offset: u64,
    /// Time by the log's clock, in Unix milliseconds.
    pub time: u64,
    pub kind: &'static str,
    pub author: String,
    pub nonce: u64,
    /// The revision that a publication replaces.
    pub replaces: Option<u64>,
    pub verdict: Verdict,
    /// The revision in force after the record.
    pub revision: u64,
}

/// All records that the log keeps, with their verdicts.
pub struct Timeline {
    log: HttpLog,
    pub history: History,
    pub rows: Vec<Row>,
    /// Revisions that were in force, by number.
    pub revisions: BTreeMap<u64, Rc<Revision>>,
}

impl Timeline {
    /// Reads the stream to its end.
    ///
    /// If the log no longer keeps the publication and no renewal can be used, the entries are
    /// asked for the revision in force.
    pub async fn read(platform: SocketAddr, admins: &[SocketAddr]) -> Result<Self> {
        let mut timeline = Self {
            log: HttpLog::new(platform, TIMEOUT),
            history: History::default(),
            rows: Vec::new(),
            revisions: BTreeMap::new(),
        };
        timeline.catch_up(Duration::ZERO).await?;
        for admin in admins {
            if timeline.history.is_known() {
                break;
            }
            if let Some(offer) = offer(*admin).await {
                timeline.history.install(&offer);
                timeline.note_revision();
                timeline.catch_up(Duration::ZERO).await?;
            }
        }
        Ok(timeline)
    }

    /// Reads on to the end of the stream; waits up to `wait` for a first record.
    pub async fn catch_up(&mut self, wait: Duration) -> Result<()> {
        let mut wait = wait;
        loop {
            let page = self.log.read(STREAM, self.history.next(), wait).await?;
            self.history.skip_expired(page.first);
            for record in &page.records {
                self.apply(record);
            }
            if page.records.is_empty() || self.history.next() >= page.next {
                return Ok(());
            }
            wait = Duration::ZERO;
        }
    }

    /// Appends a record.
    pub async fn append(&self, record: &ConfigRecord) -> Result<u64> {
        self.log.append(STREAM, vec![record.encode()]).await
    }

    /// The first publication with a nonce.
    pub fn publication(&self, nonce: u64) -> Option<&Row> {
        self.rows.iter().find(|row| row.nonce == nonce && row.kind == "publish")
    }

    fn apply(&mut self, record: &Record) {
        let verdict = self.history.apply(record);
        self.note_revision();
        let revision = self.history.number();
        let (kind, author, nonce, replaces) = match ConfigRecord::decode(&record.value) {
            Some(ConfigRecord::Publish(publish)) => {
                ("publish", publish.author, publish.nonce, Some(publish.replaces))
            }
            Some(ConfigRecord::Renew(renew)) => ("renew", renew.author, renew.nonce, None),
            None => ("unknown", String::new(), 0, None),
        };
        let (offset, time) = (record.offset, record.time);
        self.rows.push(Row { offset, time, kind, author, nonce, replaces, verdict, revision });
    }

    fn note_revision(&mut self) {
        if let Some(revision) = self.history.current() {
            self.revisions.insert(revision.number, revision);
        }
    }
}

async fn offer(admin: SocketAddr) -> Option<RenewRecord> {
    let call = Call::new(Method::GET, Uri::from_static("/revision"));
    let answer = Client::new(admin, TIMEOUT).call(&call).await.ok()?;
    match ConfigRecord::decode(&answer.body)? {
        ConfigRecord::Renew(offer) => Some(offer),
        ConfigRecord::Publish(_) => None,
    }
}
