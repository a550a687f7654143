//! Calls that wait for a target when a shutdown begins.

use std::future::Future;
use std::pin::Pin;

use cornellink::prelude::*;
use cornellink::process::runtime::block_on;
use cornellink::process::shutdown::Shutdown;

type Wait<'a> = Pin<Box<dyn Future<Output = ()> + 'a>>;

/// Polls a wait once; returns whether it has ended.
async fn has_ended(wait: &mut Wait<'_>) -> bool {
    monoio::select! {
        biased;
        () = wait => true,
        () = std::future::ready(()) => false,
    }
}

fn deadline(timeout_ms: u64) -> Deadline {
    Deadline::after(Instant::now(), Duration::from_millis(timeout_ms))
}

/// Guards against a panic when callers leave, or calls find a target, at the moment of the signal.
#[test]
fn waits_can_be_dropped_before_and_after_the_signal() {
    block_on(async {
        for dropped_after_poll in [false, true] {
            let shutdown = Shutdown::default();
            let mut waits: Vec<Wait> =
                (0..10).map(|_| Box::pin(shutdown.refuses(deadline(60_000))) as Wait).collect();
            for wait in &mut waits {
                assert!(!has_ended(wait).await);
            }
            waits.truncate(8);

            shutdown.request(Duration::ZERO, Duration::from_millis(400));
            if dropped_after_poll {
                for wait in &mut waits {
                    assert!(!has_ended(wait).await, "calls are sent at the beginning");
                }
            }
            waits.truncate(4);
            monoio::time::sleep(Duration::from_millis(150)).await;

            for wait in &mut waits {
                has_ended(wait).await;
            }
        }
    })
    .unwrap();
}

/// Guards against a call that goes on looking for a target when it may no longer be sent, and
/// against one that is refused although it ends in time.
#[test]
fn call_is_refused_while_it_waits_unless_it_ends_in_time() {
    block_on(async {
        let shutdown = Shutdown::default();
        let mut late: Wait = Box::pin(shutdown.refuses(deadline(60_000)));
        let mut early: Wait = Box::pin(shutdown.refuses(deadline(100)));
        shutdown.request(Duration::ZERO, Duration::from_millis(800));

        let before = has_ended(&mut late).await;
        monoio::time::sleep(Duration::from_millis(250)).await;
        let after = has_ended(&mut late).await;

        assert_eq!((before, after, has_ended(&mut early).await), (false, true, false));
    })
    .unwrap();
}
