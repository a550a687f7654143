//! An in-memory log.

use std::collections::{HashMap, VecDeque};
use std::time::{SystemTime, UNIX_EPOCH};

use local_sync::oneshot;

use crate::edge::log::{Log, Page, Record};
use crate::edge::PlatformFuture;
use crate::prelude::*;

/// Maximum number of records in a page.
const MAX_PAGE_RECORDS: usize = 1000;
/// A page ends with the record at which the total size of its values reaches this limit. In base64
/// such a page stays within the client's limit of 8 MiB.
const PAGE_LIMIT_BYTES: usize = 2 * 1024 * 1024;

/// Faults that a test turns on and off.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogFaults {
    /// Every operation fails and has no effect.
    pub down: bool,
    /// Delay of every operation.
    pub delay: Duration,
    /// The log goes down after the next append, which still succeeds.
    pub down_after_append: bool,
    /// Appends take effect but time out, as if their responses were lost.
    pub lose_responses: bool,
    /// Reads fail while appends work.
    pub reads_down: bool,
}

/// Limits of the log in addition to its retention; 0 means no limit.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogLimits {
    /// Maximum number of appends in any second.
    pub append_rate: usize,
    /// Maximum number of records in a stream; the oldest ones are dropped.
    pub stream_records: usize,
}

#[derive(Default)]
struct Stream {
    first: u64,
    records: VecDeque<Record>,
}

/// A log whose streams are shared by all its users.
pub struct MemoryLog {
    streams: RefCell<HashMap<String, Stream>>,
    retention: Duration,
    faults: Cell<LogFaults>,
    limits: Cell<LogLimits>,
    started: Instant,
    /// Unix time at `started`.
    unix_start: Duration,
    appends: Cell<u64>,
    refused_appends: Cell<u64>,
    /// Times of the appends of the last second.
    recent_appends: RefCell<VecDeque<Instant>>,
    /// Reads that wait for an append.
    waiting_reads: RefCell<Vec<oneshot::Sender<()>>>,
}

impl MemoryLog {
    /// Creates an empty log that drops records older than `retention`.
    pub fn new(retention: Duration) -> Self {
        Self {
            streams: RefCell::default(),
            retention,
            faults: Cell::default(),
            limits: Cell::default(),
            started: Instant::now(),
            unix_start: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default(),
            appends: Cell::new(0),
            refused_appends: Cell::new(0),
            recent_appends: RefCell::default(),
            waiting_reads: RefCell::default(),
        }
    }

    /// Sets the limits in force.
    pub fn set_limits(&self, limits: LogLimits) {
        self.limits.set(limits);
    }

    /// Number of appends that were refused because of the rate limit.
    pub fn refused_appends(&self) -> u64 {
        self.refused_appends.get()
    }

    /// Drops all streams, so that each starts again at offset 0.
    pub fn reset(&self) {
        self.streams.borrow_mut().clear();
    }

    /// Sets the faults in force.
    pub fn set_faults(&self, faults: LogFaults) {
        self.faults.set(faults);
        self.wake_reads();
    }

    /// The faults in force.
    pub fn faults(&self) -> LogFaults {
        self.faults.get()
    }

    /// Number of appends so far.
    pub fn append_count(&self) -> u64 {
        self.appends.get()
    }

    /// Drops records that exceed the retention or the limit on records of a stream.
    pub fn expire(&self) {
        let now = self.now();
        let cutoff = now.saturating_sub(self.retention.as_millis() as u64);
        for stream in self.streams.borrow_mut().values_mut() {
            let max_records = match self.limits.get().stream_records {
                0 => usize::MAX,
                records => records,
            };
            let is_old = |record: &Record| record.time < cutoff;
            while stream.records.len() > max_records || stream.records.front().is_some_and(is_old) {
                stream.records.pop_front();
                stream.first += 1;
            }
        }
    }

    fn now(&self) -> u64 {
        (self.unix_start + self.started.elapsed()).as_millis() as u64
    }

    fn wake_reads(&self) {
        for sender in self.waiting_reads.take() {
            let _ = sender.send(());
        }
    }

    async fn wait_for_append(&self, timeout: Duration) {
        let (sender, receiver) = oneshot::channel();
        self.waiting_reads.borrow_mut().push(sender);
        let _ = monoio::time::timeout(timeout, receiver).await;
    }

    /// Counts an append against the rate limit, or refuses it.
    fn admit_append(&self) -> super::super::Result<()> {
        let now = Instant::now();
        let mut recent_appends = self.recent_appends.borrow_mut();
        while recent_appends.front().is_some_and(|at| now - *at >= Duration::from_secs(1)) {
            recent_appends.pop_front();
        }
        let limit = self.limits.get().append_rate;
        if limit > 0 && recent_appends.len() >= limit {
            self.refused_appends.set(self.refused_appends.get() + 1);
            return Err(Error::Platform { reason: "the append rate exceeds the limit".into() });
        }
        recent_appends.push_back(now);
        Ok(())
    }

    async fn apply_faults(&self) -> super::super::Result<()> {
        let faults = self.faults.get();
        if !faults.delay.is_zero() {
            monoio::time::sleep(faults.delay).await;
        }
        if faults.down {
            return Err(Error::Platform { reason: "the log is down".into() });
        }
        Ok(())
    }

    fn check_reads_up(&self) -> super::super::Result<()> {
        if self.faults.get().reads_down {
            return Err(Error::Platform { reason: "reads of the log are down".into() });
        }
        Ok(())
    }

    fn page(&self, name: &str, from: u64) -> Page {
        let mut streams = self.streams.borrow_mut();
        let stream = streams.entry(name.into()).or_default();
        let skip = from.saturating_sub(stream.first) as usize;
        let mut bytes = 0;
        let fits = |record: &&Record| {
            let has_room = bytes < PAGE_LIMIT_BYTES;
            bytes += record.value.len();
            has_room
        };
        let records = stream.records.iter().skip(skip).take(MAX_PAGE_RECORDS).take_while(fits);
        Page {
            first: stream.first,
            next: stream.first + stream.records.len() as u64,
            records: records.cloned().collect(),
        }
    }
}

impl Log for MemoryLog {
    fn append<'a>(&'a self, stream: &'a str, records: Vec<Bytes>) -> PlatformFuture<'a, u64> {
        Box::pin(async move {
            self.apply_faults().await?;
            self.admit_append()?;
            self.expire();
            self.appends.set(self.appends.get() + 1);
            let time = self.now();
            self.wake_reads();
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
            if faults.lose_responses {
                return Err(Error::PlatformTimeout);
            }
            Ok(start)
        })
    }

    fn read<'a>(&'a self, stream: &'a str, from: u64, wait: Duration) -> PlatformFuture<'a, Page> {
        Box::pin(async move {
            self.apply_faults().await?;
            self.check_reads_up()?;
            let end = Instant::now() + wait;
            loop {
                self.expire();
                let page = self.page(stream, from);
                if !page.records.is_empty() || Instant::now() >= end {
                    return Ok(page);
                }
                if page.next < from {
                    return Ok(page);
                }
                self.wait_for_append(end.saturating_duration_since(Instant::now())).await;
                self.apply_faults().await?;
                self.check_reads_up()?;
            }
        })
    }
}
