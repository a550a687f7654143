//! Graceful shutdown, and the signals that start it or a reload of the settings.

use std::os::unix::net::UnixStream as StdStream;

use local_sync::semaphore::Semaphore;
use monoio::io::AsyncReadRent;
use monoio::net::UnixStream;
use serde::Deserialize;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use super::grace_period::GracePeriod;
use super::Result;
use crate::prelude::*;

/// Delays and timeouts of a shutdown; omitted fields keep their defaults.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields, default)]
pub struct ShutdownSettings {
    /// Time between reporting "not ready" and closing the listener, in milliseconds.
    pub delay_ms: u64,
    /// Time after the signal at which the calls still in flight are aborted, in milliseconds.
    pub limit_ms: u64,
}

impl Default for ShutdownSettings {
    fn default() -> Self {
        Self { delay_ms: 1000, limit_ms: 30_000 }
    }
}

/// Progress of a shutdown. Each stage is a semaphore without permits; closing it wakes all waiters.
pub struct Shutdown {
    /// Closed when the shutdown is requested.
    request_stage: Semaphore,
    /// Closed when idle connections must be closed.
    idle_stage: Semaphore,
    /// Closed when the calls still in flight get their last response.
    expiry_stage: Semaphore,
    grace_period: Cell<Option<GracePeriod>>,
    /// Whether the calls still in flight are being aborted.
    is_aborting: Cell<bool>,
    inflight: Cell<usize>,
}

impl Default for Shutdown {
    fn default() -> Self {
        Self {
            request_stage: Semaphore::new(0),
            idle_stage: Semaphore::new(0),
            expiry_stage: Semaphore::new(0),
            grace_period: Cell::default(),
            is_aborting: Cell::default(),
            inflight: Cell::new(0),
        }
    }
}

impl Shutdown {
    /// Requests the shutdown: new connections are accepted for `accept`, and calls in flight are
    /// aborted after `limit`.
    pub fn request(&self, accept: Duration, limit: Duration) {
        self.grace_period.set(Some(GracePeriod::new(Instant::now(), accept, limit)));
        self.request_stage.close();
    }

    /// The grace period, once the shutdown is requested.
    pub fn grace_period(&self) -> Option<GracePeriod> {
        self.grace_period.get()
    }

    /// Whether a call with this deadline and expected duration may be sent to a target now.
    pub fn may_send(&self, deadline: Deadline, expected: Duration) -> bool {
        self.grace_period().is_none_or(|period| period.may_send(deadline, expected, Instant::now()))
    }

    /// Waits until a call with this deadline may no longer be sent to a target, whatever its expected
    /// duration.
    pub async fn refuses(&self, deadline: Deadline) {
        self.requested().await;
        match self.grace_period() {
            Some(period) if !period.contains(deadline) => {
                let left = period.notice_end().saturating_duration_since(Instant::now());
                monoio::time::sleep(left).await;
            }
            Some(_) | None => std::future::pending().await,
        }
    }

    /// Requests a response to each call still in flight, whatever has become of it.
    pub fn expire_calls(&self) {
        self.expiry_stage.close();
    }

    /// Waits until the calls still in flight must be answered.
    pub async fn calls_expired(&self) {
        let _ = self.expiry_stage.acquire().await;
    }

    /// Records that the calls still in flight are being aborted.
    pub fn set_aborting(&self) {
        self.is_aborting.set(true);
    }

    /// Whether the calls still in flight are being aborted.
    pub fn is_aborting(&self) -> bool {
        self.is_aborting.get()
    }

    pub fn is_requested(&self) -> bool {
        self.request_stage.is_closed()
    }

    /// Waits until the shutdown is requested.
    pub async fn requested(&self) {
        let _ = self.request_stage.acquire().await;
    }

    /// Requests that all idle connections are closed.
    pub fn close_idle(&self) {
        self.idle_stage.close();
    }

    /// Waits until idle connections must be closed.
    pub async fn idle_closing(&self) {
        let _ = self.idle_stage.acquire().await;
    }

    /// Counts a call as in flight until the value is dropped.
    pub fn track_call(&self) -> InFlight<'_> {
        self.inflight.set(self.inflight.get() + 1);
        InFlight { shutdown: self }
    }

    /// Number of calls in flight.
    pub fn inflight(&self) -> usize {
        self.inflight.get()
    }
}

/// Counts a call as in flight until the value is dropped.
pub struct InFlight<'a> {
    shutdown: &'a Shutdown,
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.shutdown.inflight.set(self.shutdown.inflight.get() - 1);
    }
}

/// The signals that request a shutdown: SIGTERM and SIGINT.
pub struct ShutdownSignals {
    receiver: UnixStream,
}

impl ShutdownSignals {
    /// Installs handlers for SIGTERM and SIGINT, which then no longer terminate the process.
    pub fn catch() -> Result<Self> {
        let receiver = register(&[SIGTERM, SIGINT]).map_err(|source| Error::Signal { source })?;
        Ok(Self { receiver })
    }

    /// Waits for the first signal.
    pub async fn received(mut self) {
        let _ = self.receiver.read(vec![0; 1]).await;
    }
}

/// The signal that requests a reload of the settings: SIGHUP.
pub struct ReloadSignals {
    receiver: UnixStream,
}

impl ReloadSignals {
    /// Installs a handler for SIGHUP, which then no longer terminates the process.
    pub fn catch() -> Result<Self> {
        let receiver = register(&[SIGHUP]).map_err(|source| Error::Signal { source })?;
        Ok(Self { receiver })
    }

    /// Waits for the next signal; signals that arrived since the last wait count as one.
    pub async fn received(&mut self) {
        let _ = self.receiver.read(vec![0; 64]).await;
    }
}

/// Registers signal handlers that write a byte to a socket pair, and returns the reading end.
fn register(signals: &[i32]) -> std::io::Result<UnixStream> {
    let (sender, receiver) = StdStream::pair()?;
    receiver.set_nonblocking(true)?;
    for signal in signals {
        signal_hook::low_level::pipe::register(*signal, sender.try_clone()?)?;
    }
    UnixStream::from_std(receiver)
}
