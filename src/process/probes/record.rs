//! Wire types of the stream `leases`.

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::process::claims::record::Holder;

/// Name of the stream.
pub const STREAM: &str = "leases";
/// First byte of every record; a reader skips records of another version.
const VERSION: u8 = 1;

/// A record of the stream `leases`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LeaseRecord {
    /// An entry asks for the right to probe the targets of a failure domain, or renews it.
    Lease(NewLease),
    /// An entry that lost its lease has no probe left that could still be sent.
    Paid { domain: String, debt: Debt },
}

/// The body of a lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NewLease {
    pub domain: String,
    pub writer: Holder,
    /// Random number that tells this record from all others.
    pub nonce: u64,
    /// Offset of the newest lease of the domain that the writer had read. The record counts only
    /// if no other lease of the domain lies between.
    pub seen: Option<u64>,
    /// Earlier holders that the writer knows may still send one probe.
    pub debts: Vec<Debt>,
}

/// One probe that an earlier holder may still send when it resumes from a pause.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Debt {
    pub holder: Holder,
    /// Number of the lease that followed the holder's.
    pub nonce: u64,
}

impl LeaseRecord {
    /// Encodes the record.
    pub fn encode(&self) -> Bytes {
        let bytes = postcard::to_extend(self, vec![VERSION]);
        bytes.expect("a record without maps and floats can be encoded").into()
    }

    /// Decodes a record; `None` for an unknown version.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (version, rest) = bytes.split_first()?;
        if *version != VERSION {
            return None;
        }
        postcard::from_bytes(rest).ok()
    }

    /// The failure domain.
    pub fn domain(&self) -> &str {
        match self {
            Self::Lease(lease) => &lease.domain,
            Self::Paid { domain, .. } => domain,
        }
    }
}
