//! Tests of entries that follow one reader of the directory, and of the standbys that replace it
//! when its reads fail.

mod fixture;

use cornellink::edge::directory::{DecodedChange, Directory, EntryRecord, Feed};
use cornellink::edge::stand_in::directory::StandInDirectory;
use cornellink::prelude::*;
use cornellink::process::gateway::sharing::{publish, subscribe, Reader, STALE_AGE};
use cornellink::process::gateway::{follower, Gateway};
use cornellink::process::runtime::block_on;
use fixture::gateway::{idempotent_route, settings, until, HEADER_NAMES};
use fixture::registry::{any_target, table};
use monoio::net::TcpListener;

/// An entry with its own stand-in directory, which can be made unreachable for this entry alone.
struct Node {
    record: EntryRecord,
    gateway: Rc<Gateway>,
    directory: Rc<StandInDirectory>,
}

impl Node {
    /// Starts an entry; entries with wider links come first in the reader order.
    fn start(name: &str, link_mbps: u32) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let gateway = Rc::new(Gateway::new(settings(name, Some(address)), HEADER_NAMES));
        monoio::spawn(publish::serve(gateway.clone(), listener));
        let directory = Rc::new(StandInDirectory::default());
        directory.append(Feed::Targets, "one", DecodedChange::Target(any_target("one")));
        let routes = table(1, vec![idempotent_route()]).expect("the route is valid");
        directory.append(Feed::Routes, "config", DecodedChange::Routes(Rc::new(routes)));
        let record = EntryRecord { name: name.into(), domain: "a".into(), address, link_mbps };
        Self { record, gateway, directory }
    }

    /// Registers the records in the entry's directory, and starts to follow the reader.
    async fn join(&self, records: &[EntryRecord]) {
        for record in records {
            self.directory.register_entry(record).await.expect("the directory is there");
        }
        let (gateway, directory) = (self.gateway.clone(), self.directory.clone());
        monoio::spawn(subscribe::run(gateway.clone(), directory.clone(), self.record.clone()));
        monoio::spawn(follower::follow(gateway, directory));
    }

    fn reader(&self) -> String {
        match &*self.gateway.sharing.reader.borrow() {
            Reader::Own => self.record.name.clone(),
            Reader::Other { name, .. } => name.clone(),
        }
    }

    fn age(&self) -> Duration {
        let freshness = self.gateway.sharing.freshness.borrow();
        freshness.age(Instant::now()).unwrap_or(Duration::MAX)
    }
}

/// Starts entries that have each other in their lists, and waits until the first one reads for all.
async fn nodes() -> Vec<Node> {
    let links = [40, 30, 20, 10];
    let nodes: Vec<Node> =
        links.iter().map(|link| Node::start(&format!("entry-{link}"), *link)).collect();
    let records: Vec<EntryRecord> = nodes.iter().map(|node| node.record.clone()).collect();
    for node in &nodes {
        node.join(&records).await;
    }
    until("one entry reads for all", || {
        nodes.iter().all(|node| node.gateway.is_ready() && node.reader() == "entry-40")
    })
    .await;
    nodes
}

/// Guards against a reader that loses the directory and whose subscribers then all read for
/// themselves, which costs hundreds of reads in a large domain.
#[test]
fn subscribers_switch_to_a_standby_when_the_reader_loses_the_directory() {
    block_on(async {
        let nodes = nodes().await;
        let before: Vec<u64> = nodes.iter().map(|node| node.directory.call_count()).collect();

        nodes[0].directory.set_unavailable(true);
        let end = Instant::now() + STALE_AGE * 3;
        let mut oldest = Duration::ZERO;
        while Instant::now() < end {
            oldest = nodes[1..].iter().map(Node::age).fold(oldest, Duration::max);
            monoio::time::sleep(Duration::from_millis(5)).await;
        }

        let reads = |index: usize| nodes[index].directory.call_count() - before[index];
        assert!(oldest < STALE_AGE + Duration::from_millis(200), "{oldest:?}");
        assert!(reads(1) > 0);
        assert_eq!((reads(2), reads(3)), (0, 0));
        assert_eq!([2, 3].map(|index| nodes[index].reader()), ["entry-30", "entry-30"]);
    })
    .unwrap();
}

/// Guards against metrics that do not show which entry reads, and whether its reads succeed.
#[test]
fn reads_are_counted_by_outcome() {
    block_on(async {
        let nodes = nodes().await;
        let is_counted = |index: usize, outcome: &str| {
            let series = format!(
                r#"cornellink_directory_reads_total{{feed="targets",outcome="{outcome}"}}"#
            );
            nodes[index].gateway.metrics.render().contains(&series)
        };

        until("a read is answered", || is_counted(0, "answered")).await;
        nodes[0].directory.set_unavailable(true);
        until("a read fails", || is_counted(0, "failed")).await;

        assert!(!is_counted(3, "failed"));
    })
    .unwrap();
}

/// Guards against subscribers that return to a reader whose copy is still older than theirs, and
/// follow it until their own copy is stale.
#[test]
fn subscriber_leaves_a_reader_with_an_older_copy_at_once() {
    block_on(async {
        let nodes = nodes().await;
        nodes[0].directory.set_unavailable(true);
        until("the others follow a standby", || nodes[3].reader() == "entry-30").await;
        let before = nodes[3].directory.call_count();

        // The backoff after the first failure ends meanwhile.
        let end = Instant::now() + Duration::from_secs(8);
        while Instant::now() < end {
            assert!(nodes[3].age() < STALE_AGE, "{:?}", nodes[3].age());
            monoio::time::sleep(Duration::from_millis(5)).await;
        }

        assert_eq!(nodes[3].directory.call_count(), before);
        assert_eq!(nodes[3].reader(), "entry-30");
    })
    .unwrap();
}

/// Guards against entries that do not count an added one until they read the list again, so that
/// their shares of a common limit add up to more than the limit (also the cause of incident SHORT).
#[test]
fn added_entry_is_counted_before_the_list_is_read_again() {
    block_on(async {
        let nodes = nodes().await;
        let added = Node::start("entry-5", 5);
        let known = nodes.iter().chain([&added]).map(|node| node.record.clone());
        let records: Vec<EntryRecord> = known.collect();

        added.join(&records).await;

        let counts = || nodes.iter().chain([&added]).map(|node| node.gateway.entry_count());
        until("all entries count the added one", || counts().all(|count| count == 5)).await;
    })
    .unwrap();
}
