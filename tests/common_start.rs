//! Entries that start together for the first time, and how they come to know each other.

mod fixture;

use cornellink::edge::directory::{
    Batch, Change, DecodedChange, Directory, EntryRecord, Feed, Read,
};
use cornellink::edge::stand_in::directory::StandInDirectory;
use cornellink::edge::Pending;
use cornellink::prelude::*;
use cornellink::process::gateway::sharing::{publish, subscribe, ListState};
use cornellink::process::gateway::Gateway;
use cornellink::process::runtime::block_on;
use fixture::gateway::{settings, until, HEADER_NAMES};
use monoio::net::TcpListener;

/// Entries that start together.
const COUNT: usize = 6;

/// A directory that counts looks at its list.
#[derive(Default)]
struct Counting {
    inner: StandInDirectory,
    looks: Cell<usize>,
}

impl Directory for Counting {
    fn snapshot(&self, feed: Feed) -> Pending<'_, Batch> {
        self.inner.snapshot(feed)
    }

    fn changes(&self, feed: Feed, from: u64, wait: Duration) -> Pending<'_, Read> {
        self.inner.changes(feed, from, wait)
    }

    fn decode(&self, feed: Feed, change: &Change) -> Option<DecodedChange> {
        self.inner.decode(feed, change)
    }

    fn list<'a>(&'a self, record: &EntryRecord) -> Pending<'a, ()> {
        self.inner.list(record)
    }

    fn entry_records(&self) -> Pending<'_, Vec<EntryRecord>> {
        self.looks.set(self.looks.get() + 1);
        self.inner.entry_records()
    }
}

/// Starts entries with the seed that `seed` names among their addresses, and waits until all are
/// known to all; returns how often they looked at the directory's list.
async fn looks(seed: impl Fn(&[SocketAddr]) -> SocketAddr) -> usize {
    let directory = Rc::new(Counting::default());
    let bind = || TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let listeners: Vec<TcpListener> = (0..COUNT).map(|_| bind()).collect();
    let addresses: Vec<SocketAddr> =
        listeners.iter().map(|listener| listener.local_addr().unwrap()).collect();
    let seed = seed(&addresses);
    let mut gateways = Vec::new();
    for (number, listener) in listeners.into_iter().enumerate() {
        let (name, address) = (format!("entry-{number}"), addresses[number]);
        let gateway = Rc::new(Gateway::new(settings(&name, Some(address)), HEADER_NAMES));
        gateway.settings.borrow_mut().first_start = true;
        gateway.settings.borrow_mut().seeds = vec![seed];
        monoio::spawn(publish::serve(gateway.clone(), listener));
        let own = EntryRecord { name, domain: "a".into(), address, link_mbps: 0 };
        monoio::spawn(subscribe::run(gateway.clone(), directory.clone(), own));
        gateways.push(gateway);
    }
    until("all entries know each other", || {
        gateways.iter().all(|gateway| {
            gateway.sharing.list_state.get() == ListState::Loaded
                && gateway.sharing.listed_entries.get() == Some(COUNT as u32)
        })
    })
    .await;
    directory.looks.get()
}

/// Guards against a look of each entry, which is half of all calls to the directory on a quiet day.
#[test]
fn only_the_seed_looks_at_the_list() {
    let looks = block_on(looks(|addresses| addresses[0])).unwrap();

    assert_eq!(looks, 1);
}

/// Guards against entries that wait for a seed which is gone.
#[test]
fn all_look_at_the_list_without_a_seed() {
    let looks = block_on(looks(|_| SocketAddr::from(([127, 0, 0, 1], 1)))).unwrap();

    assert_eq!(looks, COUNT);
}
