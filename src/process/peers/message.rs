//! Messages, requests and replies between entries.

use crate::prelude::*;
use crate::process::claims::key::Key;
use crate::process::target::LoadReport;
use crate::version::record::RenewRecord;

/// Protocol version of this program.
pub const PROTOCOL_VERSION: u16 = 1;
/// Oldest protocol version that this program supports.
pub const OLDEST_VERSION: u16 = 1;
/// Feature bits of this program; none is defined yet.
pub const FEATURES: u64 = 0;

/// The first message on each control stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hello {
    pub protocol: u16,
    /// Oldest protocol version that the sender supports.
    pub oldest: u16,
    pub features: u64,
    pub name: String,
    /// Address of the sender's peer port.
    pub address: SocketAddr,
    /// Failure domain of the sender.
    pub domain: String,
    /// Random number drawn when the process starts.
    pub instance: u64,
}

impl Hello {
    /// Whether both sides support a common version.
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

/// A load report of a target, identified by its index in the revision's document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    pub target_index: u32,
    pub report: LoadReport,
    /// Time since the target sent the report.
    pub age: Duration,
}

/// Load reports of targets in the document of one revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadBatch {
    pub revision: u64,
    pub loads: Vec<Load>,
}

/// A message on a control stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Targets that drain.
    Drain(Vec<SocketAddr>),
    Hello(Hello),
    /// Whether the sender requests the load reports of the receiver's whole failure domain.
    Interest {
        relay: bool,
    },
    Members(Vec<MemberRecord>),
    Revision(Announcement),
}

/// Queries the holder of a claim for the outcome of its call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimQuery {
    pub key: Key,
    /// Digest of the call for which the query is sent.
    pub digest: u64,
}

/// The holder's state of a claimed call.
#[derive(Clone, Debug)]
pub enum ClaimReply {
    /// The call ended with this response.
    Done { code: Code, answer: Answer },
    /// The claim was released before the call was sent.
    Released,
    /// The call is in progress.
    Running,
    /// The entry has no usable record of the key.
    Unknown,
}

/// A request to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    Claim(ClaimQuery),
    /// Requests the document of a revision.
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
