//! Records of the stream `claims`, as stored in the log.

use serde::{Deserialize, Serialize};

use super::key::Key;
use crate::prelude::*;

/// Name of the stream.
pub const STREAM: &str = "claims";
/// First byte of every record. Every running entry must be able to read a version before any entry
/// writes it: an entry that skips a claim would let a duplicate run.
const VERSION: u8 = 1;

/// A record of the stream `claims`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimRecord {
    /// An entry claims a key. The first claim of a key gives the right to run the call.
    Claim(NewClaim),
    /// The call of a claim has ended.
    Result { key: Key, nonce: u64, outcome: CallResult },
    /// The call of a claim was not run and never will be, so its key is free again.
    Release { key: Key, nonce: u64 },
    /// A record without a claim. An entry appends it to announce that it has started, to test the
    /// log and to keep the stream from becoming empty.
    Mark(Mark),
}

/// The body of a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NewClaim {
    pub key: Key,
    /// Digest of the call's method, path and body.
    pub digest: u64,
    pub holder: Holder,
    /// Random number that identifies this claim.
    pub nonce: u64,
    /// Time in milliseconds after the claim within which the call ends.
    pub span: u32,
}

/// One run of an entry process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Holder {
    pub name: String,
    /// Random number of the process, so that an entry is another holder after a restart.
    pub incarnation: u64,
}

/// The result of a call.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallResult {
    /// Number of the result code.
    pub code: u16,
    /// HTTP status of the response to the caller.
    pub status: u16,
}

/// How much of the stream the writer has read, for readers that start later.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Mark {
    pub writer: Holder,
    /// A reader that starts at this offset or before has every claim in force. `None` if the
    /// writer cannot name such an offset.
    pub base: Option<u64>,
    /// The writer has found that the stream lost records within the window.
    pub reset: bool,
}

impl ClaimRecord {
    /// Encodes the record, with its version.
    pub fn encode(&self) -> Bytes {
        let bytes = postcard::to_extend(self, vec![VERSION]);
        bytes.expect("a record without maps and floats can be encoded").into()
    }

    /// The nonce of the claim that the record belongs to.
    pub fn nonce(&self) -> Option<u64> {
        match self {
            Self::Claim(claim) => Some(claim.nonce),
            Self::Mark(_) => None,
            Self::Release { nonce, .. } | Self::Result { nonce, .. } => Some(*nonce),
        }
    }

    /// Decodes a record; `None` if the version is unknown or the record is malformed.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (version, rest) = bytes.split_first()?;
        if *version != VERSION {
            return None;
        }
        postcard::from_bytes(rest).ok()
    }
}
