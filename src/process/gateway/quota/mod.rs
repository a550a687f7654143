//! Quotas of workspaces over all entries: a token bucket that the entries refill in equal parts and
//! that one of them, the owner, hands out.
//!
//! `docs/design/quotas.md` describes the messages and why no loss, pause or partition creates a
//! token.

pub mod history;
pub mod limit;
pub mod node;
mod node_owner;
mod node_user;
pub mod owner_order;
pub mod pool;
pub mod shard;
pub mod span;
pub mod stats;
pub mod task;
pub mod verdict;
pub mod wallet;
pub mod wire;

pub use self::task::{admit, Quotas};
use crate::prelude::*;

/// Time for which a granted token is valid, from the time of the request.
pub const TOKEN_VALIDITY: Duration = Duration::from_millis(100);
/// Longest span of time whose refill is handed over or used at once.
pub const MAX_SPAN: Duration = Duration::from_millis(300);
/// Longest time that a request may be on its way.
pub const MAX_TRANSIT: Duration = Duration::from_millis(100);

/// Key of a workspace, the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkspaceId(pub u64);

impl WorkspaceId {
    pub fn new(name: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
    }
}

/// Number of a call that waits for a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket(pub u64);

fn whole_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
