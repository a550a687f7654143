//! QUIC on monoio: `quinn-proto` with one task for each socket and one for each connection.

pub mod connection;
pub mod endpoint;
pub mod identity;
pub mod limits;
pub mod traffic;
