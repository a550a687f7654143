//! What an entry asks of a directory that does not answer.

mod fixture;

use cornellink::edge::directory::{Feed, Read};
use cornellink::edge::Pending;
use cornellink::prelude::*;
use cornellink::process::gateway::{follower, Gateway};
use cornellink::process::runtime::block_on;
use fixture::gateway::{settings, until, HEADER_NAMES};
use fixture::only_changes::{nothing_new, Changes, OnlyChanges};

/// Time after which a read without an answer is given up.
const GIVEN_UP: Duration = Duration::from_millis(300);

/// A directory that holds nothing, and may be silent.
#[derive(Default)]
struct Quiet {
    silent: Cell<bool>,
    reads: RefCell<Vec<Feed>>,
}

impl Quiet {
    fn reads(&self, feed: Feed) -> usize {
        self.reads.borrow().iter().filter(|read| **read == feed).count()
    }

    fn forget(&self) {
        self.reads.borrow_mut().clear();
    }
}

impl Changes for Quiet {
    fn changes(&self, feed: Feed, from: u64, wait: Duration) -> Pending<'_, Read> {
        self.reads.borrow_mut().push(feed);
        Box::pin(async move {
            if self.silent.get() {
                monoio::time::sleep(wait + GIVEN_UP).await;
                return Err(Error::PlatformTimeout);
            }
            monoio::time::sleep(wait).await;
            Ok(nothing_new(from))
        })
    }
}

/// Guards against two reads at a time, and against reads of a second feed, of a directory that does
/// not answer the first; all entries of a large deployment ask it then.
#[test]
fn silent_directory_is_asked_one_question_at_a_time() {
    block_on(async {
        let gateway = Rc::new(Gateway::new(settings("entry-1", None), HEADER_NAMES));
        let served = Rc::new(OnlyChanges(Quiet::default()));
        let directory = &served.0;
        monoio::spawn(follower::follow(gateway.clone(), served.clone()));
        until("both feeds are read", || {
            directory.reads(Feed::Targets) > 0 && directory.reads(Feed::Routes) > 0
        })
        .await;

        directory.silent.set(true);
        until("the outage is noticed", || gateway.is_directory_failing()).await;
        monoio::time::sleep(Duration::from_secs(3)).await;
        directory.forget();
        monoio::time::sleep(Duration::from_secs(4)).await;
        let (targets, routes) = (directory.reads(Feed::Targets), directory.reads(Feed::Routes));
        directory.silent.set(false);
        directory.forget();
        until("the return is noticed", || directory.reads(Feed::Routes) > 0).await;

        // A read, its wait of 100 ms included, and the shortest pause take 650 ms.
        assert!((2..=7).contains(&targets), "{targets} reads of the targets");
        assert!(routes <= 3, "{routes} reads of the routes");
        assert!(!gateway.is_directory_failing());
    })
    .unwrap();
}
