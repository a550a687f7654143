//! Reads that an entry sends to a directory that does not respond.

mod fixture;

use cornellink::edge::directory::{Feed, ReadOutcome};
use cornellink::edge::position::Position;
use cornellink::edge::PlatformFuture;
use cornellink::prelude::*;
use cornellink::process::gateway::{follower, Gateway};
use cornellink::process::runtime::block_on;
use fixture::gateway::{settings, until, HEADER_NAMES};
use fixture::scripted_directory::{empty_read, ScriptedDirectory, ScriptedReads};

/// A read without a response fails this long after the end of its wait.
const READ_TIMEOUT: Duration = Duration::from_millis(300);

/// Scripted reads of an empty directory that stops responding while `is_silent` is set.
#[derive(Default)]
struct EmptyDirectory {
    is_silent: Cell<bool>,
    reads: RefCell<Vec<Feed>>,
}

impl EmptyDirectory {
    fn count_reads(&self, feed: Feed) -> usize {
        self.reads.borrow().iter().filter(|read| **read == feed).count()
    }

    fn clear_reads(&self) {
        self.reads.borrow_mut().clear();
    }
}

impl ScriptedReads for EmptyDirectory {
    fn changes(
        &self,
        feed: Feed,
        from: Position,
        wait: Duration,
    ) -> PlatformFuture<'_, ReadOutcome> {
        self.reads.borrow_mut().push(feed);
        Box::pin(async move {
            if self.is_silent.get() {
                monoio::time::sleep(wait + READ_TIMEOUT).await;
                return Err(Error::PlatformTimeout);
            }
            monoio::time::sleep(wait).await;
            Ok(empty_read(from))
        })
    }
}

/// Guards against concurrent reads of one feed, and against reads of the second feed, while the
/// directory does not respond to the first: all entries of a large deployment read it at that time.
#[test]
fn unresponsive_directory_gets_one_read_at_a_time() {
    block_on(async {
        let gateway = Rc::new(Gateway::new(settings("entry-1", None), HEADER_NAMES));
        let shared = Rc::new(ScriptedDirectory(EmptyDirectory::default()));
        let directory = &shared.0;
        monoio::spawn(follower::follow(gateway.clone(), shared.clone()));
        until("both feeds are read", || {
            directory.count_reads(Feed::Targets) > 0 && directory.count_reads(Feed::Routes) > 0
        })
        .await;

        directory.is_silent.set(true);
        until("the outage is detected", || gateway.is_directory_failing()).await;
        monoio::time::sleep(Duration::from_secs(3)).await;
        directory.clear_reads();
        monoio::time::sleep(Duration::from_secs(4)).await;
        let (targets, routes) =
            (directory.count_reads(Feed::Targets), directory.count_reads(Feed::Routes));
        directory.is_silent.set(false);
        directory.clear_reads();
        until("the targets are read again", || !gateway.is_directory_failing()).await;
        let regained = Instant::now();
        until("the routes are read again", || directory.count_reads(Feed::Routes) > 0).await;

        // The return of the targets ends the delay of the routes, which is 1.5 s at least.
        assert!(regained.elapsed() < Duration::from_secs(1), "{:?}", regained.elapsed());
        // A read, its wait of 100 ms included, and the shortest delay take 650 ms.
        assert!((2..=7).contains(&targets), "{targets} reads of the targets");
        assert!(routes <= 3, "{routes} reads of the routes");
    })
    .unwrap();
}
