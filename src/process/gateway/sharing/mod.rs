//! Shares one entry's reads of the directory with the other entries.
//!
//! All entries sort the list of entries by the same key: the widest links first, then by the hash
//! of the name. The first one that responds reads the directory. The first one of each other
//! failure domain subscribes to it, and the rest to the first one of their own domain, or in a large
//! domain to one of those that do, so that an update crosses domains once. A subscriber sends a
//! summary of its copy and gets only what it lacks.
//!
//! Every update states the age of the reader's copy of the directory. When it is too old, whatever
//! the reason, the standbys read for themselves first: the entry behind the reader, and the first
//! one of each other domain. The other subscribers switch to a standby, and read for themselves
//! only if the standby's copy is too old as well. Entries that disagree about the order therefore
//! cause additional reads, but no wrong results.

pub mod buckets;
pub mod entry_list;
pub mod fleet_size;
pub mod frame;
pub mod freshness;
pub mod loads;
pub mod membership;
pub mod position_wire;
pub mod publish;
pub mod reader_order;
pub mod subscribe;
pub mod subscribe_request;
pub mod subscription;
pub mod update;

use self::fleet_size::FleetSize;
use self::freshness::Freshness;
use self::loads::LoadSharing;
use self::publish::Subscribers;
use crate::prelude::*;

/// Most entries that an environment can have.
pub const MAX_ENTRIES: u32 = 100_000;
/// Age of the cached directory at which a standby reads the directory itself.
pub const STANDBY_AGE: Duration = Duration::from_millis(1050);
/// Age of the reader's copy at which a subscriber switches to another reader.
pub const SWITCH_READER_AGE: Duration = Duration::from_millis(1200);
/// Age of the cached directory at which any entry reads the directory itself.
pub const STALE_AGE: Duration = Duration::from_millis(1300);

/// The entry that reads the directory for this one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Reader {
    /// The entry itself.
    #[default]
    Own,
    /// Another entry, by its name.
    Other {
        name: String,
        /// Whether other subscribers switch to this entry when the reader fails.
        is_standby: bool,
    },
}

/// What this entry has received of the list of entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ListState {
    #[default]
    Unknown,
    /// The directory has responded to a request about the list.
    Reachable,
    /// The list includes the entries that started together with this one.
    Loaded,
}

/// Most entries between the directory and a reader that is followed. More of them means that entries
/// follow each other in a cycle: the time that an update takes from one to the next is not counted
/// in its age, so that their copies would stay fresh for ever.
pub const MAX_HOPS: u8 = 16;

/// State for sharing the directory and load samples with other entries.
#[derive(Default)]
pub struct Sharing {
    pub reader: RefCell<Reader>,
    pub freshness: RefCell<Freshness>,
    /// Number of entries between the directory and this one's copy.
    pub hops: Cell<u8>,
    pub subscribers: Subscribers,
    /// Whether this entry reads the directory only because the entries before it in the order
    /// failed.
    pub is_fallback: Cell<bool>,
    /// Load samples on their way to other entries.
    pub loads: LoadSharing,
    /// Number of entries of all domains, and whether they count this one.
    pub fleet: FleetSize,
    /// The list of entries as last read, encoded for entries that start together with this one.
    pub encoded_list: RefCell<Option<Bytes>>,
    pub list_state: Cell<ListState>,
}

impl Sharing {
    /// Time until the entry must read the directory itself; zero if that is now.
    pub fn time_until_read(&self, now: Instant) -> Duration {
        let freshness = self.freshness.borrow();
        match &*self.reader.borrow() {
            Reader::Own => Duration::ZERO,
            Reader::Other { is_standby: true, .. } => freshness.time_left(STANDBY_AGE, now),
            Reader::Other { is_standby: false, .. } => freshness.time_left(STALE_AGE, now),
        }
    }

    /// Whether this entry reads the directory as the first one of the order, so that others depend
    /// on its reads.
    pub fn is_primary_reader(&self) -> bool {
        *self.reader.borrow() == Reader::Own && !self.is_fallback.get()
    }

    /// Records that the directory has responded to a request about the list.
    pub fn record_list_response(&self) {
        self.list_state.set(self.list_state.get().max(ListState::Reachable));
    }

    /// Changes the entry that reads the directory, and logs the change.
    pub fn set_reader(&self, reader: Reader) {
        if *self.reader.borrow() == reader {
            return;
        }
        match &reader {
            Reader::Own => log::info!("this entry reads the directory"),
            Reader::Other { name, is_standby } => {
                log::info!(
                    reader = name.as_str(), is_deputy = is_standby;
                    "another entry reads the directory"
                )
            }
        }
        self.reader.replace(reader);
    }
}
