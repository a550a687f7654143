//! Entries that get their copies of the directory from each other, as they know only each other as
//! seeds.

mod fixture;

use cornellink::edge::directory::{
    Batch, Change, DecodedChange, Directory, EntryRecord, Feed, ReadOutcome,
};
use cornellink::edge::position::Position;
use cornellink::edge::stand_in::directory::StandInDirectory;
use cornellink::edge::PlatformFuture;
use cornellink::prelude::*;
use cornellink::process::gateway::routes_read::RoutesRead;
use cornellink::process::gateway::sharing::freshness::CopyState;
use cornellink::process::gateway::sharing::{publish, subscribe};
use cornellink::process::gateway::{follower, Gateway};
use cornellink::process::runtime::block_on;
use fixture::gateway::{idempotent_route, settings, until, HEADER_NAMES};
use fixture::registry::table;
use monoio::net::TcpListener;

/// Longest time until a change is in force at each entry.
const CHANGE_LIMIT: Duration = Duration::from_secs(2);

/// A directory whose feeds can be read, but not its list of entries.
#[derive(Default)]
struct UnlistedDirectory(StandInDirectory);

impl Directory for UnlistedDirectory {
    fn snapshot(&self, feed: Feed) -> PlatformFuture<'_, Batch> {
        self.0.snapshot(feed)
    }

    fn changes(
        &self,
        feed: Feed,
        from: Position,
        wait: Duration,
    ) -> PlatformFuture<'_, ReadOutcome> {
        self.0.changes(feed, from, wait)
    }

    fn decode(&self, feed: Feed, change: &Change) -> Option<DecodedChange> {
        self.0.decode(feed, change)
    }

    fn register_entry<'a>(&'a self, _: &EntryRecord) -> PlatformFuture<'a, ()> {
        Box::pin(async { Err(Error::PlatformTimeout) })
    }

    fn entry_records(&self) -> PlatformFuture<'_, Vec<EntryRecord>> {
        Box::pin(async { Err(Error::PlatformTimeout) })
    }
}

impl UnlistedDirectory {
    fn put_routes(&self, version: u64) {
        let table = table(version, vec![idempotent_route()]).expect("the route is valid");
        self.0.append(Feed::Routes, "config", DecodedChange::Routes(Rc::new(table)));
    }
}

/// A gateway that has read the directory just now.
async fn loaded_gateway(
    name: &str,
    address: SocketAddr,
    directory: &UnlistedDirectory,
) -> Rc<Gateway> {
    let gateway = Rc::new(Gateway::new(settings(name, Some(address)), HEADER_NAMES));
    let read = RoutesRead { is_snapshot: true, copy: CopyState::Stale };
    gateway.apply_routes(directory, directory.snapshot(Feed::Routes).await.unwrap(), read);
    gateway.apply_targets(directory, directory.snapshot(Feed::Targets).await.unwrap(), true);
    gateway.sharing.freshness.borrow_mut().record_update(Duration::ZERO, Instant::now());
    gateway
}

/// Guards against entries that follow each other and keep each other's copies fresh without a read
/// of the directory, as each hop of an update takes longer than the age that it states.
#[test]
fn entries_that_follow_each_other_notice_a_change() {
    block_on(async {
        let directory = Rc::new(UnlistedDirectory::default());
        directory.put_routes(1);
        let listeners = [(); 2].map(|()| TcpListener::bind("127.0.0.1:0").expect("a port is free"));
        let addresses = listeners.each_ref().map(|listener| listener.local_addr().unwrap());
        let mut gateways = Vec::new();
        for (number, listener) in listeners.into_iter().enumerate() {
            let (name, address) = (format!("entry-{number}"), addresses[number]);
            let gateway = loaded_gateway(&name, address, &directory).await;
            gateway.settings.borrow_mut().seeds = vec![addresses[1 - number]];
            let own = EntryRecord { name, domain: "a".into(), address, link_mbps: 0 };
            monoio::spawn(publish::serve(gateway.clone(), listener));
            monoio::spawn(subscribe::run(gateway.clone(), directory.clone(), own));
            monoio::spawn(follower::follow(gateway.clone(), directory.clone()));
            gateways.push(gateway);
        }
        monoio::time::sleep(Duration::from_millis(600)).await;

        directory.put_routes(2);
        let start = Instant::now();
        until("both entries have the new routes", || {
            gateways.iter().all(|gateway| gateway.table().is_some_and(|table| table.version == 2))
        })
        .await;

        assert!(start.elapsed() < CHANGE_LIMIT, "{:?}", start.elapsed());
    })
    .unwrap();
}
