//! A log in memory.

use std::collections::{HashMap, VecDeque};
use std::time::{SystemTime, UNIX_EPOCH};

use local_sync::oneshot;

use crate::edge::log::{Log, Page, Record};
use crate::edge::Pending;
use crate::prelude::*;

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
    /// Only reads fail.
    pub reads_down: bool,
}

/// Limits of the log besides its retention; zero stands for none.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogLimits {
    /// Most appends in any second.
    pub appends: usize,
    /// Most records of one stream.
    pub records: usize,
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
    limits: Cell<LogLimits>,
    started: Instant,
    /// Unix time at `started`.
    epoch: Duration,
    appends: Cell<u64>,
    refused: Cell<u64>,
    recent: RefCell<VecDeque<Instant>>,
    waiting: RefCell<Vec<oneshot::Sender<()>>>,
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
            epoch: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default(),
            appends: Cell::new(0),
            refused: Cell::new(0),
            recent: RefCell::default(),
            waiting: RefCell::default(),
        }
    }

    /// Sets the limits in force.
    pub fn set_limits(&self, limits: LogLimits) {
        self.limits.set(limits);
    }

    /// Number of appends that were refused because of the rate limit.
    pub fn refused(&self) -> u64 {
        self.refused.get()
    }

    /// Drops all records and starts every stream anew at offset 0.
    pub fn reset(&self) {
        self.streams.borrow_mut().clear();
    }

    /// Sets the faults in force.
    pub fn set_faults(&self, faults: LogFaults) {
        self.faults.set(faults);
        self.wake();
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
            let most = match self.limits.get().records {
                0 => usize::MAX,
                records => records,
            };
            let is_old = |record: &Record| record.time < limit;
            while stream.records.len() > most || stream.records.front().is_some_and(is_old) {
                stream.records.pop_front();
                stream.first += 1;
            }
        }
    }

    fn now(&self) -> u64 {
        (self.epoch + self.started.elapsed()).as_millis() as u64
    }

    fn wake(&self) {
        for waiting in self.waiting.take() {
            let _ = waiting.send(());
        }
    }

    async fn wait(&self, span: Duration) {
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().push(sender);
        let _ = monoio::time::timeout(span, receiver).await;
    }

    fn take_append(&self) -> super::super::Result<()> {
        let now = Instant::now();
        let mut recent = self.recent.borrow_mut();
        while recent.front().is_some_and(|at| now - *at >= Duration::from_secs(1)) {
            recent.pop_front();
        }
        let limit = self.limits.get().appends;
        if limit > 0 && recent.len() >= limit {
            self.refused.set(self.refused.get() + 1);
            return Err(Error::Platform { reason: "too many appends".into() });
        }
        recent.push_back(now);
        Ok(())
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

    fn check_reads(&self) -> super::super::Result<()> {
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
            self.take_append()?;
            self.expire();
            self.appends.set(self.appends.get() + 1);
            let time = self.now();
            self.wake();
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
            self.check_reads()?;
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
                self.wait(end.saturating_duration_since(Instant::now())).await;
                self.pass_faults().await?;
                self.check_reads()?;
            }
        })
    }
}
