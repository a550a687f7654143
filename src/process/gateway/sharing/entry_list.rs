//! The list of entries, as one entry tells it to others that start together with it.

use monoio::io::AsyncWriteRentExt;
use serde::{Deserialize, Serialize};

use super::frame;
use crate::edge::directory::Listing;
use crate::prelude::*;

/// First byte from an entry that asks for the list.
pub const QUESTION: u8 = 0x4c;
/// Largest list.
const MAX_BYTES: usize = 8 * 1024 * 1024;

#[derive(Serialize, Deserialize)]
struct ListingWire {
    name: String,
    domain: String,
    address: SocketAddr,
    link_mbps: u32,
}

impl From<&Listing> for ListingWire {
    fn from(listing: &Listing) -> Self {
        Self {
            name: listing.name.clone(),
            domain: listing.domain.clone(),
            address: listing.address,
            link_mbps: listing.link_mbps,
        }
    }
}

impl From<ListingWire> for Listing {
    fn from(wire: ListingWire) -> Self {
        let ListingWire { name, domain, address, link_mbps } = wire;
        Self { name, domain, address, link_mbps }
    }
}

/// The message that holds a list.
pub fn encode(listings: &[Listing]) -> Bytes {
    let wire: Vec<ListingWire> = listings.iter().map(Into::into).collect();
    frame::encode(&wire)
}

/// Asks a seed, which answers once it has read the list, for up to `limit`.
pub async fn ask(seed: SocketAddr, limit: Duration) -> Option<Vec<Listing>> {
    monoio::time::timeout(limit, exchange(seed)).await.ok()?
}

async fn exchange(seed: SocketAddr) -> Option<Vec<Listing>> {
    let mut stream = frame::connect(seed).await?;
    stream.write_all(vec![QUESTION]).await.0.ok()?;
    let wire: Vec<ListingWire> = frame::read(&mut stream, MAX_BYTES).await.ok()?;
    Some(wire.into_iter().map(Into::into).collect())
}
