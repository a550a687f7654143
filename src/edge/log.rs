//! The platform's append-only log.

use super::Pending;
use crate::prelude::*;

/// One record of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Place of the record in the stream, counted from 0.
    pub offset: u64,
    /// Time of the append by the log's clock, in Unix milliseconds.
    pub time: u64,
    pub value: Bytes,
}

/// What a read returns.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Offset of the oldest record that the log still keeps.
    pub first: u64,
    /// Offset that the next append will get.
    pub next: u64,
    /// Records from the asked offset on; empty at the end of the stream.
    pub records: Vec<Record>,
}

/// The log service, with named streams.
pub trait Log {
    /// Appends records as one append and returns the offset of the first.
    ///
    /// An error does not mean that the append did not take effect.
    fn append<'a>(&'a self, stream: &'a str, records: Vec<Bytes>) -> Pending<'a, u64>;

    /// Reads records at or after `from`, waiting up to `wait` for the first one.
    fn read<'a>(&'a self, stream: &'a str, from: u64, wait: Duration) -> Pending<'a, Page>;
}
