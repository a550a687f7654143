//! Heads that are sent.
//!
//! The codec's encoder cannot send the Content-Length of a response without a body (HEAD, 304)
//! and writes through a stream of its own, which hides how many bytes the kernel has taken.

use std::fmt::Write;

use http::header::{CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};

use crate::prelude::*;

/// Largest body that is copied behind its head to be sent in one write.
const COPY_BYTES: usize = 16 * 1024;
/// Room for a head without reallocation.
const HEAD_ROOM: usize = 512;

/// Encodes a call as its head and the rest of its body.
pub fn encode_call(call: &Call, address: SocketAddr) -> (Bytes, Bytes) {
    let mut head = BytesMut::with_capacity(HEAD_ROOM + call.body.len().min(COPY_BYTES));
    let target = call.uri.path_and_query().map_or("/", |target| target.as_str());
    put(&mut head, &[call.method.as_str(), " ", target, " HTTP/1.1\r\n"]);
    if !call.headers.contains_key(HOST) {
        let _ = write!(head, "host: {address}\r\n");
    }
    let expects_body = matches!(call.method, Method::POST | Method::PUT | Method::PATCH);
    if expects_body || !call.body.is_empty() {
        put_length(&mut head, call.body.len());
    }
    finish(head, &call.headers, call.body.clone())
}

/// Encodes the answer to a call, which was a HEAD request if `head_only` is set.
pub fn encode_answer(answer: Answer, head_only: bool, close: bool) -> (Bytes, Bytes) {
    let mut head = BytesMut::with_capacity(HEAD_ROOM + answer.body.len().min(COPY_BYTES));
    let reason = answer.status.canonical_reason().unwrap_or_default();
    put(&mut head, &["HTTP/1.1 ", answer.status.as_str(), " ", reason, "\r\n"]);
    let has_no_body = answer.status == StatusCode::NO_CONTENT;
    let omits_body = head_only || answer.status == StatusCode::NOT_MODIFIED;
    let announced = answer.headers.get(CONTENT_LENGTH);
    match announced {
        _ if has_no_body => {}
        Some(length) if omits_body && answer.body.is_empty() => {
            put_field(&mut head, b"content-length", length.as_bytes());
        }
        None if omits_body && answer.body.is_empty() => {}
        _ => put_length(&mut head, answer.body.len()),
    }
    if close {
        put_field(&mut head, b"connection", b"close");
    }
    let body = if has_no_body || omits_body { Bytes::new() } else { answer.body };
    finish(head, &answer.headers, body)
}

fn finish(mut head: BytesMut, headers: &HeaderMap, body: Bytes) -> (Bytes, Bytes) {
    for (name, value) in headers {
        if *name != CONTENT_LENGTH && *name != TRANSFER_ENCODING && *name != CONNECTION {
            put_field(&mut head, name.as_ref(), value.as_bytes());
        }
    }
    head.extend_from_slice(b"\r\n");
    if body.len() > COPY_BYTES {
        return (head.freeze(), body);
    }
    head.extend_from_slice(&body);
    (head.freeze(), Bytes::new())
}

fn put(head: &mut BytesMut, parts: &[&str]) {
    for part in parts {
        head.extend_from_slice(part.as_bytes());
    }
}

fn put_field(head: &mut BytesMut, name: &[u8], value: &[u8]) {
    for part in [name, b": ", value, b"\r\n"] {
        head.extend_from_slice(part);
    }
}

fn put_length(head: &mut BytesMut, length: usize) {
    let _ = write!(head, "content-length: {length}\r\n");
}
