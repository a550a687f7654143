//! Removes the headers that the load balancer must not forward.

use http::header::{
    CONNECTION, EXPECT, HOST, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};

use super::fault::Fault;
use crate::prelude::*;
use crate::request::header;

/// Prefix of the load balancer's own headers.
const BALANCER_PREFIX: &str = "cornellink-";
/// Most header fields of a call. The codec and some targets accept at most 96, and the load
/// balancer adds up to 8.
const MAX_CALL_HEADERS: usize = 96 - 8;
/// Headers that apply to a single connection and must not be forwarded.
const HOP_BY_HOP: [HeaderName; 10] = [
    CONNECTION,
    EXPECT,
    HeaderName::from_static("keep-alive"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    HeaderName::from_static("proxy-connection"),
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];
/// The load balancer's headers that a caller may send; all others are removed.
const ALLOWED_FROM_CALLERS: [&str; 4] =
    [header::ATTEMPT, header::DEADLINE, header::KEY_ISSUED, header::WORKSPACE];

/// Removes the headers of a call that must not reach a target.
///
/// A call that repeats a header which the load balancer evaluates is rejected, since the target
/// might use the other value.
pub fn filter_call_headers(headers: &mut HeaderMap) -> Result<(), Fault> {
    remove_hop_by_hop(headers);
    let reserved: Vec<HeaderName> =
        headers.keys().filter(|name| is_reserved(name)).cloned().collect();
    for name in reserved {
        headers.remove(name);
    }
    for name in ALLOWED_FROM_CALLERS.into_iter().chain([header::IDEMPOTENCY_KEY, HOST.as_str()]) {
        if headers.get_all(name).iter().count() > 1 {
            return Err(Fault::Framing);
        }
    }
    if headers.len() > MAX_CALL_HEADERS {
        return Err(Fault::Framing);
    }
    Ok(())
}

/// Removes the headers of a response that must not reach a caller. A load report is kept, as it
/// guarantees nothing to the caller.
pub fn filter_response_headers(headers: &mut HeaderMap) {
    remove_hop_by_hop(headers);
    let internal = headers.keys().filter(|name| is_balancer_header(name) && **name != header::LOAD);
    for name in internal.cloned().collect::<Vec<_>>() {
        headers.remove(name);
    }
}

fn is_balancer_header(name: &HeaderName) -> bool {
    name.as_str().starts_with(BALANCER_PREFIX)
}

/// Whether a header belongs to the load balancer and a caller may not send it.
fn is_reserved(name: &HeaderName) -> bool {
    is_balancer_header(name) && !ALLOWED_FROM_CALLERS.contains(&name.as_str())
}

fn remove_hop_by_hop(headers: &mut HeaderMap) {
    if headers.contains_key(CONNECTION) {
        for name in listed_in_connection(headers) {
            headers.remove(name);
        }
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
}

/// The headers that `connection` lists, except those that the load balancer itself evaluates.
fn listed_in_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let names = values.flat_map(|value| value.split(','));
    let names = names.filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok());
    names
        .filter(|name| {
            !is_balancer_header(name) && *name != HOST && *name != header::IDEMPOTENCY_KEY
        })
        .collect()
}
