//! What a reader tells its subscribers, and its form on the wire.
//!
//! A message is its length in four bytes, big-endian, and a postcard value. A subscriber sends
//! `FORMAT` once; everything else goes from the reader to the subscriber.

use monoio::io::{AsyncReadRent, AsyncReadRentExt};
use serde::{Deserialize, Serialize};

use crate::edge::directory::Change;
use crate::prelude::*;

type Result<T> = std::result::Result<T, Error>;

/// First byte from a subscriber: the version of the messages that it reads.
pub const FORMAT: u8 = 1;
/// Largest message.
const MAX_BYTES: usize = 32 * 1024 * 1024;
/// Bytes of a message's length.
const LENGTH_BYTES: usize = 4;

/// News of the directory since the last update.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Update {
    /// Whether `targets` holds all targets, so that others are gone.
    pub complete: bool,
    pub routes: Option<Change>,
    pub targets: Vec<Change>,
    /// Offset from which a reader goes on in each feed.
    pub routes_next: Option<u64>,
    pub targets_next: Option<u64>,
    /// Age of the reader's knowledge; none if it knows nothing yet.
    pub age: Option<Duration>,
}

#[derive(Serialize, Deserialize)]
struct UpdateWire {
    complete: bool,
    routes: Option<ChangeWire>,
    targets: Vec<ChangeWire>,
    routes_next: Option<u64>,
    targets_next: Option<u64>,
    age_us: Option<u64>,
}

#[derive(Serialize, Deserialize)]
struct ChangeWire {
    offset: u64,
    key: String,
    value: Vec<u8>,
}

impl From<&Change> for ChangeWire {
    fn from(change: &Change) -> Self {
        Self { offset: change.offset, key: change.key.to_string(), value: change.value.to_vec() }
    }
}

impl From<ChangeWire> for Change {
    fn from(wire: ChangeWire) -> Self {
        Self { offset: wire.offset, key: wire.key.into(), value: wire.value.into() }
    }
}

impl From<&Update> for UpdateWire {
    fn from(update: &Update) -> Self {
        Self {
            complete: update.complete,
            routes: update.routes.as_ref().map(Into::into),
            targets: update.targets.iter().map(Into::into).collect(),
            routes_next: update.routes_next,
            targets_next: update.targets_next,
            age_us: update.age.map(|age| age.as_micros() as u64),
        }
    }
}

impl From<UpdateWire> for Update {
    fn from(wire: UpdateWire) -> Self {
        Self {
            complete: wire.complete,
            routes: wire.routes.map(Into::into),
            targets: wire.targets.into_iter().map(Into::into).collect(),
            routes_next: wire.routes_next,
            targets_next: wire.targets_next,
            age: wire.age_us.map(Duration::from_micros),
        }
    }
}

impl Update {
    /// Whether the update says more than its age.
    pub fn has_changes(&self) -> bool {
        self.complete || self.routes.is_some() || !self.targets.is_empty()
    }

    /// The message.
    pub fn encode(&self) -> Bytes {
        let wire = UpdateWire::from(self);
        let body = postcard::to_stdvec(&wire).expect("the wire type has no failing serializer");
        let mut message = BytesMut::with_capacity(LENGTH_BYTES + body.len());
        message.extend_from_slice(&(body.len() as u32).to_be_bytes());
        message.extend_from_slice(&body);
        message.freeze()
    }

    /// Parses a message without its length.
    pub fn decode(body: &[u8]) -> Result<Self> {
        let wire: UpdateWire = postcard::from_bytes(body).map_err(malformed)?;
        Ok(wire.into())
    }

    /// Reads a message.
    pub async fn read(stream: &mut impl AsyncReadRent) -> Result<Self> {
        let (result, length) = stream.read_exact(vec![0; LENGTH_BYTES]).await;
        result.map_err(malformed)?;
        let length: [u8; LENGTH_BYTES] = length.try_into().map_err(|_| malformed("no length"))?;
        let length = u32::from_be_bytes(length) as usize;
        if length > MAX_BYTES {
            return Err(malformed(format!("a message of {length} bytes")));
        }
        let (result, body) = stream.read_exact(vec![0; length]).await;
        result.map_err(malformed)?;
        Self::decode(&body)
    }
}

fn malformed(reason: impl ToString) -> Error {
    Error::Malformed { reason: reason.to_string() }
}
