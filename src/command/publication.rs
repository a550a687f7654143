//! Appends a publication and finds out what became of it.

use serde::Serialize;

use super::timeline::{Row, Timeline};
use super::Result;
use crate::prelude::*;
use crate::version::difference::{difference, Change};
use crate::version::document::Document;
use crate::version::record::{ConfigRecord, PublishRecord};
use crate::version::verdict::Verdict;

/// Time without the own record in the stream after which a failed append is repeated.
const REPEAT_AFTER: Duration = Duration::from_secs(1);
/// Pause after a failed operation of the log.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// What became of a publication.
#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase", tag = "outcome")]
pub enum Outcome {
    #[serde(rename_all = "camelCase")]
    Accepted { revision: u64, replaces: u64, offset: u64 },
    /// Another revision won; `changes` is what it changed in the revision to be replaced.
    #[serde(rename_all = "camelCase")]
    Conflict { replaces: u64, revision: u64, winner: String, changes: Vec<Change> },
    /// Nothing was published.
    Refused { reason: String },
    /// The log did not confirm the publication in time; it may still be accepted.
    Unknown { reason: String },
}

/// A document and the revision that it replaces.
pub struct Publication {
    record: PublishRecord,
}

impl Publication {
    /// Prepares a publication of a document that passed its checks.
    pub fn new(document: &Document, text: String, author: &str, replaces: u64) -> Self {
        Self {
            record: PublishRecord {
                format: document.format,
                environment: document.environment.clone(),
                author: author.into(),
                nonce: rand::random(),
                replaces,
                text,
            },
        }
    }

    /// Publishes; a lost response leads to a look for the own nonce, and an append that is
    /// repeated carries the same nonce and replaces the same revision, so it counts once.
    pub async fn send(self, timeline: &mut Timeline, timeout: Duration) -> Outcome {
        if let Some(outcome) = self.refuse(timeline) {
            return outcome;
        }
        let nonce = self.record.nonce;
        let record = ConfigRecord::Publish(self.record);
        let end = Instant::now() + timeout;
        let mut reason = String::new();
        while Instant::now() < end {
            if let Err(error) = timeline.append(&record).await {
                reason = error.to_string();
            }
            let until = end.min(Instant::now() + REPEAT_AFTER);
            match find(timeline, nonce, until).await {
                Ok(Some(row)) => return judge(timeline, &row),
                Ok(None) => {}
                Err(error) => reason = error.to_string(),
            }
        }
        Outcome::Unknown { reason }
    }

    fn refuse(&self, timeline: &Timeline) -> Option<Outcome> {
        if !timeline.history.is_known() {
            let reason = "the log does not tell the revision in force; name entries with `--admin`";
            return Some(Outcome::Refused { reason: reason.into() });
        }
        let current = timeline.history.current();
        if self.record.replaces != timeline.history.number() {
            return Some(conflict(timeline, self.record.replaces, timeline.history.number()));
        }
        let environment = current.map(|revision| revision.document.environment.clone());
        if let Some(environment) = environment.filter(|name| *name != self.record.environment) {
            let reason = format!("the log belongs to the environment `{environment}`");
            return Some(Outcome::Refused { reason });
        }
        None
    }
}

async fn find(timeline: &mut Timeline, nonce: u64, until: Instant) -> Result<Option<Row>> {
    let mut outcome = Ok(None);
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if let Err(error) = timeline.catch_up(left).await {
            outcome = Err(error);
            monoio::time::sleep(RETRY_PAUSE).await;
        }
        if let Some(row) = timeline.publication(nonce) {
            return Ok(Some(row.clone()));
        }
        if Instant::now() >= until {
            return outcome;
        }
    }
}

fn judge(timeline: &Timeline, row: &Row) -> Outcome {
    let replaces = row.replaces.unwrap_or(0);
    match row.verdict {
        Verdict::Accepted => {
            Outcome::Accepted { revision: row.revision, replaces, offset: row.offset }
        }
        Verdict::Conflict => conflict(timeline, replaces, row.revision),
        other => Outcome::Refused { reason: format!("verdict of the log: {other:?}") },
    }
}

fn conflict(timeline: &Timeline, replaces: u64, revision: u64) -> Outcome {
    let before = timeline.revisions.get(&replaces).map(|revision| &revision.document);
    let winner = timeline.revisions.get(&revision);
    let changes = match winner {
        Some(winner) if before.is_some() || replaces == 0 => difference(before, &winner.document),
        Some(_) | None => Vec::new(),
    };
    let winner = winner.map(|winner| winner.author.clone()).unwrap_or_default();
    Outcome::Conflict { replaces, revision, winner, changes }
}
