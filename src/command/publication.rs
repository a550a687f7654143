//! Appends a publication to the log and waits for its verdict.

use serde::Serialize;

use super::timeline::{RecordSummary, Timeline};
use super::Result;
use crate::prelude::*;
use crate::version::difference::{difference, Change};
use crate::version::document::Document;
use crate::version::record::{ConfigRecord, PublishRecord};
use crate::version::verdict::Verdict;

/// An append is sent again if its record does not appear in the stream for this long.
const APPEND_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Delay after a failed read of the log.
const READ_ERROR_DELAY: Duration = Duration::from_millis(100);

/// The outcome of a publication.
#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase", tag = "outcome")]
pub enum PublishOutcome {
    #[serde(rename_all = "camelCase")]
    Accepted { revision: u64, replaces: u64, offset: u64 },
    /// Another revision is in force. `changes` lists the differences between the revision to be
    /// replaced and that one.
    #[serde(rename_all = "camelCase")]
    Conflict { replaces: u64, revision: u64, winner: String, changes: Vec<Change> },
    /// The publication was not sent, or its record was rejected for a reason other than a conflict.
    Refused { reason: String },
    /// The log did not confirm the publication in time; it may still be accepted.
    Unknown { reason: String },
}

/// A document that is ready to be published in place of a given revision.
pub struct Publication {
    record: PublishRecord,
}

impl Publication {
    /// Prepares a publication; `document` is the parsed form of `text`.
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

    /// Publishes the document and waits up to `timeout` for its verdict.
    ///
    /// The response to an append can be lost, so the record is searched for by its nonce in the
    /// stream. An append that is sent again has the same nonce and replaces the same revision, so
    /// at most one of its records is accepted.
    pub async fn send(self, timeline: &mut Timeline, timeout: Duration) -> PublishOutcome {
        if let Some(outcome) = self.check_preconditions(timeline) {
            return outcome;
        }
        let nonce = self.record.nonce;
        let record = ConfigRecord::Publish(self.record);
        let deadline = Instant::now() + timeout;
        let mut reason = String::new();
        while Instant::now() < deadline {
            if let Err(error) = timeline.append(&record).await {
                reason = error.to_string();
            }
            let retry_at = deadline.min(Instant::now() + APPEND_RETRY_INTERVAL);
            match wait_for_record(timeline, nonce, retry_at).await {
                Ok(Some(summary)) => return outcome_of(timeline, &summary),
                Ok(None) => {}
                Err(error) => reason = error.to_string(),
            }
        }
        PublishOutcome::Unknown { reason }
    }

    fn check_preconditions(&self, timeline: &Timeline) -> Option<PublishOutcome> {
        if !timeline.history.is_known() {
            let reason = "the log does not tell the revision in force; name entries with `--admin`";
            return Some(PublishOutcome::Refused { reason: reason.into() });
        }
        let current = timeline.history.current();
        if self.record.replaces != timeline.history.number() {
            return Some(conflict_outcome(
                timeline,
                self.record.replaces,
                timeline.history.number(),
            ));
        }
        let environment = current.map(|revision| revision.document.environment.clone());
        if let Some(environment) = environment.filter(|name| *name != self.record.environment) {
            let reason = format!("the log belongs to the environment `{environment}`");
            return Some(PublishOutcome::Refused { reason });
        }
        None
    }
}

async fn wait_for_record(
    timeline: &mut Timeline,
    nonce: u64,
    deadline: Instant,
) -> Result<Option<RecordSummary>> {
    let mut outcome = Ok(None);
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if let Err(error) = timeline.catch_up(remaining).await {
            outcome = Err(error);
            monoio::time::sleep(READ_ERROR_DELAY).await;
        }
        if let Some(summary) = timeline.find_publication(nonce) {
            return Ok(Some(summary.clone()));
        }
        if Instant::now() >= deadline {
            return outcome;
        }
    }
}

fn outcome_of(timeline: &Timeline, summary: &RecordSummary) -> PublishOutcome {
    let replaces = summary.replaces.unwrap_or(0);
    match summary.verdict {
        Verdict::Accepted => PublishOutcome::Accepted {
            revision: summary.revision,
            replaces,
            offset: summary.offset,
        },
        Verdict::Conflict => conflict_outcome(timeline, replaces, summary.revision),
        other => PublishOutcome::Refused { reason: format!("verdict of the log: {other:?}") },
    }
}

fn conflict_outcome(timeline: &Timeline, replaces: u64, revision: u64) -> PublishOutcome {
    let before = timeline.revisions.get(&replaces).map(|revision| &revision.document);
    let winner = timeline.revisions.get(&revision);
    let changes = match winner {
        Some(winner) if before.is_some() || replaces == 0 => difference(before, &winner.document),
        Some(_) | None => Vec::new(),
    };
    let winner = winner.map(|winner| winner.author.clone()).unwrap_or_default();
    PublishOutcome::Conflict { replaces, revision, winner, changes }
}
