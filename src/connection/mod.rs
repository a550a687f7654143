//! Connections to callers, targets and peers, and the HTTP messages on them.

pub mod bounded_stream;
pub mod caller;
pub mod chunked;
pub mod client;
pub mod decode;
pub mod encode;
pub mod fault;
pub mod framing;
pub mod header_filter;
pub mod held_bytes;
pub mod limits;
pub mod memory_budget;
pub mod quic;
pub mod received_call;
pub mod server;
pub mod target;
pub mod tasks;

use crate::prelude::*;

/// The result of an operation on a connection.
pub type Result<T> = std::result::Result<T, Error>;
