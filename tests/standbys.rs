//! Several entries of which one reads the directory, and what becomes of its subscribers when it
//! cannot.

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

/// An entry with its own way to the directory.
struct Node {
    record: EntryRecord,
    gateway: Rc<Gateway>,
    directory: Rc<StandInDirectory>,
}

impl Node {
    /// Starts an entry; those with wider links come first in the order.
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

    /// Lets the entry know others, and reads what they share.
    async fn join(&self, records: &[EntryRecord]) {
        for record in records {
            self.directory.list(record).await.expect("the directory is there");
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

/// Starts entries that know each other, and waits until the first one reads for all.
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

/// Guards against a reader that is cut off from the directory and whose subscribers then all read
/// for themselves, which costs a large domain hundreds of reads.
#[test]
fn subscribers_turn_to_a_deputy_when_the_reader_is_cut_off() {
    block_on(async {
        let nodes = nodes().await;
        let before: Vec<u64> = nodes.iter().map(|node| node.directory.reads()).collect();

        nodes[0].directory.set_away(true);
        let end = Instant::now() + STALE_AGE * 3;
        let mut oldest = Duration::ZERO;
        while Instant::now() < end {
            oldest = nodes[1..].iter().map(Node::age).fold(oldest, Duration::max);
            monoio::time::sleep(Duration::from_millis(5)).await;
        }

        let reads = |place: usize| nodes[place].directory.reads() - before[place];
        assert!(oldest < STALE_AGE + Duration::from_millis(200), "{oldest:?}");
        assert!(reads(1) > 0);
        assert_eq!((reads(2), reads(3)), (0, 0));
        assert_eq!([2, 3].map(|place| nodes[place].reader()), ["entry-30", "entry-30"]);
    })
    .unwrap();
}

/// Guards against reads that operators cannot see: which entry reads, and whether it is answered.
#[test]
fn reads_are_counted_by_outcome() {
    block_on(async {
        let nodes = nodes().await;
        let has = |place: usize, outcome: &str| {
            let series = format!(
                r#"cornellink_directory_reads_total{{feed="targets",outcome="{outcome}"}}"#
            );
            nodes[place].gateway.metrics.render().contains(&series)
        };

        until("a read is answered", || has(0, "answered")).await;
        nodes[0].directory.set_away(true);
        until("a read fails", || has(0, "failed")).await;

        assert!(!has(3, "failed"));
    })
    .unwrap();
}

/// Guards against subscribers that return to a reader which still knows less than they do, and stay
/// until their own knowledge is old.
#[test]
fn reader_that_knows_less_is_left_at_once() {
    block_on(async {
        let nodes = nodes().await;
        nodes[0].directory.set_away(true);
        until("the others follow a deputy", || nodes[3].reader() == "entry-30").await;
        let before = nodes[3].directory.reads();

        // The pause after the first failure ends meanwhile.
        let end = Instant::now() + Duration::from_secs(8);
        while Instant::now() < end {
            assert!(nodes[3].age() < STALE_AGE, "{:?}", nodes[3].age());
            monoio::time::sleep(Duration::from_millis(5)).await;
        }

        assert_eq!(nodes[3].directory.reads(), before);
        assert_eq!(nodes[3].reader(), "entry-30");
    })
    .unwrap();
}

/// Guards against entries that do not know of an added one until they read the list again, so that
/// their parts of what all entries may do add up to more (incident SHORT, the same cause).
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
