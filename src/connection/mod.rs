//! What lives for one connection.

pub mod bounded_stream;
pub mod caller;
pub mod chunks;
pub mod client;
pub mod decode;
pub mod encode;
pub mod fault;
pub mod forward;
pub mod framing;

pub mod limits;
pub mod memory_budget;
pub mod quic;
pub mod server;
pub mod target;
pub mod tasks;

use crate::prelude::*;

/// The result of an operation on a connection.
pub type Result<T> = std::result::Result<T, Error>;
