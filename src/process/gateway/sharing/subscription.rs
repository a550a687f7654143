//! A subscription to the entry that reads the directory.

use monoio::io::AsyncWriteRentExt;
use monoio::net::TcpStream;

use super::update::{Update, FORMAT};
use super::{frame, Reader, MAX_HOPS, SWITCH_READER_AGE};
use crate::edge::directory::{Directory, EntryRecord};
use crate::prelude::*;
use crate::process::gateway::Gateway;

/// Longest wait for the next update of a reader that has sent no fresh one yet.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time for which the targets may differ at equal offsets before the entry subscribes again to
/// compare all of them.
const MISMATCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Reason for leaving a reader whose last fresh update has become too old. The next reader may have
/// a newer copy; until it sends a fresh update, only the silence timeout applies to it.
const REASON_LATE: &str = "late";
/// Reason for leaving a reader that sends updates of a copy which is too old.
pub const REASON_STALE: &str = "stale";

/// Reason for leaving a reader that gets its copy from this entry, directly or through others.
const REASON_CYCLE: &str = "cycle";

/// How a subscription ended.
pub enum SubscriptionEnd {
    /// An entry that comes before the reader may be tried again.
    RetryDue,
    /// This entry and the reader hold different targets at equal offsets.
    TargetsDiffer,
    Failed {
        reason: &'static str,
        /// Whether the reader has sent a fresh update before.
        was_fresh: bool,
    },
}

/// A subscription to the entry that reads the directory.
pub struct Subscription<'a> {
    pub gateway: &'a Rc<Gateway>,
    pub directory: &'a dyn Directory,
    pub reader: &'a EntryRecord,
    /// Whether other subscribers switch to this entry when the reader fails.
    pub is_standby: bool,
    /// When an entry that comes before the reader may be tried again.
    pub retry_at: Option<Instant>,
    /// Longest time without a fresh update while this entry's own reads fail as well.
    pub stale_timeout: Duration,
}

impl Subscription<'_> {
    /// Follows the reader until it fails or another one should be tried.
    pub async fn follow(&self) -> SubscriptionEnd {
        let mut fresh_at = None;
        match self.connect().await {
            Some(mut stream) => {
                let (name, is_standby) = (self.reader.name.clone(), self.is_standby);
                self.gateway.sharing.set_reader(Reader::Other { name, is_standby });
                let end = self.receive_updates(&mut stream, &mut fresh_at).await;
                let was_fresh = fresh_at.is_some();
                end.unwrap_or_else(|reason| SubscriptionEnd::Failed { reason, was_fresh })
            }
            None => SubscriptionEnd::Failed { reason: "no connection", was_fresh: false },
        }
    }

    /// Connects and sends the subscribe request.
    async fn connect(&self) -> Option<TcpStream> {
        let mut stream = frame::connect(self.reader.address).await?;
        let mut message = vec![FORMAT];
        message.extend_from_slice(&self.gateway.subscribe_request().encode());
        stream.write_all(message).await.0.ok()?;
        Some(stream)
    }

    /// Applies updates until the subscription ends.
    ///
    /// `fresh_at` is the time of the directory's state in the last fresh update; none before the
    /// first one.
    async fn receive_updates(
        &self,
        stream: &mut TcpStream,
        fresh_at: &mut Option<Instant>,
    ) -> std::result::Result<SubscriptionEnd, &'static str> {
        let mut fresh_received_at = Instant::now();
        let mut differs_since: Option<Instant> = None;
        loop {
            let (limit, reason) = match *fresh_at {
                Some(time) => (SWITCH_READER_AGE.saturating_sub(time.elapsed()), REASON_LATE),
                None => (SILENCE_TIMEOUT, "silent"),
            };
            let read = monoio::time::timeout(limit, Update::read(stream)).await;
            let update = read.map_err(|_| reason)?.map_err(|_| "connection lost")?;
            if update.hops >= MAX_HOPS {
                return Err(REASON_CYCLE);
            }
            self.gateway.apply_update(self.directory, &update);
            let now = Instant::now();
            if let Some(age) = update.age.filter(|age| *age <= SWITCH_READER_AGE) {
                fresh_received_at = now;
                *fresh_at = now.checked_sub(age).or(Some(now));
            } else if self.should_leave(&update, fresh_received_at.elapsed()) {
                return Err(REASON_STALE);
            }
            if !self.gateway.targets_differ(&update) {
                differs_since = None;
            } else if differs_since.get_or_insert(now).elapsed() >= MISMATCH_TIMEOUT {
                return Ok(SubscriptionEnd::TargetsDiffer);
            }
            if self.retry_at.is_some_and(|retry| now >= retry) {
                return Ok(SubscriptionEnd::RetryDue);
            }
        }
    }

    /// Whether to leave a reader that has sent no fresh update for `since_fresh`.
    ///
    /// A reader that cannot read the directory sends updates of increasing age. It is left at once
    /// if this entry's own copy is fresh; otherwise the directory may be unreachable for all, and
    /// it is left after the stale timeout if this entry's reads fail too. A reader without a copy
    /// may have just started and is not left before the silence timeout.
    fn should_leave(&self, update: &Update, since_fresh: Duration) -> bool {
        let is_started = update.age.is_some() || since_fresh > SILENCE_TIMEOUT;
        let is_fresher = self.gateway.is_fresher_than(update.age);
        is_started
            && (is_fresher
                || (self.gateway.is_directory_failing() && since_fresh >= self.stale_timeout))
    }
}
