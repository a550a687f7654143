//! Finds the entry that reads the directory, and follows what it tells.

use monoio::io::AsyncWriteRentExt;
use monoio::net::TcpStream;
use rand::Rng;

use super::order::Order;
use super::update::{Update, FORMAT};
use super::Reader;
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

/// Follows the entry that reads, or lets this entry read, until the task is dropped.
pub async fn run(gateway: Rc<Gateway>, directory: Rc<dyn Directory>, own: Listing) {
    let order = RefCell::new(Order::default());
    let seeds = gateway.settings.borrow().seeds.clone();
    order.borrow_mut().set_seeds(&own, &seeds);
    gateway.sharing.knowledge.borrow_mut().start(Instant::now());
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
    loop {
        let pause = match directory.listings().await {
            Ok(listings) => {
                gateway.sharing.heard.close();
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
                    gateway.sharing.listed.close();
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
    let heard = monoio::time::timeout(FIRST_LOOK, gateway.sharing.heard.acquire()).await;
    if heard.is_ok() {
        let _ = monoio::time::timeout(JOIN_PAUSE * 2, gateway.sharing.listed.acquire()).await;
    }
    loop {
        let first = order.borrow().first(Instant::now()).cloned();
        match first.filter(|first| first.name != own.name) {
            None => {
                gateway.sharing.set_reader(Reader::Own);
                monoio::time::sleep(LOOK).await;
            }
            Some(first) => {
                let until = match order.borrow().is_listed() {
                    true => order.borrow().next_try(&first.name),
                    false => Some(Instant::now() + SEED_TIME),
                };
                let ended = subscribe(gateway, directory, &first, until).await;
                if let Ended::Failed(reason) = ended {
                    log::info!(reader = first.name.as_str(), reason; "reader given up");
                    order.borrow_mut().fail(&first.name, Instant::now());
                }
            }
        }
    }
}

/// How a subscription ended.
enum Ended {
    /// An entry that comes before the reader may be tried again.
    Due,
    Failed(&'static str),
}

async fn subscribe(
    gateway: &Rc<Gateway>,
    directory: &dyn Directory,
    reader: &Listing,
    until: Option<Instant>,
) -> Ended {
    let connect = TcpStream::connect_addr(reader.address);
    let Ok(Ok(mut stream)) = monoio::time::timeout(CONNECT_TIME, connect).await else {
        return Ended::Failed("no connection");
    };
    let _ = stream.set_nodelay(true);
    let (Ok(_), _) = stream.write_all(vec![FORMAT]).await else {
        return Ended::Failed("no connection");
    };
    gateway.sharing.set_reader(Reader::Other(reader.name.clone()));
    let start = Instant::now();
    loop {
        match monoio::time::timeout(SILENCE, Update::read(&mut stream)).await {
            Err(_) => return Ended::Failed("silent"),
            Ok(Err(_)) => return Ended::Failed("connection lost"),
            Ok(Ok(update)) => {
                gateway.hear(directory, &update);
                // A reader that the directory refuses tells that it knows less and less. One that
                // knows nothing has perhaps just started.
                let is_telling = update.age.is_some() || start.elapsed() > SILENCE;
                if is_telling && gateway.reads_better(update.age) {
                    return Ended::Failed("stale");
                }
            }
        }
        if until.is_some_and(|until| Instant::now() >= until) {
            return Ended::Due;
        }
    }
}
