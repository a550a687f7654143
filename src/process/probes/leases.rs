//! The tasks that read the stream `leases` and append to it.

use super::lease::Lease;
use super::record::{LeaseRecord, STREAM};
use super::Probes;
use crate::edge::log::{Log, Page};
use crate::prelude::*;
use crate::process::entry::Entry;
use crate::version::document::Document;

/// Longest wait of one read.
const READ_WAIT: Duration = Duration::from_secs(1);
/// Pause after a failed read.
const READ_PAUSE: Duration = Duration::from_millis(200);
/// Time between two looks whether a record is to be appended.
const INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait for an append; its records may still take effect later.
const APPEND_LIMIT: Duration = Duration::from_secs(2);
/// Longest extra wait for a free lease of the entry's own domain and of another domain. Entries
/// of the domain come first mostly, because their probes stay within it.
const OWN_SPREAD: Duration = Duration::from_secs(1);
const OTHER_SPREAD: Duration = Duration::from_secs(10);

/// Reads records until the future is dropped.
pub async fn follow(probes: &Probes, log: &dyn Log) {
    let mut next = 0;
    loop {
        match log.read(STREAM, next, READ_WAIT).await {
            Ok(page) => probes.apply(&page, &mut next),
            Err(error) => {
                log::debug!("cannot read the stream `{STREAM}`: {error}");
                monoio::time::sleep(READ_PAUSE).await;
            }
        }
    }
}

/// Asks for free leases and renews held ones until the future is dropped.
pub async fn keep(entry: &Entry, log: &dyn Log) {
    let mut number = None;
    loop {
        monoio::time::sleep(INTERVAL).await;
        let Some(revision) = entry.revision() else { continue };
        if number != Some(revision.number) {
            entry.probes.take_over(&revision.document, &entry.settings.domain);
            number = Some(revision.number);
        }
        let records = entry.probes.wishes();
        if records.is_empty() {
            continue;
        }
        let values = records.iter().map(LeaseRecord::encode).collect();
        // The records count once they are read back, so the response is not needed.
        let _ = monoio::time::timeout(APPEND_LIMIT, log.append(STREAM, values)).await;
    }
}

impl Probes {
    fn apply(&self, page: &Page, next: &mut u64) {
        let now = Instant::now();
        let mut leases = self.leases.borrow_mut();
        let is_reset = page.next < *next;
        if is_reset || page.first > *next {
            leases.values_mut().for_each(|lease| lease.lose_track(now));
            *next = page.first;
        }
        for record in &page.records {
            *next = record.offset + 1;
            let Some(value) = LeaseRecord::decode(&record.value) else { continue };
            if let Some(lease) = leases.get_mut(value.domain()) {
                lease.apply(record.offset, value, now);
            }
        }
    }

    /// Takes over the failure domains of a document; `own` is the entry's domain.
    fn take_over(&self, document: &Document, own: &str) {
        let now = Instant::now();
        let targets = document.services.iter().flat_map(|service| &service.targets);
        let domains: Vec<&str> = targets.map(|target| target.domain.as_str()).collect();
        let mut leases = self.leases.borrow_mut();
        leases.retain(|domain, _| domains.contains(&domain.as_str()));
        for domain in domains {
            let spread = if domain == own { OWN_SPREAD } else { OTHER_SPREAD };
            let start = || Lease::new(self.holder.clone(), domain, spread, now);
            leases.entry(domain.into()).or_insert_with(start);
        }
    }

    fn wishes(&self) -> Vec<LeaseRecord> {
        let now = Instant::now();
        let running = self.running.borrow().clone();
        let mut leases = self.leases.borrow_mut();
        let wishes = leases
            .iter_mut()
            .flat_map(|(domain, lease)| lease.wishes(running.as_ref() != Some(domain), now));
        wishes.collect()
    }
}
