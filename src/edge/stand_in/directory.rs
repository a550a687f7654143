//! An in-memory directory.

use std::collections::BTreeMap;

use crate::edge::directory::{
    Batch, Change, DecodedChange, Directory, EntryRecord, EvacuationState, Feed, ReadOutcome,
};
use crate::edge::position::Position;
use crate::edge::{PlatformFuture, Result};
use crate::prelude::*;

/// Poll interval of a read that waits for a change.
const CHANGE_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A directory that a test fills, and that can become unavailable or drop its history.
///
/// The value of a change is the index of its content in `decoded`.
#[derive(Default)]
pub struct StandInDirectory {
    /// Changes of each feed, indexed by `Feed`.
    streams: RefCell<[Vec<Change>; 2]>,
    /// Offset of the oldest change that each stream still holds.
    first: RefCell<[u64; 2]>,
    decoded: RefCell<Vec<DecodedChange>>,
    records: RefCell<BTreeMap<String, EntryRecord>>,
    unavailable: Cell<bool>,
    calls: Cell<u64>,
    /// Number of returns from older copies.
    history: Cell<u64>,
}

impl StandInDirectory {
    /// Appends a change.
    pub fn append(&self, feed: Feed, key: &str, decoded: DecodedChange) {
        let value = match decoded {
            DecodedChange::Removed
            | DecodedChange::Evacuation { state: EvacuationState::Ended, .. } => Bytes::new(),
            _ => Bytes::from(self.decoded.borrow().len().to_string()),
        };
        self.decoded.borrow_mut().push(decoded);
        let mut streams = self.streams.borrow_mut();
        let stream = &mut streams[feed as usize];
        let position = Position::new(self.history.get(), stream.len() as u64);
        stream.push(Change { position, key: key.into(), value });
    }

    /// All changes of a feed since the start.
    pub fn all_changes(&self, feed: Feed) -> Vec<Change> {
        self.streams.borrow()[feed as usize].clone()
    }

    /// Drops the history; snapshots still hold the newest change of each key.
    pub fn drop_history(&self) {
        for (first, stream) in self.first.borrow_mut().iter_mut().zip(&*self.streams.borrow()) {
            *first = stream.len() as u64;
        }
    }

    /// Returns from a copy that holds so many changes of each feed and no record of an entry.
    pub fn return_from_copy(&self, lengths: [usize; 2]) {
        let history = self.history.get() + 1;
        self.history.set(history);
        for (stream, length) in self.streams.borrow_mut().iter_mut().zip(lengths) {
            stream.truncate(length);
            stream.iter_mut().for_each(|change| change.position.history = history);
        }
        self.records.borrow_mut().clear();
    }

    /// Sets whether every call fails.
    pub fn set_unavailable(&self, unavailable: bool) {
        self.unavailable.set(unavailable);
    }

    /// Number of calls so far, including failed ones.
    pub fn call_count(&self) -> u64 {
        self.calls.get()
    }

    /// The content of the change with this value.
    fn find_decoded(&self, value: &Bytes) -> Option<DecodedChange> {
        let index: usize = std::str::from_utf8(value).ok()?.parse().ok()?;
        self.decoded.borrow().get(index).cloned()
    }

    /// The content of a change that removes a key, which depends on what the key held before.
    fn decode_removal(&self, feed: Feed, change: &Change) -> DecodedChange {
        let streams = self.streams.borrow();
        let mut earlier = streams[feed as usize].iter().filter(|other| other.key == change.key);
        match earlier.find_map(|other| self.find_decoded(&other.value)) {
            Some(DecodedChange::Evacuation { domain, .. }) => {
                DecodedChange::Evacuation { domain, state: EvacuationState::Ended }
            }
            Some(_) | None => DecodedChange::Removed,
        }
    }

    /// Counts a call, which fails if the directory is unavailable.
    fn count_call(&self) -> Result<()> {
        self.calls.set(self.calls.get() + 1);
        match self.unavailable.get() {
            true => Err(Error::PlatformTimeout),
            false => Ok(()),
        }
    }
}

impl Directory for StandInDirectory {
    fn snapshot(&self, feed: Feed) -> PlatformFuture<'_, Batch> {
        Box::pin(async move {
            self.count_call()?;
            let streams = self.streams.borrow();
            let stream = &streams[feed as usize];
            let newest: BTreeMap<_, _> =
                stream.iter().map(|change| (&change.key, change)).collect();
            let current = newest.into_values().filter(|change| !change.value.is_empty());
            let next = Position::new(self.history.get(), stream.len() as u64);
            Ok(Batch { changes: current.cloned().collect(), next })
        })
    }

    fn changes(
        &self,
        feed: Feed,
        from: Position,
        wait: Duration,
    ) -> PlatformFuture<'_, ReadOutcome> {
        Box::pin(async move {
            self.count_call()?;
            let end = Instant::now() + wait;
            loop {
                if self.unavailable.get() {
                    return Err(Error::PlatformTimeout);
                }
                let is_dropped = from.offset < self.first.borrow()[feed as usize];
                if is_dropped || from.history != self.history.get() {
                    return Ok(ReadOutcome::Gap);
                }
                let changes = self.streams.borrow()[feed as usize][from.offset as usize..].to_vec();
                if !changes.is_empty() || Instant::now() >= end {
                    let offset = from.offset + changes.len() as u64;
                    let next = Position { offset, ..from };
                    return Ok(ReadOutcome::Batch(Batch { changes, next }));
                }
                monoio::time::sleep(CHANGE_POLL_INTERVAL).await;
            }
        })
    }

    fn newest_history(&self) -> u64 {
        self.history.get()
    }

    fn decode(&self, feed: Feed, change: &Change) -> Option<DecodedChange> {
        if change.value.is_empty() {
            return Some(self.decode_removal(feed, change));
        }
        self.find_decoded(&change.value)
    }

    fn register_entry<'a>(&'a self, record: &EntryRecord) -> PlatformFuture<'a, ()> {
        let record = record.clone();
        Box::pin(async move {
            self.count_call()?;
            self.records.borrow_mut().insert(record.name.clone(), record);
            Ok(())
        })
    }

    fn entry_records(&self) -> PlatformFuture<'_, Vec<EntryRecord>> {
        Box::pin(async move {
            self.count_call()?;
            Ok(self.records.borrow().values().cloned().collect())
        })
    }
}
