//! Entries share what one of them reads from the directory.
//!
//! All entries agree on an order: the widest links first, then by hashed names. The first one that
//! answers reads the directory. The first one of each other failure domain subscribes to it, and the
//! others to the first one of their own domain, so that news cross domains once. Subscribers say
//! what they know and get only what they lack.
//!
//! Every update states how old the reader's knowledge is. When it grows old, whatever the reason, the
//! deputies read for themselves first: the entry behind the reader, and the first one of each other
//! domain. The other subscribers turn to them, and read for themselves only if that does not help.
//! Different views of the order therefore cost further reads, never correctness.

pub mod buckets;
pub mod entry_list;
pub mod frame;
pub mod freshness;
pub mod list;
pub mod loads;
pub mod publish;
pub mod reader_order;
pub mod subscribe;
pub mod subscribe_request;
pub mod subscription;
pub mod update;

use self::freshness::Freshness;
use self::loads::Loads;
use self::publish::Subscribers;
use crate::prelude::*;

/// Age of a deputy's knowledge from which on it reads the directory itself.
pub const STANDBY_AGE: Duration = Duration::from_millis(1050);
/// Age of an entry's knowledge from which on it turns to another reader.
pub const TURN_AGE: Duration = Duration::from_millis(1200);
/// Age of an entry's knowledge from which on it reads the directory itself.
pub const STALE_AGE: Duration = Duration::from_millis(1300);

/// Who reads the directory for this entry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Reader {
    /// The entry itself.
    #[default]
    Own,
    /// The entry of that name.
    Other {
        name: String,
        /// Whether others turn to this entry when that one fails.
        is_standby: bool,
    },
}

/// How much an entry knows of the list of entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ListState {
    #[default]
    Unknown,
    /// The directory has answered.
    Heard,
    /// The list holds the entries that started together with this one.
    Listed,
}

/// What this entry shares and gets.
#[derive(Default)]
pub struct Sharing {
    pub reader: RefCell<Reader>,
    pub freshness: RefCell<Freshness>,
    pub subscribers: Subscribers,
    /// Whether this entry reads only because those before it in the order have failed.
    pub stands_in: Cell<bool>,
    /// Readings of targets' loads that go to other entries.
    pub loads: Loads,
    /// Number of listed entries of all domains, if the list was read.
    pub entries: Cell<Option<u32>>,
    /// The largest number that another entry has told.
    pub told_entries: Cell<Option<u32>>,
    /// The list of entries as this entry has read it, as a message for others that start together
    /// with it.
    pub list_message: RefCell<Option<Bytes>>,
    /// How much of the list of entries is known.
    pub list: Cell<ListState>,
}

impl Sharing {
    /// How long the entry may go on without a read of its own; zero if it must read now.
    pub fn rest(&self, now: Instant) -> Duration {
        let freshness = self.freshness.borrow();
        match &*self.reader.borrow() {
            Reader::Own => Duration::ZERO,
            Reader::Other { is_standby: true, .. } => freshness.rest(STANDBY_AGE, now),
            Reader::Other { is_standby: false, .. } => freshness.rest(STALE_AGE, now),
        }
    }

    /// The largest number of entries that is known. An old list may lack some, and shares of what
    /// all entries may do must not add up to more.
    pub fn known_entries(&self) -> Option<u32> {
        self.entries.get().max(self.told_entries.get())
    }

    /// Takes note of the number of entries that another entry knows.
    pub fn hear_entries(&self, told: Option<u32>) {
        self.told_entries.set(self.told_entries.get().max(told));
    }

    /// Whether others wait for what this entry reads from the directory.
    pub fn is_awaited(&self) -> bool {
        *self.reader.borrow() == Reader::Own && !self.stands_in.get()
    }

    /// Takes note that the directory has answered about the list.
    pub fn hear_list(&self) {
        self.list.set(self.list.get().max(ListState::Heard));
    }

    /// Changes who reads the directory, and logs it.
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
