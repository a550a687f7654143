//! A call and its result at the caller.

use std::net::SocketAddr;
use std::time::Instant;

use crate::fixture::process::Caller;
use crate::fixture::{field, status, SAFE_PREFIX};

/// A call and its result at the caller.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: String,
    pub key: String,
    /// Address of the gateway.
    pub gateway: SocketAddr,
    pub sent: Instant,
    pub ended: Instant,
    /// Status of the response; `None` if the connection ended without one.
    pub status: Option<u16>,
    /// The gateway's result code, if the response has one.
    pub code: Option<String>,
    /// Whether the call may run more than once.
    pub is_safe: bool,
    /// Whether the response carried the identifier or the body of another call.
    pub misdirected: bool,
}

impl Call {
    /// Reads the response to a call that was sent; also returns whether the connection can carry
    /// another call.
    pub fn read(
        caller: &mut Caller,
        gateway: SocketAddr,
        (path, id, key): (&str, String, &str),
        sent: Instant,
    ) -> (Self, bool) {
        let response = caller.read_response();
        let head = response.as_ref().map(|(head, _)| head.as_str());
        let status = head.map(status);
        let is_foreign = |head: &str| field(head, "x-attempt-id").is_some_and(|named| named != id);
        let is_safe = path.starts_with(SAFE_PREFIX);
        let is_wrong_body = response
            .as_ref()
            .is_some_and(|(_, body)| is_safe && status == Some(200) && body != id.as_bytes());
        let call = Self {
            gateway,
            sent,
            ended: Instant::now(),
            status,
            code: head.and_then(|head| field(head, "cornellink-code")).map(Into::into),
            misdirected: head.is_some_and(is_foreign) || is_wrong_body,
            key: key.into(),
            is_safe,
            id,
        };
        (call, head.is_some_and(|head| field(head, "connection") != Some("close")))
    }
}
