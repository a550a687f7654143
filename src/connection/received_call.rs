//! A call as read from a connection, with what its response needs.

use super::fault::Fault;
use super::held_bytes::HeldBytes;
use crate::prelude::*;

/// What a connection must know of a call to write its response.
#[derive(Default)]
pub struct Receipt {
    /// Whether the call is a HEAD request, whose response has no body.
    pub is_head: bool,
    /// Whether the connection is closed after the response.
    pub is_last: bool,
    /// The bytes of the call, counted until its response is written.
    pub(super) held: HeldBytes,
}

/// A whole call.
pub struct ReceivedCall {
    pub call: Call,
    pub receipt: Receipt,
}

/// A call that could not be read or was rejected.
pub struct RejectedCall {
    pub fault: Fault,
    pub receipt: Receipt,
}
