//! The shards of the workspaces, and the order in which entries are asked for the tokens of each.

use std::cmp::Reverse;
use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::WorkspaceId;
use crate::edge::directory::EntryRecord;
use crate::prelude::*;

/// Entries for each shard beyond the first.
const ENTRIES_PER_SHARD: u32 = 64;
/// Time for which an unresponsive owner is left out; each further failure doubles it.
const MIN_BACKOFF: Duration = Duration::from_secs(1);
const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// Number of shards for a number of entries.
pub fn shard_count(entries: u32) -> u32 {
    1 + entries / ENTRIES_PER_SHARD
}

/// The shard of a workspace.
pub fn shard_of(id: WorkspaceId, shards: u32) -> u32 {
    (id.0 % u64::from(shards.max(1))) as u32
}

/// Position of an entry in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct EntryIndex(usize);

/// The latest stamp of an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stamp {
    /// The owner's clock in microseconds.
    pub stamp: u64,
    pub received: Duration,
}

/// An entry that did not respond.
#[derive(Clone, Copy, Debug)]
struct Failure {
    retry_at: Duration,
    backoff: Duration,
}

/// Another entry, as an owner.
#[derive(Clone, Debug)]
struct Owner {
    record: EntryRecord,
    stamp: Option<Stamp>,
    failure: Option<Failure>,
}

/// The entry that answers for a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShardOwner {
    Own,
    Other(EntryIndex),
}

/// The listed entries and the order of each shard.
#[derive(Debug, Default)]
pub struct OwnerOrder {
    own: String,
    owners: Vec<Owner>,
    shards: Vec<ShardOrder>,
}

/// The other entries in the order of one shard.
#[derive(Debug, Default)]
struct ShardOrder {
    /// Those before this entry, then those behind it.
    others: Vec<EntryIndex>,
    before_count: usize,
}

impl OwnerOrder {
    /// Replaces the list of entries; stamps and failures of entries that stay are kept. Returns
    /// whether the list has changed.
    pub fn set_list(&mut self, own: &EntryRecord, records: &[EntryRecord], shards: u32) -> bool {
        let all: Vec<&EntryRecord> =
            records.iter().filter(|record| record.name != own.name).chain([own]).collect();
        if all.iter().copied().eq(self.owners.iter().map(|owner| &owner.record)) {
            return false;
        }
        let mut known: HashMap<(String, SocketAddr), Owner> = std::mem::take(&mut self.owners)
            .into_iter()
            .map(|owner| ((owner.record.name.clone(), owner.record.address), owner))
            .collect();
        self.owners = all
            .into_iter()
            .map(|record| {
                let known = known.remove(&(record.name.clone(), record.address));
                let (stamp, failure) =
                    known.map_or((None, None), |known| (known.stamp, known.failure));
                Owner { record: record.clone(), stamp, failure }
            })
            .collect();
        self.own = own.name.clone();
        self.set_shards(shards);
        true
    }

    /// Sorts the entries for each of the shards.
    pub fn set_shards(&mut self, shards: u32) {
        self.shards = (0..shards).map(|shard| self.shard_order(shard)).collect();
    }

    fn shard_order(&self, shard: u32) -> ShardOrder {
        let rank = |index: &EntryIndex| {
            let EntryRecord { name, link_mbps, .. } = &self.owners[index.0].record;
            let hash = xxh3_64_with_seed(name.as_bytes(), u64::from(shard));
            (Reverse(*link_mbps), hash, name)
        };
        let mut others: Vec<EntryIndex> = (0..self.owners.len()).map(EntryIndex).collect();
        others.sort_by(|left, right| rank(left).cmp(&rank(right)));
        let own = others.iter().position(|index| self.owners[index.0].record.name == self.own);
        let Some(before_count) = own else { return ShardOrder::default() };
        others.remove(before_count);
        ShardOrder { others, before_count }
    }

    /// The first entry of a shard's order that is not left out.
    ///
    /// This entry counts only if other entries hand their refill over to it, or if there is no other
    /// entry. One that is not in the lists of the others yet would have no more than its own share,
    /// although it is the first in its own list.
    pub fn first(&self, shard: u32, has_senders: bool) -> ShardOwner {
        let Some(ShardOrder { others, before_count }) = self.shards.get(shard as usize) else {
            return ShardOwner::Own;
        };
        let asked = if has_senders { &others[..*before_count] } else { &others[..] };
        asked
            .iter()
            .find(|index| self.owners[index.0].failure.is_none())
            .map_or(ShardOwner::Own, |index| ShardOwner::Other(*index))
    }

    /// The first left-out entry ahead of the owner that may be asked again. Asking it postpones the
    /// next time.
    pub fn take_retry(&mut self, shard: u32, now: Duration) -> Option<EntryIndex> {
        for index in &self.shards.get(shard as usize)?.others {
            let Some(failure) = &mut self.owners[index.0].failure else { return None };
            if failure.retry_at <= now {
                failure.backoff = (failure.backoff * 2).min(MAX_BACKOFF);
                failure.retry_at = now + failure.backoff;
                return Some(*index);
            }
        }
        None
    }

    /// Leaves an unresponsive entry out. Its stamp is dropped, so that it gets no more spans until it
    /// responds.
    pub fn record_failure(&mut self, index: EntryIndex, now: Duration) {
        let Some(owner) = self.owners.get_mut(index.0) else { return };
        let backoff = owner.failure.map_or(MIN_BACKOFF, |last| (last.backoff * 2).min(MAX_BACKOFF));
        owner.stamp = None;
        owner.failure = Some(Failure { retry_at: now + backoff, backoff });
        log::info!(
            entry = owner.record.name.as_str(), backoff_ms = backoff.as_millis() as u64;
            "quota owner left out"
        );
    }

    /// Records the stamp of a response.
    pub fn record_response(&mut self, index: EntryIndex, stamp: Stamp) {
        let Some(owner) = self.owners.get_mut(index.0) else { return };
        owner.stamp = Some(stamp);
        owner.failure = None;
    }

    pub fn stamp(&self, index: EntryIndex) -> Option<Stamp> {
        self.owners.get(index.0)?.stamp
    }

    pub fn address(&self, index: EntryIndex) -> Option<SocketAddr> {
        self.owners.get(index.0).map(|owner| owner.record.address)
    }
}
