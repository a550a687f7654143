//! The platform's directory: the routes and the registered targets, as streams of changes.

use super::Pending;
use crate::prelude::*;
use crate::version::registration::Registration;
use crate::version::route_table::RouteTable;

/// What a stream of changes is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Feed {
    Routes,
    Targets,
}

impl Feed {
    /// Longest wait of one read. A lost connection shows only behind it, and a target that leaves
    /// must be seen sooner than new routes.
    pub fn longest_wait(self) -> Duration {
        match self {
            Self::Routes => Duration::from_millis(2000),
            Self::Targets => Duration::from_millis(900),
        }
    }

    /// The feed's name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Routes => "routes",
            Self::Targets => "targets",
        }
    }
}

/// What a change says.
#[derive(Clone, Debug)]
pub enum DecodedChange {
    Routes(Rc<RouteTable>),
    Target(Registration),
    /// The entry was removed.
    Removed,
    /// The entry cannot be used, for the given reason.
    Unusable(String),
}

/// One change of an entry, as the directory holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Place of the change in the stream.
    pub offset: u64,
    /// Name of the entry.
    pub key: Rc<str>,
    /// The entry, in the directory's own format; empty if it was removed.
    pub value: Bytes,
}

/// Changes and the offset from which to read on.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    pub changes: Vec<Change>,
    pub next: u64,
}

/// What a read returns.
#[derive(Clone, Debug)]
pub enum Read {
    Batch(Batch),
    /// Changes after the asked offset are no longer kept.
    Gap,
}

/// Another entry, as the directory lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryRecord {
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Address at which the entry shares what it reads.
    pub address: SocketAddr,
    /// Speed of the entry's link in Mbit/s; 0 if it is not known.
    pub link_mbps: u32,
}

/// The directory service.
pub trait Directory {
    /// The newest change of each entry.
    fn snapshot(&self, feed: Feed) -> Pending<'_, Batch>;

    /// Changes from `from` on, waiting up to `wait` for the first one.
    fn changes(&self, feed: Feed, from: u64, wait: Duration) -> Pending<'_, Read>;

    /// What a change says; nothing if it concerns no route and no target.
    fn decode(&self, feed: Feed, change: &Change) -> Option<DecodedChange>;

    /// Lists this entry, so that others find it.
    fn list<'a>(&'a self, record: &EntryRecord) -> Pending<'a, ()>;

    /// The listed entries, of which some may be gone.
    fn entry_records(&self) -> Pending<'_, Vec<EntryRecord>>;
}
