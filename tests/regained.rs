//! The return of the directory, while reads of both feeds are under way.

mod fixture;

use std::rc::Rc;
use std::time::{Duration, Instant};

use cornellink::edge::directory::{Feed, Read};
use cornellink::edge::Pending;
use cornellink::error::Error;
use cornellink::prelude::*;
use cornellink::process::gateway::{follower, Gateway};
use cornellink::process::runtime::block_on;
use fixture::gateway::{settings, HEADER_NAMES};
use fixture::only_changes::{nothing_new, Changes, OnlyChanges};

/// Time from one return of the directory to the next.
const PERIOD: Duration = Duration::from_millis(900);
/// Returns that the test plays.
const RETURNS: u32 = 8;

/// A directory that fails every other read of the targets, and answers the next one at the same
/// moment as the read of the routes.
struct Meeting {
    start: Instant,
    fails: Cell<bool>,
    met: Cell<u32>,
}

impl Meeting {
    async fn meet(&self) {
        let periods = self.start.elapsed().as_millis() / PERIOD.as_millis() + 1;
        let end = self.start + PERIOD * periods as u32;
        monoio::time::sleep(end.saturating_duration_since(Instant::now())).await;
    }
}

impl Changes for Meeting {
    fn changes(&self, feed: Feed, from: u64, _: Duration) -> Pending<'_, Read> {
        Box::pin(async move {
            if feed == Feed::Targets && self.fails.replace(!self.fails.get()) {
                return Err(Error::PlatformTimeout);
            }
            self.meet().await;
            if feed == Feed::Routes {
                self.met.set(self.met.get() + 1);
            }
            Ok(nothing_new(from))
        })
    }
}

/// Guards against a process that ends when the directory's return, seen by one feed, meets the
/// answer to the other one's read: a semaphore between the feeds panicked as the wait that it had
/// just served was dropped.
#[test]
fn feeds_survive_a_return_that_meets_an_answer() {
    block_on(async {
        let gateway = Rc::new(Gateway::new(settings("entry-1", None), HEADER_NAMES));
        let meeting = Meeting { start: Instant::now(), fails: Cell::new(true), met: Cell::new(0) };
        let directory = Rc::new(OnlyChanges(meeting));

        let follow = follower::follow(gateway.clone(), directory.clone());
        let ended = monoio::time::timeout(PERIOD * (RETURNS + 1), follow).await;

        assert!(ended.is_err(), "the feeds are followed until the end");
        let met = directory.0.met.get();
        assert!(met >= RETURNS / 2, "{met}");
    })
    .unwrap();
}
