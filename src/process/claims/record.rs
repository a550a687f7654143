//! Wire types of the stream `claims`.

use serde::{Deserialize, Serialize};

use super::key::Key;
use crate::prelude::*;

/// Name of the stream.
pub const STREAM: &str = "claims";
/// First byte of every record. A program must read a version before any program writes it,
/// because a claim that a reader skips does not count for that reader.
const VERSION: u8 = 1;

/// A record of the stream `claims`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimRecord {
    /// An entry asks for the right to run a call.
    Claim(NewClaim),
    /// The call of a claim has ended.
    Result { key: Key, nonce: u64, outcome: Outcome },
    /// The call of a claim was not run and never will be.
    Release { key: Key, nonce: u64 },
    /// An entry has started, checks the log or keeps the stream from becoming empty.
    Mark(Mark),
}

/// The body of a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NewClaim {
    pub key: Key,
    /// Digest of the call.
    pub digest: u64,
    pub holder: Holder,
    /// Random number that tells this claim from all others.
    pub nonce: u64,
    /// Time in milliseconds within which the call ends.
    pub span: u32,
}

/// One run of an entry process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Holder {
    pub name: String,
    /// Random number of the process, so that a restarted entry is another holder.
    pub incarnation: u64,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Outcome {
    /// Number of the result code.
    pub code: u16,
    /// Status that the caller got.
    pub status: u16,
}

/// What an entry knows of the stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Mark {
    pub writer: Holder,
    /// Offset from which on a reader knows every claim of the window, if the writer knows it.
    pub base: Option<u64>,
    /// The writer saw the stream lose records within the window.
    pub reset: bool,
}

impl ClaimRecord {
    /// Encodes the record.
    pub fn encode(&self) -> Bytes {
        let bytes = postcard::to_extend(self, vec![VERSION]);
        bytes.expect("a record without maps and floats can be encoded").into()
    }

    /// The number of the claim that the record is about.
    pub fn nonce(&self) -> Option<u64> {
        match self {
            Self::Claim(claim) => Some(claim.nonce),
            Self::Mark(_) => None,
            Self::Release { nonce, .. } | Self::Result { nonce, .. } => Some(*nonce),
        }
    }

    /// Decodes a record; `None` for an unknown version.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (version, rest) = bytes.split_first()?;
        if *version != VERSION {
            return None;
        }
        postcard::from_bytes(rest).ok()
    }
}
