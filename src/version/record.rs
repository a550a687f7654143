//! Records of the stream `config`, as stored in the log.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

pub const STREAM: &str = "config";

/// A record of the stream `config`; the log adds an offset and a time.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "camelCase", tag = "kind")]
pub enum ConfigRecord {
    /// Request of an operator to replace the revision in force with a document.
    Publish(PublishRecord),
    /// Copy of the revision in force, which an entry appends before the log drops the original.
    Renew(RenewRecord),
}

#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct PublishRecord {
    pub format: u32,
    pub environment: String,
    pub author: String,
    pub nonce: u64,
    /// Number of the revision to replace; 0 if there is none yet.
    pub replaces: u64,
    pub text: String,
}

/// The revision in force after an offset; peers also send it to each other.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct RenewRecord {
    pub format: u32,
    pub number: u64,
    pub nonce: u64,
    pub author: String,
    /// Offset of the last record that the writer had read.
    pub through: u64,
    pub text: String,
}

impl ConfigRecord {
    /// Encodes the record as JSON.
    pub fn encode(&self) -> Bytes {
        serde_json::to_vec(self).unwrap_or_default().into()
    }

    /// Decodes a record; `None` if it is malformed or of an unknown kind.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok()
    }
}
