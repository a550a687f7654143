//! Tests of entries that start together for the first time, and of how they get the list of
//! entries.

mod fixture;

use cornellink::edge::directory::{
    Batch, Change, DecodedChange, Directory, EntryRecord, Feed, ReadOutcome,
};
use cornellink::edge::position::Position;
use cornellink::edge::stand_in::directory::StandInDirectory;
use cornellink::edge::PlatformFuture;
use cornellink::prelude::*;
use cornellink::process::gateway::sharing::{publish, subscribe, ListState};
use cornellink::process::gateway::Gateway;
use cornellink::process::runtime::block_on;
use fixture::gateway::{settings, until, HEADER_NAMES};
use monoio::net::TcpListener;

/// Number of entries that start together.
const COUNT: usize = 6;

/// A directory that counts the reads of its list of entries.
#[derive(Default)]
struct CountingDirectory {
    inner: StandInDirectory,
    reads: Cell<usize>,
}

impl Directory for CountingDirectory {
    fn snapshot(&self, feed: Feed) -> PlatformFuture<'_, Batch> {
        self.inner.snapshot(feed)
    }

    fn changes(
        &self,
        feed: Feed,
        from: Position,
        wait: Duration,
    ) -> PlatformFuture<'_, ReadOutcome> {
        self.inner.changes(feed, from, wait)
    }

    fn decode(&self, feed: Feed, change: &Change) -> Option<DecodedChange> {
        self.inner.decode(feed, change)
    }

    fn register_entry<'a>(&'a self, record: &EntryRecord) -> PlatformFuture<'a, ()> {
        self.inner.register_entry(record)
    }

    fn entry_records(&self) -> PlatformFuture<'_, Vec<EntryRecord>> {
        self.reads.set(self.reads.get() + 1);
        self.inner.entry_records()
    }
}

/// Starts entries with the seed that `seed` selects from their addresses, and waits until each has
/// all others in its list; returns how often they read the directory's list.
async fn list_reads(seed: impl Fn(&[SocketAddr]) -> SocketAddr) -> usize {
    let directory = Rc::new(CountingDirectory::default());
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
    until("all entries have each other in their lists", || {
        gateways.iter().all(|gateway| {
            gateway.sharing.list_state.get() == ListState::Loaded
                && gateway.sharing.fleet.known_entries(Instant::now()) == Some(COUNT as u32)
        })
    })
    .await;
    directory.reads.get()
}

/// Guards against a read of the list by each entry, which would be half of all calls to the
/// directory on a quiet day.
#[test]
fn only_the_seed_reads_the_list() {
    let reads = block_on(list_reads(|addresses| addresses[0])).unwrap();

    assert_eq!(reads, 1);
}

/// Guards against entries that wait for an unreachable seed.
#[test]
fn all_entries_read_the_list_if_the_seed_is_unreachable() {
    let reads = block_on(list_reads(|_| SocketAddr::from(([127, 0, 0, 1], 1)))).unwrap();

    assert_eq!(reads, COUNT);
}
