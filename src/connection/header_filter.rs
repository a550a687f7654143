//! Headers that do not pass through the balancer.

use http::header::{
    CONNECTION, EXPECT, HOST, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};

use super::fault::Fault;
use crate::prelude::*;
use crate::request::header;

/// Prefix of the balancer's own headers.
const OWN_PREFIX: &str = "cornellink-";
/// Most header fields of a call. The codec and some targets take at most 96, and the balancer adds
/// up to 8 of its own.
const MAX_FIELDS: usize = 96 - 8;
/// Headers with a meaning for one connection only.
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
/// The balancer's headers that a caller may send; all others are removed.
const FROM_CALLERS: [&str; 4] =
    [header::ATTEMPT, header::DEADLINE, header::KEY_ISSUED, header::WORKSPACE];

/// Removes what a caller must not send on to a target.
///
/// A repeated header that the balancer acts on is rejected, since a target might act on the
/// other value.
pub fn clean_call(headers: &mut HeaderMap) -> Result<(), Fault> {
    remove_hop_by_hop(headers);
    let foreign: Vec<HeaderName> =
        headers.keys().filter(|name| is_foreign(name)).cloned().collect();
    for name in foreign {
        headers.remove(name);
    }
    for name in FROM_CALLERS.into_iter().chain([header::IDEMPOTENCY_KEY, HOST.as_str()]) {
        if headers.get_all(name).iter().count() > 1 {
            return Err(Fault::Framing);
        }
    }
    if headers.len() > MAX_FIELDS {
        return Err(Fault::Framing);
    }
    Ok(())
}

/// Removes what a target must not send on to a caller; a load report stays, it promises nothing.
pub fn clean_answer(headers: &mut HeaderMap) {
    remove_hop_by_hop(headers);
    let own = headers.keys().filter(|name| is_own(name) && **name != header::LOAD);
    for name in own.cloned().collect::<Vec<_>>() {
        headers.remove(name);
    }
}

fn is_own(name: &HeaderName) -> bool {
    name.as_str().starts_with(OWN_PREFIX)
}

fn is_foreign(name: &HeaderName) -> bool {
    is_own(name) && !FROM_CALLERS.contains(&name.as_str())
}

fn remove_hop_by_hop(headers: &mut HeaderMap) {
    if headers.contains_key(CONNECTION) {
        for name in named_by_connection(headers) {
            headers.remove(name);
        }
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
}

/// The headers that `connection` names, except those that the balancer itself relies on.
fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let names = values.flat_map(|value| value.split(','));
    let names = names.filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok());
    names
        .filter(|name| !is_own(name) && *name != HOST && *name != header::IDEMPOTENCY_KEY)
        .collect()
}
