//! Reads the stream `config` and evaluates its records.

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

/// Timeout of a request to the log or to an entry.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// A record of the stream with its verdict.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct RecordSummary {
    pub offset: u64,
    /// Time by the log's clock, in Unix milliseconds.
    pub time: u64,
    pub kind: &'static str,
    pub author: String,
    pub nonce: u64,
    /// Number of the revision that a publication replaces; absent for other records.
    pub replaces: Option<u64>,
    pub verdict: Verdict,
    /// Number of the revision in force after this record.
    pub revision: u64,
}

/// All records that the log still retains, with their verdicts.
pub struct Timeline {
    log: HttpLog,
    pub history: History,
    pub records: Vec<RecordSummary>,
    /// Revisions that are or were in force, by number.
    pub revisions: BTreeMap<u64, Rc<Revision>>,
}

impl Timeline {
    /// Reads the stream to its end.
    ///
    /// If the retained records do not determine the revision in force, because its publication has
    /// expired and no renewal is usable, the revision is fetched from an entry in `admins`.
    pub async fn read(platform: SocketAddr, admins: &[SocketAddr]) -> Result<Self> {
        let mut timeline = Self {
            log: HttpLog::new(platform, REQUEST_TIMEOUT),
            history: History::default(),
            records: Vec::new(),
            revisions: BTreeMap::new(),
        };
        timeline.catch_up(Duration::ZERO).await?;
        for admin in admins {
            if timeline.history.is_known() {
                break;
            }
            if let Some(renewal) = fetch_renewal(*admin).await {
                timeline.history.install(&renewal);
                timeline.save_revision();
                timeline.catch_up(Duration::ZERO).await?;
            }
        }
        Ok(timeline)
    }

    /// Reads new records to the end of the stream. If there are none, waits up to `wait` for one.
    pub async fn catch_up(&mut self, wait: Duration) -> Result<()> {
        let mut wait = wait;
        loop {
            let page = self.log.read(STREAM, self.history.next(), wait).await?;
            self.history.skip_expired(page.first);
            for record in &page.records {
                self.apply_record(record);
            }
            if page.records.is_empty() || self.history.next() >= page.next {
                return Ok(());
            }
            wait = Duration::ZERO;
        }
    }

    /// Appends a record and returns its offset.
    pub async fn append(&self, record: &ConfigRecord) -> Result<u64> {
        self.log.append(STREAM, vec![record.encode()]).await
    }

    /// The first publication with the given nonce.
    pub fn find_publication(&self, nonce: u64) -> Option<&RecordSummary> {
        self.records.iter().find(|record| record.nonce == nonce && record.kind == "publish")
    }

    fn apply_record(&mut self, record: &Record) {
        let verdict = self.history.apply(record);
        self.save_revision();
        let revision = self.history.number();
        let (kind, author, nonce, replaces) = match ConfigRecord::decode(&record.value) {
            Some(ConfigRecord::Publish(publish)) => {
                ("publish", publish.author, publish.nonce, Some(publish.replaces))
            }
            Some(ConfigRecord::Renew(renew)) => ("renew", renew.author, renew.nonce, None),
            None => ("unknown", String::new(), 0, None),
        };
        let (offset, time) = (record.offset, record.time);
        self.records.push(RecordSummary {
            offset,
            time,
            kind,
            author,
            nonce,
            replaces,
            verdict,
            revision,
        });
    }

    fn save_revision(&mut self) {
        if let Some(revision) = self.history.current() {
            self.revisions.insert(revision.number, revision);
        }
    }
}

async fn fetch_renewal(admin: SocketAddr) -> Option<RenewRecord> {
    let call = Call::new(Method::GET, Uri::from_static("/revision"));
    let response = Client::new(admin, REQUEST_TIMEOUT).call(&call).await.ok()?;
    match ConfigRecord::decode(&response.body)? {
        ConfigRecord::Renew(renewal) => Some(renewal),
        ConfigRecord::Publish(_) => None,
    }
}
