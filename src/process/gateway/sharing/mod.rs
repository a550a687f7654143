//! Entries of a failure domain share what one of them reads from the directory.
//!
//! The entries of a domain agree on an order by hashing their names. The first one that answers
//! reads the directory; the others subscribe to it. Every update states how old the reader's
//! knowledge is, and an entry whose knowledge is older than `STALE_AGE` reads for itself, whatever
//! the reason. Different views of the order therefore cost further reads, never correctness.

pub mod knowledge;
pub mod order;
pub mod publish;
pub mod subscribe;
pub mod update;

use local_sync::semaphore::Semaphore;

use self::knowledge::Knowledge;
use self::publish::Subscribers;
use crate::prelude::*;

/// Age of an entry's knowledge from which on it reads the directory itself.
pub const STALE_AGE: Duration = Duration::from_millis(1300);

/// Who reads the directory for this entry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Reader {
    /// The entry itself.
    #[default]
    Own,
    /// The entry of that name.
    Other(String),
}

/// What this entry shares and gets.
pub struct Sharing {
    pub reader: RefCell<Reader>,
    pub knowledge: RefCell<Knowledge>,
    pub subscribers: Subscribers,
    /// Number of listed entries of all domains, if the list was read.
    pub entries: Cell<Option<usize>>,
    /// Closed once the directory has answered about the list.
    pub heard: Semaphore,
    /// Closed once the list holds the entries that started together with this one.
    pub listed: Semaphore,
}

impl Default for Sharing {
    fn default() -> Self {
        Self {
            reader: RefCell::default(),
            knowledge: RefCell::default(),
            subscribers: Subscribers::default(),
            entries: Cell::default(),
            heard: Semaphore::new(0),
            listed: Semaphore::new(0),
        }
    }
}

impl Sharing {
    /// How long the entry may go on without a read of its own; zero if it must read now.
    pub fn rest(&self, now: Instant) -> Duration {
        match &*self.reader.borrow() {
            Reader::Own => Duration::ZERO,
            Reader::Other(_) => self.knowledge.borrow().rest(now),
        }
    }

    /// Changes who reads the directory, and logs it.
    pub fn set_reader(&self, reader: Reader) {
        if *self.reader.borrow() == reader {
            return;
        }
        match &reader {
            Reader::Own => log::info!("this entry reads the directory"),
            Reader::Other(name) => {
                log::info!(reader = name.as_str(); "another entry reads the directory")
            }
        }
        self.reader.replace(reader);
    }
}
