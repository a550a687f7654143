//! Graceful shutdown.

use std::os::unix::net::UnixStream as StdStream;

use local_sync::semaphore::Semaphore;
use monoio::io::AsyncReadRent;
use monoio::net::UnixStream;
use serde::Deserialize;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use super::Result;
use crate::prelude::*;

/// Times of a shutdown; what is left out keeps its default.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields, default)]
pub struct ShutdownSettings {
    /// Time from the report of "not ready" to the end of the listener, in milliseconds.
    pub delay_ms: u64,
    /// Time from the signal to the cut of the calls that are still in flight, in milliseconds.
    pub limit_ms: u64,
}

impl Default for ShutdownSettings {
    fn default() -> Self {
        Self { delay_ms: 1000, limit_ms: 30_000 }
    }
}

/// How far the shutdown of an entry has come.
pub struct Shutdown {
    /// Closed when the shutdown is requested.
    request: Semaphore,
    /// Closed when idle connections are to be closed.
    closing: Semaphore,
    inflight: Cell<usize>,
}

impl Default for Shutdown {
    fn default() -> Self {
        Self { request: Semaphore::new(0), closing: Semaphore::new(0), inflight: Cell::new(0) }
    }
}

impl Shutdown {
    /// Asks for the shutdown.
    pub fn request(&self) {
        self.request.close();
    }

    /// Whether the shutdown was requested.
    pub fn is_requested(&self) -> bool {
        self.request.is_closed()
    }

    /// Resolves when the shutdown is requested.
    pub async fn requested(&self) {
        let _ = self.request.acquire().await;
    }

    /// Lets idle connections be closed.
    pub fn close_idle(&self) {
        self.closing.close();
    }

    /// Resolves when idle connections are to be closed.
    pub async fn closing(&self) {
        let _ = self.closing.acquire().await;
    }

    /// Counts a call as in flight until the value is dropped.
    pub fn call(&self) -> InFlight<'_> {
        self.inflight.set(self.inflight.get() + 1);
        InFlight { shutdown: self }
    }

    /// Number of calls in flight.
    pub fn inflight(&self) -> usize {
        self.inflight.get()
    }
}

/// A call in flight.
pub struct InFlight<'a> {
    shutdown: &'a Shutdown,
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.shutdown.inflight.set(self.shutdown.inflight.get() - 1);
    }
}

/// The signals that ask a process to end.
pub struct Signals {
    receiver: UnixStream,
}

impl Signals {
    /// Starts to catch SIGTERM and SIGINT, which then no longer end the process.
    pub fn catch() -> Result<Self> {
        let receiver = register(&[SIGTERM, SIGINT]).map_err(|source| Error::Signal { source })?;
        Ok(Self { receiver })
    }

    /// Resolves at the first signal.
    pub async fn received(mut self) {
        let _ = self.receiver.read(vec![0; 1]).await;
    }
}

/// The signal that asks a process to read its settings again.
pub struct Hangups {
    receiver: UnixStream,
}

impl Hangups {
    /// Starts to catch SIGHUP, which then no longer ends the process.
    pub fn catch() -> Result<Self> {
        let receiver = register(&[SIGHUP]).map_err(|source| Error::Signal { source })?;
        Ok(Self { receiver })
    }

    /// Resolves at the next signal; several that came meanwhile count as one.
    pub async fn received(&mut self) {
        let _ = self.receiver.read(vec![0; 64]).await;
    }
}

fn register(signals: &[i32]) -> std::io::Result<UnixStream> {
    let (sender, receiver) = StdStream::pair()?;
    receiver.set_nonblocking(true)?;
    for signal in signals {
        signal_hook::low_level::pipe::register(*signal, sender.try_clone()?)?;
    }
    UnixStream::from_std(receiver)
}
