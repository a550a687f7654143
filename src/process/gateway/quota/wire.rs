//! Messages about quotas between entries: datagrams of a format byte and a postcard value.

use serde::{Deserialize, Serialize};

use super::pool::Grant;
use super::WorkspaceId;
use crate::prelude::*;
use crate::process::gateway::sharing::frame;

type Result<T> = std::result::Result<T, Error>;

/// First byte of a request and of a reply.
pub const REQUEST_FORMAT: u8 = 3;
pub const REPLY_FORMAT: u8 = 4;
/// Largest message.
pub const MAX_BYTES: usize = 1400;
/// Most workspaces in a message, so that a reply fits into `MAX_BYTES`.
pub const MAX_ASKS: usize = 48;
/// Most shards that a request may name.
const MAX_SHARDS: u32 = 64;

/// A shard as a request names it. Entries that count different numbers of shards have different
/// pools.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ShardKey {
    pub index: u32,
    pub count: u32,
}

/// The owner's latest stamp as a sender repeats it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StampEcho {
    /// The owner's clock in microseconds.
    pub stamp: u64,
    /// Time for which the sender has held it, in microseconds.
    pub held_us: u64,
}

/// Calls of a workspace that wait for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    pub workspace: WorkspaceId,
    pub count: u32,
}

/// A request for tokens, which hands over a span of refill.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Random number of the sending process.
    pub sender: u64,
    /// Number of the request; increases for each process.
    pub number: u64,
    pub shard: ShardKey,
    /// Number of entries that the sender knows; 0 if unknown.
    pub entries: u32,
    /// Span of time whose refill is handed over.
    pub span: Duration,
    pub echo: Option<StampEcho>,
    /// Whether a reply is expected even if no tokens are asked for.
    pub wants_reply: bool,
    pub asks: Vec<Ask>,
}

/// The answer about one workspace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Answered {
    pub workspace: WorkspaceId,
    /// `None` if the owner's configuration has no limit for the workspace.
    pub grant: Option<Grant>,
}

/// The reply to a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    pub number: u64,
    /// The owner's clock in microseconds.
    pub stamp: u64,
    /// Whether the request proved to be recent; otherwise nothing was accepted or granted.
    pub accepted: bool,
    pub grants: Vec<Answered>,
}

#[derive(Serialize, Deserialize)]
struct RequestWire {
    sender: u64,
    number: u64,
    shard: u32,
    shards: u32,
    entries: u32,
    span_us: u32,
    echo: Option<(u64, u64)>,
    wants_reply: bool,
    asks: Vec<(u64, u32)>,
}

#[derive(Serialize, Deserialize)]
struct ReplyWire {
    number: u64,
    stamp: u64,
    accepted: bool,
    grants: Vec<GrantWire>,
}

#[derive(Serialize, Deserialize)]
struct GrantWire {
    workspace: u64,
    grant: Option<(u32, u32)>,
}

impl From<&Request> for RequestWire {
    fn from(request: &Request) -> Self {
        Self {
            sender: request.sender,
            number: request.number,
            shard: request.shard.index,
            shards: request.shard.count,
            entries: request.entries,
            span_us: saturating_micros(request.span),
            echo: request.echo.map(|echo| (echo.stamp, echo.held_us)),
            wants_reply: request.wants_reply,
            asks: request.asks.iter().map(|ask| (ask.workspace.0, ask.count)).collect(),
        }
    }
}

impl TryFrom<RequestWire> for Request {
    type Error = Error;

    fn try_from(wire: RequestWire) -> Result<Self> {
        if wire.shards > MAX_SHARDS || wire.shard >= wire.shards {
            let (shard, shards) = (wire.shard, wire.shards);
            return Err(frame::malformed(format!("unknown shard `{shard}` of `{shards}`")));
        }
        check_count(wire.asks.len())?;
        let asks = wire.asks.into_iter();
        Ok(Self {
            sender: wire.sender,
            number: wire.number,
            shard: ShardKey { index: wire.shard, count: wire.shards },
            entries: wire.entries,
            span: Duration::from_micros(wire.span_us.into()),
            echo: wire.echo.map(|(stamp, held_us)| StampEcho { stamp, held_us }),
            wants_reply: wire.wants_reply,
            asks: asks.map(|(id, count)| Ask { workspace: WorkspaceId(id), count }).collect(),
        })
    }
}

impl From<&Reply> for ReplyWire {
    fn from(reply: &Reply) -> Self {
        let grants = reply.grants.iter().map(|Answered { workspace, grant }| GrantWire {
            workspace: workspace.0,
            grant: grant.map(|grant| (grant.granted, saturating_micros(grant.wait))),
        });
        Self {
            number: reply.number,
            stamp: reply.stamp,
            accepted: reply.accepted,
            grants: grants.collect(),
        }
    }
}

impl TryFrom<ReplyWire> for Reply {
    type Error = Error;

    fn try_from(wire: ReplyWire) -> Result<Self> {
        check_count(wire.grants.len())?;
        let grants = wire.grants.into_iter().map(|GrantWire { workspace, grant }| Answered {
            workspace: WorkspaceId(workspace),
            grant: grant.map(|(granted, wait_us)| Grant {
                granted,
                wait: Duration::from_micros(wait_us.into()),
            }),
        });
        Ok(Self {
            number: wire.number,
            stamp: wire.stamp,
            accepted: wire.accepted,
            grants: grants.collect(),
        })
    }
}

impl Request {
    pub fn encode(&self) -> Vec<u8> {
        encode(REQUEST_FORMAT, &RequestWire::from(self))
    }

    pub fn decode(message: &[u8]) -> Result<Self> {
        frame::decode::<RequestWire>(body(REQUEST_FORMAT, message)?)?.try_into()
    }
}

impl Reply {
    pub fn encode(&self) -> Vec<u8> {
        encode(REPLY_FORMAT, &ReplyWire::from(self))
    }

    pub fn decode(message: &[u8]) -> Result<Self> {
        frame::decode::<ReplyWire>(body(REPLY_FORMAT, message)?)?.try_into()
    }
}

fn encode(format: u8, value: &impl Serialize) -> Vec<u8> {
    postcard::to_extend(value, vec![format]).expect("wire types have no failing serializer")
}

fn body(format: u8, message: &[u8]) -> Result<&[u8]> {
    frame::check_length(message.len(), MAX_BYTES)?;
    match message.split_first() {
        Some((first, body)) if *first == format => Ok(body),
        Some((first, _)) => Err(frame::malformed(format!("unknown message format `{first}`"))),
        None => Err(frame::malformed("message is empty")),
    }
}

fn check_count(count: usize) -> Result<()> {
    match count > MAX_ASKS {
        true => Err(frame::malformed(format!("`{count}` workspaces in a message"))),
        false => Ok(()),
    }
}

fn saturating_micros(duration: Duration) -> u32 {
    u32::try_from(duration.as_micros()).unwrap_or(u32::MAX)
}
