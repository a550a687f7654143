//! A log in memory.

use std::collections::{HashMap, VecDeque};
use std::time::{SystemTime, UNIX_EPOCH};

use crate::platform::log::{Log, Page, Record};
use crate::platform::Pending;
use crate::prelude::*;

/// Time between two looks of a waiting read.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Most records in one page.
const PAGE_RECORDS: usize = 1000;
/// Bytes of values after which a page ends; in base64 it stays within a client's limit of 8 MiB.
const PAGE_BYTES: usize = 2 * 1024 * 1024;

/// Faults that a test switches on and off.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogFaults {
    /// Every operation fails without an effect.
    pub down: bool,
    /// Time added to every operation.
    pub delay: Duration,
    /// The next append takes effect and is answered, and then the log is down.
    pub down_after_append: bool,
    /// Appends take effect, but their answers are lost.
    pub lose_answers: bool,
}

#[derive(Default)]
struct Stream {
    first: u64,
    records: VecDeque<Record>,
}

/// The streams of a log, shared by all who use it.
pub struct MemoryLog {
    streams: RefCell<HashMap<String, Stream>>,
    retention: Duration,
    faults: Cell<LogFaults>,
    started: Instant,
    /// Unix time at `started`.
    epoch: Duration,
    appends: Cell<u64>,
}

impl MemoryLog {
    /// Creates an empty log that drops records older than `retention`.
    pub fn new(retention: Duration) -> Self {
        Self {
            streams: RefCell::default(),
            retention,
            faults: Cell::default(),
            started: Instant::now(),
            epoch: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default(),
            appends: Cell::new(0),
        }
    }

    /// Sets the faults in force.
    pub fn set_faults(&self, faults: LogFaults) {
        self.faults.set(faults);
    }

    /// The faults in force.
    pub fn faults(&self) -> LogFaults {
        self.faults.get()
    }

    /// Number of appends so far.
    pub fn appends(&self) -> u64 {
        self.appends.get()
    }

    /// Drops records older than the retention.
    pub fn expire(&self) {
        let now = self.now();
        let limit = now.saturating_sub(self.retention.as_millis() as u64);
        for stream in self.streams.borrow_mut().values_mut() {
            while stream.records.front().is_some_and(|record| record.time < limit) {
                stream.records.pop_front();
                stream.first += 1;
            }
        }
    }

    fn now(&self) -> u64 {
        (self.epoch + self.started.elapsed()).as_millis() as u64
    }

    async fn pass_faults(&self) -> super::super::Result<()> {
        let faults = self.faults.get();
        if !faults.delay.is_zero() {
            monoio::time::sleep(faults.delay).await;
        }
        if faults.down {
            return Err(Error::Platform { reason: "the log is down".into() });
        }
        Ok(())
    }

    fn page(&self, name: &str, from: u64) -> Page {
        let mut streams = self.streams.borrow_mut();
        let stream = streams.entry(name.into()).or_default();
        let skip = from.saturating_sub(stream.first) as usize;
        let mut bytes = 0;
        let fits = |record: &&Record| {
            let is_open = bytes < PAGE_BYTES;
            bytes += record.value.len();
            is_open
        };
        let records = stream.records.iter().skip(skip).take(PAGE_RECORDS).take_while(fits);
        Page {
            first: stream.first,
            next: stream.first + stream.records.len() as u64,
            records: records.cloned().collect(),
        }
    }
}

impl Log for MemoryLog {
    fn append<'a>(&'a self, stream: &'a str, records: Vec<Bytes>) -> Pending<'a, u64> {
        Box::pin(async move {
            self.pass_faults().await?;
            self.expire();
            self.appends.set(self.appends.get() + 1);
            let time = self.now();
            let mut streams = self.streams.borrow_mut();
            let stream = streams.entry(stream.into()).or_default();
            let start = stream.first + stream.records.len() as u64;
            for (index, value) in records.into_iter().enumerate() {
                stream.records.push_back(Record { offset: start + index as u64, time, value });
            }
            let faults = self.faults.get();
            if faults.down_after_append {
                self.set_faults(LogFaults { down: true, down_after_append: false, ..faults });
            }
            if faults.lose_answers {
                return Err(Error::PlatformTimeout);
            }
            Ok(start)
        })
    }

    fn read<'a>(&'a self, stream: &'a str, from: u64, wait: Duration) -> Pending<'a, Page> {
        Box::pin(async move {
            self.pass_faults().await?;
            let end = Instant::now() + wait;
            loop {
                self.expire();
                let page = self.page(stream, from);
                if !page.records.is_empty() || Instant::now() >= end {
                    return Ok(page);
                }
                monoio::time::sleep(POLL_INTERVAL).await;
                self.pass_faults().await?;
            }
        })
    }
}
