//! One subscription to the entry that reads the directory.

use monoio::io::AsyncWriteRentExt;
use monoio::net::TcpStream;

use super::update::{Update, FORMAT};
use super::{frame, Reader, TURN_AGE};
use crate::edge::directory::{Directory, EntryRecord};
use crate::prelude::*;
use crate::process::gateway::Gateway;

/// Silence after which a reader is given up.
const SILENCE: Duration = Duration::from_millis(2500);
/// Time for which the same reading may lead to different targets before all is compared again.
const DIFFERENCE_TIME: Duration = Duration::from_secs(1);
/// Reason for which a reader is given up whose news have grown old. The next one may know more; if
/// that has nothing fresh to tell either, only its silence counts.
const LATE: &str = "late";
/// Reason for which a reader is given up that knows too little.
pub const STALE: &str = "stale";

/// How a subscription ended.
pub enum Ended {
    /// An entry that comes before the reader may be tried again.
    Due,
    /// This entry and the reader know different targets.
    Differs,
    Failed {
        reason: &'static str,
        /// Whether the reader has told fresh news before.
        has_told: bool,
    },
}

/// A subscription to the entry that reads.
pub struct Subscription<'a> {
    pub gateway: &'a Rc<Gateway>,
    pub directory: &'a dyn Directory,
    pub reader: &'a EntryRecord,
    /// Whether others turn to this entry when the reader fails.
    pub is_standby: bool,
    /// When an entry that comes before the reader may be tried again.
    pub until: Option<Instant>,
    /// Time for which the reader may know too little while this entry cannot read either.
    pub patience: Duration,
}

impl Subscription<'_> {
    /// Follows the reader until it fails or another one should be tried.
    pub async fn follow(&self) -> Ended {
        let mut told = None;
        match self.connect().await {
            Some(mut stream) => {
                let (name, is_standby) = (self.reader.name.clone(), self.is_standby);
                self.gateway.sharing.set_reader(Reader::Other { name, is_standby });
                let ended = self.hear(&mut stream, &mut told).await;
                let has_told = told.is_some();
                ended.unwrap_or_else(|reason| Ended::Failed { reason, has_told })
            }
            None => Ended::Failed { reason: "no connection", has_told: false },
        }
    }

    /// Connects and says what this entry knows.
    async fn connect(&self) -> Option<TcpStream> {
        let mut stream = frame::connect(self.reader.address).await?;
        let mut message = vec![FORMAT];
        message.extend_from_slice(&self.gateway.subscribe_request().encode());
        stream.write_all(message).await.0.ok()?;
        Some(stream)
    }

    /// Takes over updates until the reader is no longer the one to follow.
    ///
    /// `told` is the moment whose state the reader has told; none until it tells fresh news.
    async fn hear(
        &self,
        stream: &mut TcpStream,
        told: &mut Option<Instant>,
    ) -> std::result::Result<Ended, &'static str> {
        let mut good = Instant::now();
        let mut differing: Option<Instant> = None;
        loop {
            let (limit, reason) = match *told {
                Some(told) => (TURN_AGE.saturating_sub(told.elapsed()), LATE),
                None => (SILENCE, "silent"),
            };
            let read = monoio::time::timeout(limit, Update::read(stream)).await;
            let update = read.map_err(|_| reason)?.map_err(|_| "connection lost")?;
            self.gateway.apply_update(self.directory, &update);
            let now = Instant::now();
            if let Some(age) = update.age.filter(|age| *age <= TURN_AGE) {
                good = now;
                *told = now.checked_sub(age).or(Some(now));
            } else if self.is_stale(&update, good.elapsed()) {
                return Err(STALE);
            }
            if !self.gateway.targets_differ(&update) {
                differing = None;
            } else if differing.get_or_insert(now).elapsed() >= DIFFERENCE_TIME {
                return Ok(Ended::Differs);
            }
            if self.until.is_some_and(|until| now >= until) {
                return Ok(Ended::Due);
            }
        }
    }

    /// Whether to pass over a reader that has told nothing fresh for some time.
    ///
    /// One that the directory refuses tells that it knows less and less. If this entry knows better,
    /// it needs no proof; otherwise the directory may be away for all. A reader that knows nothing
    /// has perhaps just started.
    fn is_stale(&self, update: &Update, span: Duration) -> bool {
        let is_telling = update.age.is_some() || span > SILENCE;
        let knows_better = self.gateway.is_fresher_than(update.age);
        is_telling
            && (knows_better || (self.gateway.is_directory_failing() && span >= self.patience))
    }
}
