//! The subscribe request: a summary of the subscriber's copy, so that it gets only what it lacks.

use monoio::io::AsyncReadRent;
use serde::{Deserialize, Serialize};

use super::buckets::{Digests, COUNT};
use super::frame;
use super::position_wire::PositionWire;
use crate::edge::position::Position;
use crate::prelude::*;

type Result<T> = std::result::Result<T, Error>;

/// Largest encoded request.
const MAX_BYTES: usize = 4096;

/// The first message of a subscriber.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubscribeRequest {
    /// Position of the subscriber's current routes.
    pub routes: Option<Position>,
    /// Digests of the subscriber's target registry.
    pub digests: Digests,
    /// Number of entries of all domains, if the subscriber knows it.
    pub entries: Option<u32>,
}

#[derive(Serialize, Deserialize)]
struct SubscribeRequestWire {
    routes: Option<PositionWire>,
    digests: Vec<u64>,
    entries: Option<u32>,
}

impl From<&SubscribeRequest> for SubscribeRequestWire {
    fn from(request: &SubscribeRequest) -> Self {
        Self {
            routes: request.routes.map(Into::into),
            digests: request.digests.to_vec(),
            entries: request.entries,
        }
    }
}

impl TryFrom<SubscribeRequestWire> for SubscribeRequest {
    type Error = Error;

    fn try_from(wire: SubscribeRequestWire) -> Result<Self> {
        let found = wire.digests.len();
        let digests = wire.digests.try_into().map_err(|_| Error::Malformed {
            reason: format!("expected {COUNT} digests, found {found}"),
        })?;
        Ok(Self { routes: wire.routes.map(Into::into), digests, entries: wire.entries })
    }
}

impl SubscribeRequest {
    pub fn encode(&self) -> Bytes {
        frame::encode(&SubscribeRequestWire::from(self))
    }

    /// Parses a request without its length prefix.
    pub fn decode(body: &[u8]) -> Result<Self> {
        frame::decode::<SubscribeRequestWire>(body)?.try_into()
    }

    /// Reads a request from a stream.
    pub async fn read(stream: &mut impl AsyncReadRent) -> Result<Self> {
        frame::read::<SubscribeRequestWire>(stream, MAX_BYTES).await?.try_into()
    }
}
