//! The platform's append-only log.

use super::PlatformFuture;
use crate::prelude::*;

/// One record of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Offset of the record in its stream, counted from 0.
    pub offset: u64,
    /// Time of the append on the log's clock, in Unix milliseconds.
    pub time: u64,
    pub value: Bytes,
}

/// Result of a read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Offset of the oldest record that the log still keeps.
    pub first: u64,
    /// Offset of the next append.
    pub next: u64,
    /// Records from the requested offset on; empty at the end of the stream.
    pub records: Vec<Record>,
}

/// Client of the log service, which holds named streams.
pub trait Log {
    /// Appends the records in one operation and returns the offset of the first.
    ///
    /// The append may have taken effect even if this returns an error.
    fn append<'a>(&'a self, stream: &'a str, records: Vec<Bytes>) -> PlatformFuture<'a, u64>;

    /// Reads records at or after `from`, waiting up to `wait` for the first one.
    fn read<'a>(&'a self, stream: &'a str, from: u64, wait: Duration) -> PlatformFuture<'a, Page>;
}
