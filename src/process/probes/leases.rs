//! The tasks that read the stream `leases` and append to it.

use super::lease::Lease;
use super::record::{LeaseRecord, STREAM};
use super::Probes;
use crate::edge::log::{Log, Page};
use crate::prelude::*;
use crate::process::entry::Entry;
use crate::process::suspension;
use crate::version::document::Document;

/// Longest wait of one read.
const READ_WAIT: Duration = Duration::from_secs(1);
/// Delay after a failed read.
const READ_BACKOFF: Duration = Duration::from_millis(200);
/// Interval of the check for records to append.
const APPEND_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait for an append; its records may still take effect later.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest random delay before a request for a free lease of the entry's own failure domain, and of
/// a remote one. Local entries usually get the lease, because their probes stay within the domain.
const LOCAL_MAX_JITTER: Duration = Duration::from_secs(1);
const REMOTE_MAX_JITTER: Duration = Duration::from_secs(10);

/// Reads records until the future is dropped.
pub async fn follow_records(probes: &Probes, log: &dyn Log) {
    let mut next = 0;
    loop {
        match log.read(STREAM, next, READ_WAIT).await {
            Ok(page) => probes.apply(&page, &mut next),
            Err(error) => {
                log::debug!("cannot read the stream `{STREAM}`: {error}");
                monoio::time::sleep(READ_BACKOFF).await;
            }
        }
    }
}

/// Requests free leases and renews held ones until the future is dropped.
pub async fn maintain_leases(entry: &Entry, log: &dyn Log) {
    let mut applied_number = None;
    loop {
        monoio::time::sleep(APPEND_POLL_INTERVAL).await;
        let Some(revision) = entry.revision() else { continue };
        if applied_number != Some(revision.number) {
            entry.probes.set_domains(&revision.document, &entry.settings.domain);
            applied_number = Some(revision.number);
        }
        entry.probes.check_suspension(suspension::total(), Instant::now());
        let records = entry.probes.records_to_append();
        if records.is_empty() {
            continue;
        }
        let values = records.iter().map(LeaseRecord::encode).collect();
        // The records take effect when they are read back, so the response is not needed.
        let _ = monoio::time::timeout(APPEND_TIMEOUT, log.append(STREAM, values)).await;
    }
}

impl Probes {
    fn apply(&self, page: &Page, next: &mut u64) {
        let now = Instant::now();
        let mut leases = self.leases.borrow_mut();
        // Records are missing: the log ends before `next` or starts after it.
        let is_reset = page.next < *next;
        if is_reset || page.first > *next {
            leases.values_mut().for_each(|lease| lease.reset(now));
            *next = page.first;
        }
        for record in &page.records {
            *next = record.offset + 1;
            let Some(lease_record) = LeaseRecord::decode(&record.value) else { continue };
            if let Some(lease) = leases.get_mut(lease_record.domain()) {
                lease.apply(record.offset, lease_record, now);
            }
        }
    }

    /// Adds and removes leases to match the failure domains of a document; `own` is the entry's.
    fn set_domains(&self, document: &Document, own: &str) {
        let now = Instant::now();
        let targets = document.services.iter().flat_map(|service| &service.targets);
        let domains: Vec<&str> = targets.map(|target| target.domain.as_str()).collect();
        let mut leases = self.leases.borrow_mut();
        leases.retain(|domain, _| domains.contains(&domain.as_str()));
        for domain in domains {
            let max_jitter = if domain == own { LOCAL_MAX_JITTER } else { REMOTE_MAX_JITTER };
            let new_lease = || Lease::new(self.holder.clone(), domain, max_jitter, now);
            leases.entry(domain.into()).or_insert_with(new_lease);
        }
    }

    fn records_to_append(&self) -> Vec<LeaseRecord> {
        let now = Instant::now();
        let probed_domain = self.probed_domain.borrow().clone();
        let mut leases = self.leases.borrow_mut();
        let records = leases.iter_mut().flat_map(|(domain, lease)| {
            lease.records_to_append(probed_domain.as_ref() != Some(domain), now)
        });
        records.collect()
    }
}
