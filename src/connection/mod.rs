//! What lives for one connection.

pub mod caller;
pub mod client;
pub mod guard;
pub mod limits;
pub mod quic;
pub mod server;
pub mod target;

use crate::prelude::*;

/// The result of an operation on a connection.
pub type Result<T> = std::result::Result<T, Error>;
