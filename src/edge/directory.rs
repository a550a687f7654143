//! The platform's directory, which provides routes and registered targets as streams of changes.

use super::position::Position;
use super::{PlatformFuture, Result};
use crate::prelude::*;
use crate::version::registration::{self, Registration};
use crate::version::route_table::RouteTable;

/// Largest bandwidth of an entry's link in Mbit/s. The entry with the fastest link reads the
/// directory for the others, so that a wrong bandwidth would make all of them try it first.
const MAX_LINK_MBPS: u32 = 10_000_000;

/// A stream of changes in the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Feed {
    Routes,
    Targets,
}

impl Feed {
    /// Longest time that one read waits in the directory for a change. A lost connection is
    /// detected only after this wait, and a draining target must be noticed sooner than new routes.
    pub fn max_wait(self) -> Duration {
        match self {
            Self::Routes => Duration::from_millis(2000),
            Self::Targets => Duration::from_millis(900),
        }
    }

    /// Name of the feed in log records.
    pub fn name(self) -> &'static str {
        match self {
            Self::Routes => "routes",
            Self::Targets => "targets",
        }
    }
}

/// Whether a failure domain is evacuated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvacuationState {
    /// No call may be sent to the targets of the domain.
    Active,
    /// The domain takes calls again.
    Ended,
}

/// The content of a change.
#[derive(Clone, Debug)]
pub enum DecodedChange {
    Routes(Rc<RouteTable>),
    Target(Registration),
    /// The evacuation of a failure domain began or ended.
    Evacuation {
        domain: Rc<str>,
        state: EvacuationState,
    },
    /// The route table or the target was removed.
    Removed,
    /// The value cannot be used, for the given reason.
    Unusable(String),
}

/// One change of a key, in the directory's own format.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Position of the change in its stream.
    pub position: Position,
    /// The changed key, for example the name of a target.
    pub key: Rc<str>,
    /// The new value, in the directory's own format; empty if the key was removed.
    pub value: Bytes,
}

/// Changes, and the position at which the next read starts.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    pub changes: Vec<Change>,
    pub next: Position,
}

/// Result of a successful read.
#[derive(Clone, Debug)]
pub enum ReadOutcome {
    Batch(Batch),
    /// The directory does not hold all changes since the requested position: they were dropped, or it
    /// has returned from an older copy.
    Gap,
}

/// An entry (a load balancer process) that is registered in the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryRecord {
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Address at which other entries can subscribe to this entry's copy of the directory.
    pub address: SocketAddr,
    /// Bandwidth of the entry's network link in Mbit/s; 0 if unknown.
    pub link_mbps: u32,
}

impl EntryRecord {
    /// Returns the record if an entry can have written it.
    ///
    /// # Errors
    ///
    /// Names the field with an unusable value.
    pub fn validate(self) -> Result<Self> {
        registration::check_id("name", &self.name)?;
        registration::check_address(self.address)?;
        if self.domain.is_empty() || self.link_mbps > MAX_LINK_MBPS {
            let reason = "`domain` is empty or `link_mbps` is out of range".into();
            return Err(Error::Malformed { reason });
        }
        Ok(self)
    }
}

/// Client of the directory service.
pub trait Directory {
    /// Reads the newest change of each key.
    fn snapshot(&self, feed: Feed) -> PlatformFuture<'_, Batch>;

    /// Reads the changes from the position `from` on, waiting up to `wait` for the first one.
    fn changes(
        &self,
        feed: Feed,
        from: Position,
        wait: Duration,
    ) -> PlatformFuture<'_, ReadOutcome>;

    /// The newest history that a response has named; 0 if none has.
    fn newest_history(&self) -> u64 {
        0
    }

    /// Decodes a change; returns `None` if it concerns neither the routes, a target nor an
    /// evacuation, or names a domain that cannot exist.
    fn decode(&self, feed: Feed, change: &Change) -> Option<DecodedChange>;

    /// Writes this entry's record, by which other entries find it.
    fn register_entry<'a>(&'a self, record: &EntryRecord) -> PlatformFuture<'a, ()>;

    /// Reads the records of all entries, some of which may no longer run.
    fn entry_records(&self) -> PlatformFuture<'_, Vec<EntryRecord>>;
}
