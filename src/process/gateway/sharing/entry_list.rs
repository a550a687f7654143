//! The list of entries, as one entry tells it to others that start together with it.

use monoio::io::AsyncWriteRentExt;
use serde::{Deserialize, Serialize};

use super::frame;
use crate::edge::directory::EntryRecord;
use crate::prelude::*;

/// First byte from an entry that asks for the list.
pub const QUESTION: u8 = 0x4c;
/// Largest list.
const MAX_BYTES: usize = 8 * 1024 * 1024;

#[derive(Serialize, Deserialize)]
struct EntryRecordWire {
    name: String,
    domain: String,
    address: SocketAddr,
    link_mbps: u32,
}

impl From<&EntryRecord> for EntryRecordWire {
    fn from(record: &EntryRecord) -> Self {
        Self {
            name: record.name.clone(),
            domain: record.domain.clone(),
            address: record.address,
            link_mbps: record.link_mbps,
        }
    }
}

impl From<EntryRecordWire> for EntryRecord {
    fn from(wire: EntryRecordWire) -> Self {
        let EntryRecordWire { name, domain, address, link_mbps } = wire;
        Self { name, domain, address, link_mbps }
    }
}

/// The message that holds a list.
pub fn encode(records: &[EntryRecord]) -> Bytes {
    let wire: Vec<EntryRecordWire> = records.iter().map(Into::into).collect();
    frame::encode(&wire)
}

/// Asks a seed, which answers once it has read the list, for up to `limit`.
pub async fn ask(seed: SocketAddr, limit: Duration) -> Option<Vec<EntryRecord>> {
    monoio::time::timeout(limit, exchange(seed)).await.ok()?
}

async fn exchange(seed: SocketAddr) -> Option<Vec<EntryRecord>> {
    let mut stream = frame::connect(seed).await?;
    stream.write_all(vec![QUESTION]).await.0.ok()?;
    let wire: Vec<EntryRecordWire> = frame::read(&mut stream, MAX_BYTES).await.ok()?;
    Some(wire.into_iter().map(Into::into).collect())
}
