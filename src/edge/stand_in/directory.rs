//! A directory in memory.

use std::collections::BTreeMap;

use crate::edge::directory::{Batch, Change, DecodedChange, Directory, EntryRecord, Feed, Read};
use crate::edge::{Pending, Result};
use crate::prelude::*;

/// Pause between two looks of a read that waits for a change.
const LOOK: Duration = Duration::from_millis(2);

/// A directory that a test fills, and that can be away or forget its history.
///
/// The values are the numbers under which `decoded` keeps what they say.
#[derive(Default)]
pub struct StandInDirectory {
    streams: RefCell<[Vec<Change>; 2]>,
    /// Offset of the oldest change that is kept in each stream.
    first: RefCell<[u64; 2]>,
    decoded: RefCell<Vec<DecodedChange>>,
    records: RefCell<BTreeMap<String, EntryRecord>>,
    away: Cell<bool>,
    reads: Cell<u64>,
}

impl StandInDirectory {
    /// Appends a change.
    pub fn append(&self, feed: Feed, key: &str, decoded: DecodedChange) {
        let value = match decoded {
            DecodedChange::Removed => Bytes::new(),
            _ => Bytes::from(self.decoded.borrow().len().to_string()),
        };
        self.decoded.borrow_mut().push(decoded);
        let mut streams = self.streams.borrow_mut();
        let stream = &mut streams[feed as usize];
        stream.push(Change { offset: stream.len() as u64, key: key.into(), value });
    }

    /// All changes of a feed so far.
    pub fn since_start(&self, feed: Feed) -> Vec<Change> {
        self.streams.borrow()[feed as usize].clone()
    }

    /// Drops the history; the newest change of each entry stays.
    pub fn forget(&self) {
        for (first, stream) in self.first.borrow_mut().iter_mut().zip(&*self.streams.borrow()) {
            *first = stream.len() as u64;
        }
    }

    /// Makes every call fail, or ends that.
    pub fn set_away(&self, away: bool) {
        self.away.set(away);
    }

    /// Number of reads and snapshots so far.
    pub fn reads(&self) -> u64 {
        self.reads.get()
    }

    fn call(&self) -> Result<()> {
        self.reads.set(self.reads.get() + 1);
        match self.away.get() {
            true => Err(Error::PlatformTimeout),
            false => Ok(()),
        }
    }
}

impl Directory for StandInDirectory {
    fn snapshot(&self, feed: Feed) -> Pending<'_, Batch> {
        Box::pin(async move {
            self.call()?;
            let streams = self.streams.borrow();
            let stream = &streams[feed as usize];
            let newest: BTreeMap<_, _> =
                stream.iter().map(|change| (&change.key, change)).collect();
            let held = newest.into_values().filter(|change| !change.value.is_empty());
            Ok(Batch { changes: held.cloned().collect(), next: stream.len() as u64 })
        })
    }

    fn changes(&self, feed: Feed, from: u64, wait: Duration) -> Pending<'_, Read> {
        Box::pin(async move {
            self.call()?;
            let end = Instant::now() + wait;
            loop {
                if self.away.get() {
                    return Err(Error::PlatformTimeout);
                }
                if from < self.first.borrow()[feed as usize] {
                    return Ok(Read::Gap);
                }
                let changes = self.streams.borrow()[feed as usize][from as usize..].to_vec();
                if !changes.is_empty() || Instant::now() >= end {
                    let next = from + changes.len() as u64;
                    return Ok(Read::Batch(Batch { changes, next }));
                }
                monoio::time::sleep(LOOK).await;
            }
        })
    }

    fn decode(&self, _: Feed, change: &Change) -> Option<DecodedChange> {
        if change.value.is_empty() {
            return Some(DecodedChange::Removed);
        }
        let number: usize = std::str::from_utf8(&change.value).ok()?.parse().ok()?;
        self.decoded.borrow().get(number).cloned()
    }

    fn list<'a>(&'a self, record: &EntryRecord) -> Pending<'a, ()> {
        let record = record.clone();
        Box::pin(async move {
            self.call()?;
            self.records.borrow_mut().insert(record.name.clone(), record);
            Ok(())
        })
    }

    fn entry_records(&self) -> Pending<'_, Vec<EntryRecord>> {
        Box::pin(async move {
            self.call()?;
            Ok(self.records.borrow().values().cloned().collect())
        })
    }
}
