//! The order in which an entry tries other entries as readers of the directory.

use std::cmp::Reverse;
use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::edge::directory::EntryRecord;
use crate::prelude::*;

/// Time for which a failed entry is skipped; each further failure doubles it.
const FAILURE_BACKOFF: Duration = Duration::from_secs(5);
/// Most doublings of the backoff.
const MAX_DOUBLINGS: u32 = 3;
/// Most entries of other failure domains that are tried before this one reads for itself.
const MAX_REMOTE_ENTRIES: usize = 3;

/// Most entries of a failure domain that follow the same one, unless others have failed.
pub const MAX_FOLLOWERS: usize = 24;

/// The entries to try, with their failures; the last one is this entry itself.
///
/// Entries of the same failure domain come first. All entries sort by the same key and try only
/// those that come before them by it, so that no two wait for each other, whichever entries have
/// failed for either of them. In a large domain they form a tree, as no entry could send a whole
/// copy to all others in time.
#[derive(Debug, Default)]
pub struct ReaderOrder {
    entries: Vec<EntryRecord>,
    failures: HashMap<String, Failure>,
}

/// The failures of an entry since its last fresh update.
#[derive(Clone, Copy, Debug)]
struct Failure {
    retry_at: Instant,
    count: u32,
}

impl ReaderOrder {
    /// Starts with the addresses of seeds, which are tried until the list can be read.
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

    /// Replaces the entries by those of the list that come before this one.
    pub fn set_list(&mut self, own: &EntryRecord, mut records: Vec<EntryRecord>) {
        records.retain(|entry| rank(entry) < rank(own));
        records.sort_by(|left, right| rank(left).cmp(&rank(right)));
        let (local, remote): (Vec<_>, Vec<_>) =
            records.into_iter().partition(|entry| entry.domain == own.domain);
        self.entries = parent_first(local);
        self.entries.extend(remote.into_iter().take(MAX_REMOTE_ENTRIES));
        self.entries.push(own.clone());
        let is_candidate = |name: &String| self.entries.iter().any(|entry| entry.name == *name);
        self.failures.retain(|name, _| is_candidate(name));
    }

    /// The first entry that is not skipped after a failure; this one if there is no other.
    pub fn first_available(&self, now: Instant) -> Option<&EntryRecord> {
        self.entries.iter().find(|entry| self.retry_at(entry).is_none_or(|retry| now >= retry))
    }

    /// Whether this entry is the next available one of its failure domain behind the reader, so
    /// that the entries behind it switch to it when the reader fails.
    pub fn is_standby(&self, reader: &EntryRecord, now: Instant) -> bool {
        let Some((own, before)) = self.entries.split_last() else { return false };
        let is_available = |entry: &&EntryRecord| {
            let retry = self.retry_at(entry);
            entry.domain == own.domain && retry.is_none_or(|retry| now >= retry)
        };
        before.iter().rfind(is_available).is_none_or(|last| last.name == reader.name)
    }

    /// The earliest time at which a failed entry before `name` may be tried again.
    pub fn next_retry(&self, name: &str) -> Option<Instant> {
        let before = self.entries.iter().take_while(|entry| entry.name != name);
        before.filter_map(|entry| self.retry_at(entry)).min()
    }

    /// Records that an entry is unreachable or has an older copy than this one.
    pub fn record_failure(&mut self, name: &str, now: Instant) {
        let failure =
            self.failures.entry(name.to_owned()).or_insert(Failure { retry_at: now, count: 0 });
        failure.retry_at = now + FAILURE_BACKOFF * (1 << failure.count.min(MAX_DOUBLINGS));
        failure.count += 1;
    }

    /// Records that an entry has sent a fresh update.
    pub fn record_success(&mut self, name: &str) {
        self.failures.remove(name);
    }

    fn retry_at(&self, entry: &EntryRecord) -> Option<Instant> {
        self.failures.get(&entry.name).map(|failure| failure.retry_at)
    }
}

/// Moves the parent of the entry behind the last one of `before` to the front, where `before` is in
/// sort order.
///
/// The parent of the entry at position `n` is at `(n - 1) / MAX_FOLLOWERS`. Behind a parent other
/// than the first entry comes the second one, the standby: if the parent's copy is too old, so may
/// the first entry's be.
fn parent_first(mut before: Vec<EntryRecord>) -> Vec<EntryRecord> {
    let parent = before.len().saturating_sub(1) / MAX_FOLLOWERS;
    if parent == 0 {
        return before;
    }
    before[..2].rotate_left(1);
    if parent > 1 {
        before[..=parent].rotate_right(1);
    }
    before
}

/// The sort key of an entry: the widest links first, then by the hash of the name.
fn rank(entry: &EntryRecord) -> (Reverse<u32>, u64, &str) {
    (Reverse(entry.link_mbps), xxh3_64(entry.name.as_bytes()), &entry.name)
}
