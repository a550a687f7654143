//! Encodes requests and responses.
//!
//! The codec's encoder cannot send the Content-Length of a response without a body (HEAD, 304).
//! It also writes through its own stream, which hides how many bytes the kernel has accepted.

use std::fmt::Write;

use http::header::{CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};

use crate::prelude::*;

/// Largest body that is appended to its head, so that both are sent in one write.
const MAX_COPIED_BODY_BYTES: usize = 16 * 1024;
/// Initial capacity for a head, to avoid reallocations.
const HEAD_CAPACITY_BYTES: usize = 512;

/// Encodes a call; returns its head, followed by a small body, and the body if it is large.
pub fn encode_call(call: &Call, address: SocketAddr) -> (Bytes, Bytes) {
    let mut head =
        BytesMut::with_capacity(HEAD_CAPACITY_BYTES + call.body.len().min(MAX_COPIED_BODY_BYTES));
    let target = call.uri.path_and_query().map_or("/", |target| target.as_str());
    put_parts(&mut head, &[call.method.as_str(), " ", target, " HTTP/1.1\r\n"]);
    if !call.headers.contains_key(HOST) {
        let _ = write!(head, "host: {address}\r\n");
    }
    let needs_length = matches!(call.method, Method::POST | Method::PUT | Method::PATCH);
    if needs_length || !call.body.is_empty() {
        put_content_length(&mut head, call.body.len());
    }
    finish_message(head, &call.headers, call.body.clone())
}

/// Encodes the response to a call in the same form; `close` adds `connection: close`.
pub fn encode_response(response: Answer, is_head_request: bool, close: bool) -> (Bytes, Bytes) {
    let mut head = BytesMut::with_capacity(
        HEAD_CAPACITY_BYTES + response.body.len().min(MAX_COPIED_BODY_BYTES),
    );
    let reason = response.status.canonical_reason().unwrap_or_default();
    put_parts(&mut head, &["HTTP/1.1 ", response.status.as_str(), " ", reason, "\r\n"]);
    let forbids_body = response.status == StatusCode::NO_CONTENT;
    let omits_body = is_head_request || response.status == StatusCode::NOT_MODIFIED;
    let announced = response.headers.get(CONTENT_LENGTH);
    match announced {
        _ if forbids_body => {}
        Some(length) if omits_body && response.body.is_empty() => {
            put_header(&mut head, b"content-length", length.as_bytes());
        }
        None if omits_body && response.body.is_empty() => {}
        _ => put_content_length(&mut head, response.body.len()),
    }
    if close {
        put_header(&mut head, b"connection", b"close");
    }
    let body = if forbids_body || omits_body { Bytes::new() } else { response.body };
    finish_message(head, &response.headers, body)
}

/// Appends the headers, except those that control framing or the connection, and a small body.
fn finish_message(mut head: BytesMut, headers: &HeaderMap, body: Bytes) -> (Bytes, Bytes) {
    for (name, value) in headers {
        if *name != CONTENT_LENGTH && *name != TRANSFER_ENCODING && *name != CONNECTION {
            put_header(&mut head, name.as_ref(), value.as_bytes());
        }
    }
    head.extend_from_slice(b"\r\n");
    if body.len() > MAX_COPIED_BODY_BYTES {
        return (head.freeze(), body);
    }
    head.extend_from_slice(&body);
    (head.freeze(), Bytes::new())
}

fn put_parts(head: &mut BytesMut, parts: &[&str]) {
    for part in parts {
        head.extend_from_slice(part.as_bytes());
    }
}

fn put_header(head: &mut BytesMut, name: &[u8], value: &[u8]) {
    for part in [name, b": ", value, b"\r\n"] {
        head.extend_from_slice(part);
    }
}

fn put_content_length(head: &mut BytesMut, length: usize) {
    let _ = write!(head, "content-length: {length}\r\n");
}
