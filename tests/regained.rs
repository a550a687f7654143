//! Recovery of the directory while reads of both feeds are in flight.

mod fixture;

use std::rc::Rc;
use std::time::{Duration, Instant};

use cornellink::edge::directory::{Feed, ReadOutcome};
use cornellink::edge::position::Position;
use cornellink::edge::PlatformFuture;
use cornellink::error::Error;
use cornellink::prelude::*;
use cornellink::process::gateway::{follower, Gateway};
use cornellink::process::runtime::block_on;
use fixture::gateway::{settings, HEADER_NAMES};
use fixture::scripted_directory::{empty_read, ScriptedDirectory, ScriptedReads};

/// Time from one recovery of the directory to the next.
const RECOVERY_PERIOD: Duration = Duration::from_millis(900);
/// Number of recoveries in the test.
const RECOVERIES: u32 = 8;

/// Fails every other read of the targets, and responds to the next one at the same moment as to the
/// read of the routes.
struct CollidingReads {
    start: Instant,
    fail_next: Cell<bool>,
    collisions: Cell<u32>,
}

impl CollidingReads {
    async fn wait_for_period_end(&self) {
        let periods = self.start.elapsed().as_millis() / RECOVERY_PERIOD.as_millis() + 1;
        let end = self.start + RECOVERY_PERIOD * periods as u32;
        monoio::time::sleep(end.saturating_duration_since(Instant::now())).await;
    }
}

impl ScriptedReads for CollidingReads {
    fn changes(&self, feed: Feed, from: Position, _: Duration) -> PlatformFuture<'_, ReadOutcome> {
        Box::pin(async move {
            if feed == Feed::Targets && self.fail_next.replace(!self.fail_next.get()) {
                return Err(Error::PlatformTimeout);
            }
            self.wait_for_period_end().await;
            if feed == Feed::Routes {
                self.collisions.set(self.collisions.get() + 1);
            }
            Ok(empty_read(from))
        })
    }
}

/// Guards against a panic when one feed detects the recovery of the directory at the moment in
/// which the read of the other feed gets its response: a semaphore between the feeds panicked as
/// the wait that it had just served was dropped.
#[test]
fn follower_survives_recovery_that_coincides_with_a_response() {
    block_on(async {
        let gateway = Rc::new(Gateway::new(settings("entry-1", None), HEADER_NAMES));
        let reads = CollidingReads {
            start: Instant::now(),
            fail_next: Cell::new(true),
            collisions: Cell::new(0),
        };
        let directory = Rc::new(ScriptedDirectory(reads));

        let follow = follower::follow(gateway.clone(), directory.clone());
        let ended = monoio::time::timeout(RECOVERY_PERIOD * (RECOVERIES + 1), follow).await;

        assert!(ended.is_err(), "the feeds are followed until the end");
        let collisions = directory.0.collisions.get();
        assert!(collisions >= RECOVERIES / 2, "{collisions}");
    })
    .unwrap();
}
