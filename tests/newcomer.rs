//! Entries that start beside a running fleet: whom they ask, and from when on they count.

mod fixture;

use cornellink::edge::directory::{Directory, EntryRecord};
use cornellink::edge::stand_in::directory::StandInDirectory;
use cornellink::prelude::*;
use cornellink::process::gateway::sharing::membership::COUNTED_DELAY;
use cornellink::process::gateway::sharing::{publish, subscribe, ListState};
use cornellink::process::gateway::Gateway;
use cornellink::process::runtime::block_on;
use fixture::gateway::{settings, until, HEADER_NAMES};
use monoio::net::TcpListener;

/// Number of entries of the running fleet.
const COUNT: usize = 3;

/// A running fleet and its directory.
struct Fleet {
    directory: Rc<StandInDirectory>,
    records: Vec<EntryRecord>,
}

impl Fleet {
    async fn start() -> Self {
        let directory = Rc::new(StandInDirectory::default());
        let mut fleet = Self { directory, records: Vec::new() };
        for number in 0..COUNT {
            let record = fleet.record(&format!("entry-{number}"));
            fleet.directory.register_entry(&record).await.unwrap();
            fleet.records.push(record);
        }
        let all: Vec<Rc<Gateway>> =
            fleet.records.iter().map(|record| fleet.start_entry(record)).collect();
        until("the fleet has its list", || {
            all.iter().all(|gateway| gateway.sharing.list_state.get() == ListState::Loaded)
        })
        .await;
        fleet
    }

    fn record(&self, name: &str) -> EntryRecord {
        let address = fixture::free_address();
        EntryRecord { name: name.into(), domain: "a".into(), address, link_mbps: 0 }
    }

    /// Starts an entry whose seeds are the other entries of the fleet.
    fn start_entry(&self, own: &EntryRecord) -> Rc<Gateway> {
        let gateway = Rc::new(Gateway::new(settings(&own.name, Some(own.address)), HEADER_NAMES));
        let others = self.records.iter().filter(|record| record.name != own.name);
        gateway.settings.borrow_mut().seeds = others.map(|record| record.address).collect();
        let listener = TcpListener::bind(own.address).unwrap();
        monoio::spawn(publish::serve(gateway.clone(), listener));
        monoio::spawn(subscribe::run(gateway.clone(), self.directory.clone(), own.clone()));
        gateway
    }
}

/// Guards against an entry added in an outage of the directory that counts as one of those among which
/// quotas are divided, although the others do not know it.
#[test]
fn entry_added_in_an_outage_is_not_counted() {
    block_on(async move {
        let fleet = Fleet::start().await;
        fleet.directory.set_unavailable(true);

        let added = fleet.start_entry(&fleet.record("added"));
        let size = &added.sharing.fleet;
        until("the list of a seed", || size.known_entries(Instant::now()).is_some()).await;

        let now = Instant::now();
        assert!(!size.is_counted(now + COUNTED_DELAY * 2));
        assert_eq!(size.counted_entries(now), Some(COUNT as u32));
        assert_eq!(added.entry_count(), COUNT as u32 + 1);

        // It is listed after the outage, and counts once the others have read the list.
        fleet.directory.set_unavailable(false);
        until("the directory's list", || added.sharing.list_state.get() == ListState::Loaded).await;
        assert!(!size.is_counted(Instant::now()));
        assert!(size.is_counted(Instant::now() + COUNTED_DELAY));
        assert_eq!(size.counted_entries(Instant::now() + COUNTED_DELAY), Some(COUNT as u32 + 1));
    })
    .unwrap();
}

/// Guards against an entry added to a running fleet that counts before the others know it.
#[test]
fn added_entry_is_counted_after_a_delay() {
    block_on(async move {
        let fleet = Fleet::start().await;

        let added = fleet.start_entry(&fleet.record("added"));
        until("the directory's list", || added.sharing.list_state.get() == ListState::Loaded).await;

        let (size, now) = (&added.sharing.fleet, Instant::now());
        assert_eq!(size.counted_entries(now), Some(COUNT as u32));
        assert!(!size.is_counted(now) && size.is_counted(now + COUNTED_DELAY));
    })
    .unwrap();
}

/// Guards against an entry that restarts and has no share of a quota, though the others count it.
#[test]
fn restarted_entry_is_counted_at_once() {
    block_on(async move {
        let fleet = Fleet::start().await;
        for is_unavailable in [false, true] {
            fleet.directory.set_unavailable(is_unavailable);
            let own = EntryRecord { address: fixture::free_address(), ..fleet.records[1].clone() };

            let restarted = fleet.start_entry(&own);
            let size = &restarted.sharing.fleet;
            until("a list", || size.known_entries(Instant::now()).is_some()).await;

            assert!(size.is_counted(Instant::now()), "unavailable: {is_unavailable}");
            assert_eq!(size.counted_entries(Instant::now()), Some(COUNT as u32));
        }
    })
    .unwrap();
}
