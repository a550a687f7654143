//! The updates that a reader sends to its subscribers, and their wire format.
//!
//! A subscriber sends `FORMAT` and one subscribe request; all further messages go from the reader
//! to the subscriber.

use monoio::io::AsyncReadRent;
use serde::{Deserialize, Serialize};

use super::buckets::Buckets;
use super::frame;
use super::position_wire::PositionWire;
use crate::edge::directory::{Change, EvacuationState};
use crate::edge::position::Position;
use crate::prelude::*;
use crate::process::gateway::evacuation_record::EvacuationRecord;
use crate::process::gateway::evacuations::MAX_DOMAINS;
use crate::version::registration::check_id;

type Result<T> = std::result::Result<T, Error>;

/// First byte that a subscriber sends: the version of the update messages that it reads.
pub const FORMAT: u8 = 7;
/// Largest encoded update, before and after compression.
const MAX_BYTES: usize = 32 * 1024 * 1024;
/// Smallest update that is compressed.
const MIN_COMPRESSED_BYTES: usize = 1024;

/// Changes of the directory since the last update, and the state of the reader's copy.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Update {
    /// Buckets of which `targets` holds all targets, so that any other target in them is removed.
    pub complete: Buckets,
    pub routes: Option<Change>,
    pub targets: Vec<Change>,
    /// Positions from which the reader continues to read each feed.
    pub routes_next: Option<Position>,
    pub targets_next: Option<Position>,
    /// Age of the reader's copy; none if it holds nothing yet.
    pub age: Option<Duration>,
    /// Number of entries between the directory and the reader.
    pub hops: u8,
    /// Digest of the reader's target registry.
    pub digest: u64,
    /// Number of entries of all domains, if the reader knows it.
    pub entries: Option<u32>,
    /// All evacuations that the reader knows, complete up to `routes_next`.
    pub evacuations: Vec<EvacuationRecord>,
}

/// An encoded `UpdateWire`. Registrations repeat the same field names, so that many of them take a
/// fraction of their size when they are compressed.
#[derive(Serialize, Deserialize)]
enum PackedWire {
    Plain(Vec<u8>),
    Lz4(Vec<u8>),
}

impl From<UpdateWire> for PackedWire {
    fn from(wire: UpdateWire) -> Self {
        let bytes = postcard::to_stdvec(&wire).expect("wire types have no failing serializer");
        match bytes.len() < MIN_COMPRESSED_BYTES {
            true => Self::Plain(bytes),
            false => Self::Lz4(lz4_flex::compress_prepend_size(&bytes)),
        }
    }
}

impl TryFrom<PackedWire> for UpdateWire {
    type Error = Error;

    fn try_from(packed: PackedWire) -> Result<Self> {
        let bytes = match packed {
            PackedWire::Plain(bytes) => bytes,
            PackedWire::Lz4(bytes) => decompress(&bytes)?,
        };
        frame::decode(&bytes)
    }
}

/// Decompresses bytes that follow their decompressed length.
fn decompress(bytes: &[u8]) -> Result<Vec<u8>> {
    let (length, _) = bytes
        .split_first_chunk()
        .ok_or_else(|| frame::malformed("compressed update has no length"))?;
    frame::check_length(u32::from_le_bytes(*length) as usize, MAX_BYTES)?;
    lz4_flex::decompress_size_prepended(bytes).map_err(frame::malformed)
}

#[derive(Serialize, Deserialize)]
struct UpdateWire {
    complete: u64,
    routes: Option<ChangeWire>,
    targets: Vec<ChangeWire>,
    routes_next: Option<PositionWire>,
    targets_next: Option<PositionWire>,
    age_us: Option<u64>,
    hops: u8,
    digest: u64,
    entries: Option<u32>,
    evacuations: Vec<EvacuationWire>,
}

#[derive(Serialize, Deserialize)]
struct EvacuationWire {
    domain: String,
    position: PositionWire,
    is_active: bool,
}

#[derive(Serialize, Deserialize)]
struct ChangeWire {
    position: PositionWire,
    key: String,
    value: Vec<u8>,
}

impl From<&Change> for ChangeWire {
    fn from(change: &Change) -> Self {
        Self {
            position: change.position.into(),
            key: change.key.to_string(),
            value: change.value.to_vec(),
        }
    }
}

impl From<ChangeWire> for Change {
    fn from(wire: ChangeWire) -> Self {
        Self { position: wire.position.into(), key: wire.key.into(), value: wire.value.into() }
    }
}

impl From<&Update> for UpdateWire {
    fn from(update: &Update) -> Self {
        Self {
            complete: update.complete.0,
            routes: update.routes.as_ref().map(Into::into),
            targets: update.targets.iter().map(Into::into).collect(),
            routes_next: update.routes_next.map(Into::into),
            targets_next: update.targets_next.map(Into::into),
            age_us: update.age.map(|age| age.as_micros() as u64),
            hops: update.hops,
            digest: update.digest,
            entries: update.entries,
            evacuations: update.evacuations.iter().map(Into::into).collect(),
        }
    }
}

impl From<&EvacuationRecord> for EvacuationWire {
    fn from(record: &EvacuationRecord) -> Self {
        Self {
            domain: record.domain.to_string(),
            position: record.position.into(),
            is_active: record.state == EvacuationState::Active,
        }
    }
}

impl TryFrom<EvacuationWire> for EvacuationRecord {
    type Error = Error;

    fn try_from(wire: EvacuationWire) -> Result<Self> {
        check_id("domain", &wire.domain)?;
        let state = match wire.is_active {
            true => EvacuationState::Active,
            false => EvacuationState::Ended,
        };
        Ok(Self { domain: wire.domain.into(), position: wire.position.into(), state })
    }
}

impl TryFrom<UpdateWire> for Update {
    type Error = Error;

    fn try_from(wire: UpdateWire) -> Result<Self> {
        if wire.evacuations.len() > MAX_DOMAINS {
            return Err(frame::malformed("update holds too many evacuations"));
        }
        let evacuations = wire.evacuations.into_iter().map(EvacuationRecord::try_from);
        Ok(Self {
            complete: Buckets(wire.complete),
            routes: wire.routes.map(Into::into),
            targets: wire.targets.into_iter().map(Into::into).collect(),
            routes_next: wire.routes_next.map(Into::into),
            targets_next: wire.targets_next.map(Into::into),
            age: wire.age_us.map(Duration::from_micros),
            hops: wire.hops,
            digest: wire.digest,
            entries: wire.entries,
            evacuations: evacuations.collect::<Result<_>>()?,
        })
    }
}

impl Update {
    /// Whether the update holds routes, targets or complete buckets.
    pub fn has_changes(&self) -> bool {
        !self.complete.is_empty() || self.routes.is_some() || !self.targets.is_empty()
    }

    pub fn encode(&self) -> Bytes {
        frame::encode(&PackedWire::from(UpdateWire::from(self)))
    }

    /// Parses an update without its length prefix.
    pub fn decode(body: &[u8]) -> Result<Self> {
        UpdateWire::try_from(frame::decode::<PackedWire>(body)?)?.try_into()
    }

    /// Reads an update from a stream.
    pub async fn read(stream: &mut impl AsyncReadRent) -> Result<Self> {
        UpdateWire::try_from(frame::read::<PackedWire>(stream, MAX_BYTES).await?)?.try_into()
    }
}
