//! The message by which an entry sends the list of entries to those that start together with it.

use monoio::io::AsyncWriteRentExt;
use serde::{Deserialize, Serialize};

use super::frame;
use crate::edge::directory::EntryRecord;
use crate::prelude::*;

/// First byte that an entry sends to request the list; a subscriber starts with `update::FORMAT`.
pub const LIST_REQUEST: u8 = 0x4c;
/// Largest encoded list.
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

/// Encodes a list as a message.
pub fn encode(records: &[EntryRecord]) -> Bytes {
    let wire: Vec<EntryRecordWire> = records.iter().map(Into::into).collect();
    frame::encode(&wire)
}

/// Decodes a list that this entry has encoded.
pub fn decode(message: &[u8]) -> Vec<EntryRecord> {
    let wire = frame::decode(&message[frame::LENGTH_BYTES..]);
    from_wire(wire.expect("the message is one of `encode`"))
}

fn from_wire(wire: Vec<EntryRecordWire>) -> Vec<EntryRecord> {
    wire.into_iter().map(Into::into).collect()
}

/// Requests the list from a seed, which responds once it has read it; waits for `limit` at most.
pub async fn fetch(seed: SocketAddr, limit: Duration) -> Option<Vec<EntryRecord>> {
    monoio::time::timeout(limit, request_list(seed)).await.ok()?
}

async fn request_list(seed: SocketAddr) -> Option<Vec<EntryRecord>> {
    let mut stream = frame::connect(seed).await?;
    stream.write_all(vec![LIST_REQUEST]).await.0.ok()?;
    let wire: Vec<EntryRecordWire> = frame::read(&mut stream, MAX_BYTES).await.ok()?;
    Some(from_wire(wire))
}
