//! What entries tell each other.

use crate::prelude::*;
use crate::process::claims::key::Key;
use crate::process::target::LoadReport;
use crate::version::record::RenewRecord;

/// Version of the protocol that this program speaks.
pub const PROTOCOL_VERSION: u16 = 1;
/// Oldest version that this program understands.
pub const OLDEST_VERSION: u16 = 1;
/// Features of this program, one bit each; none is defined yet.
pub const FEATURES: u64 = 0;

/// The first message in each direction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hello {
    pub protocol: u16,
    /// Oldest version that the sender understands.
    pub oldest: u16,
    pub features: u64,
    pub name: String,
    /// Address of the sender's peer port.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Random number drawn at the start of the process.
    pub instance: u64,
}

impl Hello {
    /// Whether both sides understand a common version.
    pub fn is_compatible(&self) -> bool {
        self.protocol >= OLDEST_VERSION && self.oldest <= PROTOCOL_VERSION
    }
}

/// An entry that the sender is connected to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRecord {
    pub name: String,
    pub address: SocketAddr,
    pub domain: String,
}

/// The revision that the sender has in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Announcement {
    pub number: u64,
    pub nonce: u64,
    /// Offset through which the sender had read the stream `config`.
    pub through: u64,
}

/// A load report of a target, named by its place in the revision's document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    pub target_index: u32,
    pub report: LoadReport,
    /// Time since the target sent the report.
    pub age: Duration,
}

/// Load reports under one revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadBatch {
    pub revision: u64,
    pub loads: Vec<Load>,
}

/// A message on a control stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Targets that leave.
    Drain(Vec<SocketAddr>),
    Hello(Hello),
    /// Whether the sender wants the load reports of the receiver's whole failure domain.
    Interest {
        relay: bool,
    },
    Members(Vec<MemberRecord>),
    Revision(Announcement),
}

/// Asks the holder of a claim what became of the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimQuery {
    pub key: Key,
    /// Digest of the call that asks.
    pub digest: u64,
}

/// What the holder of a claim knows.
#[derive(Clone, Debug)]
pub enum ClaimReply {
    /// The call ended.
    Done { code: Code, answer: Answer },
    /// The claim was given up before the call was sent.
    Released,
    /// The call is under way.
    Running,
    /// The entry does not know the key.
    Unknown,
}

/// A request to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    Claim(ClaimQuery),
    /// The document of a revision.
    Document {
        number: u64,
    },
}

/// The reply to a request.
#[derive(Clone, Debug)]
pub enum Reply {
    Claim(ClaimReply),
    Document(RenewRecord),
    /// The peer cannot serve the request.
    Missing,
}
