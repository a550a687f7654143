//! Opens and reopens connections to peers.

use std::collections::BTreeSet;

use rand::Rng;

use super::mesh::CONNECT_INTERVAL;
use super::session::{Ending, Session};
use super::{Peers, ON_DEMAND_LIFETIME};
use crate::connection::quic::endpoint::Endpoint;
use crate::prelude::*;
use crate::process::entry::Entry;

/// Delay before the side with the higher address connects, so that usually only the side with the
/// lower address opens a connection.
const CONNECT_DELAY: Duration = Duration::from_millis(300);
/// Smallest and largest upper bound of the delay before the next connection attempt.
const RECONNECT_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(5));

/// The addresses to connect to: the regular peers and those that requests need.
pub fn desired_peers(peers: &Peers, now: Instant) -> BTreeSet<SocketAddr> {
    let mut members = peers.members.borrow_mut();
    let Some(members) = &mut *members else { return Default::default() };
    for record in peers.connected_members() {
        members.record_connected(&record, now);
    }
    members.expire(now);
    let mut on_demand = peers.on_demand.borrow_mut();
    on_demand.retain(|_, time| now.saturating_duration_since(*time) < ON_DEMAND_LIFETIME);
    let mut desired = members.desired_peers(now);
    desired.extend(on_demand.keys());
    desired
}

/// Connects to a peer, and reconnects while it is one of the desired peers.
pub async fn keep_connected(
    entry: &Rc<Entry>,
    endpoint: &Rc<Endpoint>,
    own: SocketAddr,
    address: SocketAddr,
) {
    let mut failures = 0;
    while !entry.peers.is_stopping()
        && desired_peers(&entry.peers, Instant::now()).contains(&address)
    {
        if own > address && failures == 0 {
            monoio::time::sleep(CONNECT_DELAY).await;
        }
        if entry.peers.links.borrow().contains_key(&address) {
            monoio::time::sleep(CONNECT_INTERVAL).await;
            continue;
        }
        let ending = match endpoint.connect(address) {
            Ok(connection) => Session::new(entry.clone(), connection).run().await,
            Err(_) => Ending::Lost,
        };
        match ending {
            Ending::Closed => failures = 0,
            Ending::Lost => {
                failures += 1;
                if let Some(members) = &mut *entry.peers.members.borrow_mut() {
                    members.record_failure(address, Instant::now());
                }
            }
        }
        if entry.peers.is_stopping() {
            return;
        }
        monoio::time::sleep(backoff(failures)).await;
    }
}

/// Random delay whose upper bound doubles with each consecutive failure.
fn backoff(failures: u32) -> Duration {
    let (initial, max) = RECONNECT_BACKOFF;
    let bound = initial.saturating_mul(1 << failures.min(10)).min(max);
    rand::rng().random_range(initial / 2..=bound)
}
