//! Finds the entry that reads the directory, and follows what it tells.

use monoio::io::AsyncWriteRentExt;
use monoio::net::TcpStream;
use rand::Rng;

use super::knowledge::{FIRST_START_PATIENCE, START_PATIENCE};
use super::order::Order;
use super::update::{Update, FORMAT};
use super::{ListState, Reader, STALE_AGE};
use crate::edge::directory::{Directory, Listing};
use crate::prelude::*;
use crate::process::gateway::Gateway;

/// Longest wait for a connection to another entry.
const CONNECT_TIME: Duration = Duration::from_millis(150);
/// Pause between two looks whether another entry should read.
const LOOK: Duration = Duration::from_millis(500);
/// Time after which entries that started together have all been listed.
const JOIN_PAUSE: Duration = Duration::from_millis(600);
/// Time between two further looks at the list.
const LIST_INTERVAL: Duration = Duration::from_secs(60);
/// Pause after the list could not be read.
const LIST_PAUSE: Duration = Duration::from_secs(1);
/// Time for the first answer about the list, without which the seeds are asked.
const FIRST_LOOK: Duration = Duration::from_millis(300);
/// Time for which a seed is followed before the list is looked at again.
const SEED_TIME: Duration = Duration::from_secs(2);
/// Silence after which a reader is given up.
const SILENCE: Duration = Duration::from_millis(2500);
/// Time for which a reader is followed that knows too little, while this entry cannot read either;
/// it doubles with each such reader.
const STALE_TIME: Duration = Duration::from_millis(500);
/// Most doublings of that time.
const MAX_DOUBLINGS: u32 = 4;
/// Time for which the same reading may lead to different targets before all is compared again.
const DIFFERENCE_TIME: Duration = Duration::from_secs(1);
/// Pause between two looks at the state of the list.
const STATE_LOOK: Duration = Duration::from_millis(5);

/// Follows the entry that reads, or lets this entry read, until the task is dropped.
pub async fn run(gateway: Rc<Gateway>, directory: Rc<dyn Directory>, own: Listing) {
    let order = RefCell::new(Order::default());
    let seeds = gateway.settings.borrow().seeds.clone();
    order.borrow_mut().set_seeds(&own, &seeds);
    let patience = match gateway.settings.borrow().first_start {
        true => FIRST_START_PATIENCE,
        false => START_PATIENCE,
    };
    gateway.sharing.knowledge.borrow_mut().wait_until(Instant::now() + patience);
    gateway.sharing.set_reader(Reader::Other(String::new()));
    let listing = keep_list(&gateway, &*directory, &own, &order);
    let following = follow(&gateway, &*directory, &own, &order);
    monoio::join!(listing, following);
}

/// Lists this entry and reads who else is listed.
async fn keep_list(
    gateway: &Gateway,
    directory: &dyn Directory,
    own: &Listing,
    order: &RefCell<Order>,
) {
    let mut is_new = false;
    if gateway.settings.borrow().first_start && directory.list(own).await.is_ok() {
        // All entries list themselves now, and nobody is listed yet.
        is_new = true;
        gateway.sharing.list.set(ListState::Heard);
        monoio::time::sleep(JOIN_PAUSE).await;
    }
    loop {
        let pause = match directory.listings().await {
            Ok(listings) => {
                gateway.sharing.hear_list();
                let is_listed = listings.contains(own);
                if !is_listed {
                    // A lost answer is noticed at the next look.
                    let _ = directory.list(own).await;
                }
                if !is_listed && !std::mem::replace(&mut is_new, true) {
                    // Entries that start together do not see each other yet.
                    JOIN_PAUSE
                } else {
                    let others = listings.iter().filter(|listing| listing.name != own.name);
                    gateway.sharing.entries.set(Some(1 + others.count()));
                    order.borrow_mut().set(own, listings);
                    gateway.sharing.list.set(ListState::Listed);
                    LIST_INTERVAL
                }
            }
            Err(error) => {
                log::debug!(error:% = error; "cannot read the list of entries");
                LIST_PAUSE
            }
        };
        let spread = gateway.rng.borrow_mut().random_range(1.0..1.2);
        monoio::time::sleep(pause.mul_f64(spread)).await;
    }
}

async fn follow(
    gateway: &Rc<Gateway>,
    directory: &dyn Directory,
    own: &Listing,
    order: &RefCell<Order>,
) {
    reach(gateway, ListState::Heard, FIRST_LOOK).await;
    if gateway.sharing.list.get() >= ListState::Heard {
        reach(gateway, ListState::Listed, JOIN_PAUSE * 2).await;
    }
    // Readers in a row that knew too little.
    let mut stale = 0;
    loop {
        let first = order.borrow().first(Instant::now()).cloned();
        let Some(reader) = first.filter(|first| first.name != own.name) else {
            let stands_in = order.borrow().next_try(&own.name).is_some();
            gateway.sharing.stands_in.set(stands_in);
            gateway.sharing.set_reader(Reader::Own);
            monoio::time::sleep(LOOK).await;
            continue;
        };
        let until = match gateway.sharing.list.get() {
            ListState::Listed => order.borrow().next_try(&reader.name),
            ListState::Unknown | ListState::Heard => Some(Instant::now() + SEED_TIME),
        };
        let patience = STALE_TIME * (1 << stale.min(MAX_DOUBLINGS));
        let subscription = Subscription { gateway, directory, reader: &reader, until, patience };
        match subscription.follow().await {
            Ended::Due => stale = 0,
            Ended::Differs => {
                stale = 0;
                gateway.metrics.count("cornellink_resyncs_total");
                log::info!(reader = reader.name.as_str(); "targets differ from the reader's");
            }
            Ended::Failed { reason, has_told } => {
                log::info!(reader = reader.name.as_str(), reason; "reader given up");
                stale = if reason == STALE && !has_told { stale + 1 } else { 0 };
                if has_told {
                    order.borrow_mut().succeed(&reader.name);
                }
                order.borrow_mut().fail(&reader.name, Instant::now());
            }
        }
    }
}

/// Waits until the list has reached a state, but not longer than `limit`.
async fn reach(gateway: &Gateway, state: ListState, limit: Duration) {
    let end = Instant::now() + limit;
    while gateway.sharing.list.get() < state && Instant::now() < end {
        monoio::time::sleep(STATE_LOOK).await;
    }
}

/// Reason for which a reader is given up that knows too little.
const STALE: &str = "stale";

/// How a subscription ended.
enum Ended {
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
struct Subscription<'a> {
    gateway: &'a Rc<Gateway>,
    directory: &'a dyn Directory,
    reader: &'a Listing,
    until: Option<Instant>,
    /// Time for which the reader may know too little while this entry cannot read either.
    patience: Duration,
}

impl Subscription<'_> {
    async fn follow(&self) -> Ended {
        let mut has_told = false;
        match self.connect().await {
            Some(mut stream) => {
                self.gateway.sharing.set_reader(Reader::Other(self.reader.name.clone()));
                let ended = self.hear(&mut stream, &mut has_told).await;
                ended.unwrap_or_else(|reason| Ended::Failed { reason, has_told })
            }
            None => Ended::Failed { reason: "no connection", has_told },
        }
    }

    /// Connects and says what this entry knows.
    async fn connect(&self) -> Option<TcpStream> {
        let connect = TcpStream::connect_addr(self.reader.address);
        let mut stream = monoio::time::timeout(CONNECT_TIME, connect).await.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        let mut message = vec![FORMAT];
        message.extend_from_slice(&self.gateway.greeting().encode());
        stream.write_all(message).await.0.ok()?;
        Some(stream)
    }

    /// Takes over updates until the reader is no longer the one to follow.
    async fn hear(
        &self,
        stream: &mut TcpStream,
        has_told: &mut bool,
    ) -> std::result::Result<Ended, &'static str> {
        let mut good = Instant::now();
        let mut differing: Option<Instant> = None;
        loop {
            let read = monoio::time::timeout(SILENCE, Update::read(stream)).await;
            let update = read.map_err(|_| "silent")?.map_err(|_| "connection lost")?;
            self.gateway.hear(self.directory, &update);
            let now = Instant::now();
            if update.age.is_some_and(|age| age <= STALE_AGE) {
                good = now;
                *has_told = true;
            } else if self.is_stale(&update, good.elapsed()) {
                return Err(STALE);
            }
            if !self.gateway.differs(&update) {
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
    /// One that the directory refuses tells that it knows less and less. If this entry reads well,
    /// it needs no proof; otherwise the directory may be away for all. A reader that knows nothing
    /// has perhaps just started.
    fn is_stale(&self, update: &Update, span: Duration) -> bool {
        let is_telling = update.age.is_some() || span > SILENCE;
        let reads_better = self.gateway.reads_better(update.age);
        is_telling && (reads_better || (self.gateway.is_failing() && span >= self.patience))
    }
}
