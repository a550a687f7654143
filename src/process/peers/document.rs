//! Fetches the document of a revision from a peer when the log does not deliver it.

use super::link::Link;
use super::message::{Announcement, Reply, Request};
use super::{Peers, Result};
use crate::prelude::*;
use crate::process::config_stream;
use crate::process::entry::Entry;
use crate::version::record::RenewRecord;

/// Time that the log has to deliver a revision before the entry requests it from a peer.
const LOG_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for a peer's document.
const DOCUMENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval between two checks of the revisions that peers have announced.
const ANNOUNCEMENT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Fetches documents of revisions that peers announce until the entry stops.
pub async fn fetch_announced(entry: Rc<Entry>) {
    let mut behind_since: Option<Instant> = None;
    while !entry.peers.is_stopping() {
        monoio::time::sleep(ANNOUNCEMENT_POLL_INTERVAL).await;
        let Some((link, announcement)) = newest_announced(&entry) else {
            behind_since = None;
            continue;
        };
        let since = *behind_since.get_or_insert_with(Instant::now);
        if since.elapsed() < LOG_TIMEOUT {
            continue;
        }
        behind_since = None;
        let Err(error) = fetch(&entry, &link, announcement).await else { continue };
        log::warn!("cannot fetch the document from peer `{}`: {error}", link.hello.name);
        // Skips this peer until it announces a revision again, as it does on every new connection;
        // another peer may have the document.
        link.announced.set(None);
    }
}

/// The peer with the highest announced revision, if it is above the one in force.
fn newest_announced(entry: &Entry) -> Option<(Rc<Link>, Announcement)> {
    let current = entry.revision().map_or(0, |revision| revision.number);
    let links = entry.peers.links().into_iter();
    let announced = links.filter_map(|link| link.announced.get().map(|latest| (link, latest)));
    announced.filter(|(_, latest)| latest.number > current).max_by_key(|(_, latest)| latest.number)
}

async fn fetch(entry: &Entry, link: &Link, announcement: Announcement) -> Result<()> {
    let request = Request::Document { number: announcement.number };
    let peers: &Peers = &entry.peers;
    let result = monoio::time::timeout(DOCUMENT_TIMEOUT, peers.request(link, &request)).await;
    let Ok(Some(Reply::Document(reply))) = result else {
        return Err(Error::Connection { reason: "the peer did not send the document".into() });
    };
    verify(&reply, announcement)?;
    if config_stream::install(entry, &reply) {
        entry.metrics.count("cornellink_peer_documents_total");
    }
    Ok(())
}

/// Checks that a document belongs to the announced revision.
fn verify(reply: &RenewRecord, announcement: Announcement) -> Result<()> {
    if (reply.number, reply.nonce) == (announcement.number, announcement.nonce) {
        return Ok(());
    }
    Err(Error::Connection { reason: "the document belongs to another revision".into() })
}

/// The announcement of the revision in force, once the entry has one.
pub fn announcement(entry: &Entry) -> Option<Announcement> {
    let history = entry.configuration.history();
    let revision = history.current().filter(|_| history.is_known())?;
    let through = history.next().checked_sub(1)?;
    Some(Announcement { number: revision.number, nonce: revision.nonce, through })
}
