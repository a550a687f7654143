//! Non-idempotent calls without a key.

mod fixture;

use cornellink::edge::stand_in::hosted::host_platform;
use cornellink::prelude::*;
use cornellink::process::runtime::block_on;
use cornellink::request::header;
use fixture::entry_cluster::{document, EntryCluster};
use fixture::free_address;
use fixture::publish::publish;

/// Guards against a second attempt of a booking without a key, even if the first one certainly did
/// not run. An idempotent call on the same target shows that the metric counts retries.
#[test]
fn booking_without_a_key_gets_one_attempt() {
    let (_platform, address) = host_platform(Duration::from_secs(3600)).unwrap();
    let addresses = [free_address()];
    let (booking_metrics, lookup_metrics) = block_on(async {
        publish(address, document(&[("jobs", 3, &addresses)])).await;
        let cluster = EntryCluster::start(1, vec![address]);
        cluster.wait_ready().await;
        let mut call = Call::new(Method::POST, Uri::from_static("/jobs/1"));
        call.set_header(header::WORKSPACE, "north");

        let response = cluster.client(0).call(&call).await.unwrap();
        assert_eq!(response.code(), Some(Code::NotRunConnect));
        let booking_metrics = cluster.metrics(0).await;
        let mut call = Call::new(Method::GET, Uri::from_static("/jobs/1"));
        call.set_header(header::WORKSPACE, "north");
        cluster.client(0).call(&call).await.unwrap();
        (booking_metrics, cluster.metrics(0).await)
    })
    .unwrap();
    assert!(!booking_metrics.contains("cornellink_retries"));
    assert!(
        lookup_metrics.contains("cornellink_retries"),
        "an idempotent call was not retried either"
    );
}
