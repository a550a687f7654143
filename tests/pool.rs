//! Connections to one target.

mod fixture;

use std::time::Duration;

use cornellink::edge::stand_in::hosted::host_targets;
use cornellink::prelude::*;
use cornellink::process::pool::Pool;
use cornellink::process::runtime::block_on;

/// Guards against a burst that opens a connection for each call, and against more connections
/// than the limit.
#[test]
fn burst_shares_few_connections() {
    let (_host, targets) = host_targets(1, 64, Duration::from_millis(1)).unwrap();
    let address = targets[0];
    let (during, after) = block_on(async move {
        let pool = Rc::new(Pool::new(address, 4, Rc::default()));
        let calls = (0..60).map(|_| {
            let pool = pool.clone();
            monoio::spawn(async move {
                let mut pooled = pool.take().await.unwrap();
                let call = Call::new(Method::GET, Uri::from_static("/a"));
                pooled.connection().exchange(&call).await.unwrap();
                pool.open_count()
            })
        });
        let calls: Vec<_> = calls.collect();
        let mut during = 0;
        for call in calls {
            during = during.max(call.await);
        }
        (during, pool.open_count())
    })
    .unwrap();
    assert!((1..=4).contains(&during), "{during}");
    assert!(after <= 4);
}

/// Guards against places that are lost when calls are given up or the target is down.
#[test]
fn failed_and_cancelled_waits_leave_no_trace() {
    let closed = fixture::free_address();
    let (_host, targets) = host_targets(1, 64, Duration::from_millis(1)).unwrap();
    let address = targets[0];
    block_on(async move {
        let down = Rc::new(Pool::new(closed, 4, Rc::default()));
        for _ in 0..10 {
            assert!(down.take().await.is_err());
        }
        assert_eq!(down.open_count(), 0);

        let pool = Rc::new(Pool::new(address, 1, Rc::default()));
        let held = pool.take().await.unwrap();
        for _ in 0..10 {
            let wait = monoio::time::timeout(Duration::ZERO, pool.take());
            assert!(wait.await.is_err());
        }
        drop(held);
        pool.take().await.unwrap();
        assert_eq!(pool.open_count(), 1);
    })
    .unwrap();
}
