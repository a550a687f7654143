//! QUIC on the monoio runtime: drives `quinn-proto` with one task per socket and one per
//! connection.

pub mod connection;
pub mod endpoint;
pub mod identity;
pub mod limits;
pub mod traffic;
