//! The order in which other entries are asked for what they read.

use std::cmp::Reverse;
use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::edge::directory::EntryRecord;
use crate::prelude::*;

/// Time for which an entry that failed is passed over; each further failure doubles it.
const PAUSE: Duration = Duration::from_secs(5);
/// Most doublings of the pause.
const MAX_DOUBLINGS: u32 = 3;
/// Most entries of other failure domains that are asked before this one reads for itself.
const MAX_FAR: usize = 3;

/// The entries that come before the own one, which is the last, and which of them failed.
///
/// Those of the own failure domain come first. All entries sort by the same key, so that no two
/// wait for each other, whatever has failed for whom.
#[derive(Debug, Default)]
pub struct ReaderOrder {
    entries: Vec<EntryRecord>,
    failed: HashMap<String, Failure>,
}

/// The failures of an entry since it last told fresh news.
#[derive(Clone, Copy, Debug)]
struct Failure {
    until: Instant,
    count: u32,
}

impl ReaderOrder {
    /// Starts with addresses at which entries may be found while the list cannot be read.
    pub fn set_seeds(&mut self, own: &EntryRecord, seeds: &[SocketAddr]) {
        let seeds = seeds.iter().filter(|seed| **seed != own.address);
        self.entries = seeds
            .map(|seed| EntryRecord {
                name: seed.to_string(),
                domain: own.domain.clone(),
                address: *seed,
                link_mbps: 0,
            })
            .collect();
        self.entries.push(own.clone());
    }

    /// Takes over a list.
    pub fn set(&mut self, own: &EntryRecord, mut records: Vec<EntryRecord>) {
        records.retain(|entry| rank(entry) < rank(own));
        records.sort_by(|left, right| rank(left).cmp(&rank(right)));
        let (near, far): (Vec<_>, Vec<_>) =
            records.into_iter().partition(|entry| entry.domain == own.domain);
        self.entries = near;
        self.entries.extend(far.into_iter().take(MAX_FAR));
        self.entries.push(own.clone());
        let is_listed = |name: &String| self.entries.iter().any(|entry| entry.name == *name);
        self.failed.retain(|name, _| is_listed(name));
    }

    /// The first entry that did not fail lately; the own one if there is no other.
    pub fn first(&self, now: Instant) -> Option<&EntryRecord> {
        self.entries.iter().find(|entry| self.failed_until(entry).is_none_or(|until| now >= until))
    }

    /// Whether the own entry is the next one of its failure domain behind the reader, so that the
    /// entries behind it turn to it when the reader fails.
    pub fn is_standby(&self, reader: &EntryRecord, now: Instant) -> bool {
        let Some((own, before)) = self.entries.split_last() else { return false };
        let is_usable = |entry: &&EntryRecord| {
            let until = self.failed_until(entry);
            entry.domain == own.domain && until.is_none_or(|until| now >= until)
        };
        before.iter().rfind(is_usable).is_none_or(|last| last.name == reader.name)
    }

    /// When an entry before `name` may be tried again.
    pub fn next_try(&self, name: &str) -> Option<Instant> {
        let before = self.entries.iter().take_while(|entry| entry.name != name);
        before.filter_map(|entry| self.failed_until(entry)).min()
    }

    /// Takes note that an entry cannot be reached or knows less than this one.
    pub fn fail(&mut self, name: &str, now: Instant) {
        let failure =
            self.failed.entry(name.to_owned()).or_insert(Failure { until: now, count: 0 });
        failure.until = now + PAUSE * (1 << failure.count.min(MAX_DOUBLINGS));
        failure.count += 1;
    }

    /// Takes note that an entry tells fresh news.
    pub fn succeed(&mut self, name: &str) {
        self.failed.remove(name);
    }

    fn failed_until(&self, entry: &EntryRecord) -> Option<Instant> {
        self.failed.get(&entry.name).map(|failure| failure.until)
    }
}

/// The place of an entry: the widest links first, and otherwise one that depends on the name alone.
fn rank(entry: &EntryRecord) -> (Reverse<u32>, u64, &str) {
    (Reverse(entry.link_mbps), xxh3_64(entry.name.as_bytes()), &entry.name)
}
