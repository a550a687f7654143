//! Wire types of the stream `config`.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Name of the stream.
pub const STREAM: &str = "config";

/// A record of the stream `config`; the log keeps the time of each one.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "camelCase", tag = "kind")]
pub enum ConfigRecord {
    /// An operator asks that a document replace the revision in force.
    Publish(PublishRecord),
    /// An entry repeats the revision in force before the log drops it.
    Renew(RenewRecord),
}

#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct PublishRecord {
    pub format: u32,
    pub environment: String,
    pub author: String,
    pub nonce: u64,
    /// Number of the revision to replace; 0 for the first.
    pub replaces: u64,
    pub text: String,
}

/// The revision in force after an offset; also what peers pass to each other.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct RenewRecord {
    pub format: u32,
    pub number: u64,
    pub nonce: u64,
    pub author: String,
    /// Offset through which the writer had read the stream.
    pub through: u64,
    pub text: String,
}

impl ConfigRecord {
    /// Encodes the record as JSON.
    pub fn encode(&self) -> Bytes {
        serde_json::to_vec(self).unwrap_or_default().into()
    }

    /// Decodes a record; an unknown kind gives `None`.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok()
    }
}
