//! Records of the stream `leases`.

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::process::claims::record::Holder;

/// Name of the stream.
pub const STREAM: &str = "leases";
/// First byte of every record. Records of another version are skipped.
const VERSION: u8 = 1;

/// A record of the stream `leases`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LeaseRecord {
    /// An entry requests or renews the lease of a failure domain.
    Lease(NewLease),
    /// An earlier holder of the lease can no longer send its late probe.
    Paid { domain: String, debt: LateProbe },
}

/// A request for a lease or its renewal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct NewLease {
    pub domain: String,
    pub writer: Holder,
    /// Random number that identifies the record.
    pub nonce: u64,
    /// Offset of the newest lease of the domain that the writer had read. The record takes effect
    /// only if there is no other lease of the domain between that one and this.
    pub seen: Option<u64>,
    /// Late probes of earlier holders that the writer has read of.
    pub debts: Vec<LateProbe>,
}

/// One probe that an earlier holder may still send when it resumes from a pause.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LateProbe {
    pub holder: Holder,
    /// Nonce of the lease record that took the lease from the holder.
    pub nonce: u64,
}

impl LeaseRecord {
    pub fn encode(&self) -> Bytes {
        let bytes = postcard::to_extend(self, vec![VERSION]);
        bytes.expect("a record without maps and floats can be encoded").into()
    }

    /// Decodes a record; `None` if it is malformed or of another version.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (version, rest) = bytes.split_first()?;
        if *version != VERSION {
            return None;
        }
        postcard::from_bytes(rest).ok()
    }

    /// The failure domain of the lease.
    pub fn domain(&self) -> &str {
        match self {
            Self::Lease(lease) => &lease.domain,
            Self::Paid { domain, .. } => domain,
        }
    }
}
