//! Determines how the body of an HTTP message is delimited.
//!
//! The codec accepts contradicting lengths and lenient line endings. This module rejects every
//! head that two implementations could frame differently, which prevents request smuggling.

use super::fault::Fault;
use crate::prelude::*;

/// Most header fields in a head; the codec accepts no more.
const MAX_HEADERS: usize = 96;
/// Status codes of the classes that HTTP defines.
const STATUSES: std::ops::RangeInclusive<u16> = 100..=599;
/// Minor version number of HTTP/1.1.
const HTTP_1_1_MINOR: u8 = 1;

type Result<T> = std::result::Result<T, Fault>;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// Chunked transfer coding.
    Chunked,
    /// No body.
    Empty,
    /// A body of this many bytes.
    Length(usize),
    /// The body ends when the peer closes the connection.
    UntilClose,
}

/// The framing of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseFraming {
    pub status: u16,
    pub framing: Framing,
    /// Whether the head announces a body that the method or the status forbids. A faulty server may
    /// send it anyway.
    pub announces_body: bool,
}

/// Determines the framing of a request's body.
pub fn request_framing(head: &[u8]) -> Result<Framing> {
    check_line_endings(head)?;
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(head) {
        Ok(httparse::Status::Complete(_)) => {}
        Ok(httparse::Status::Partial) | Err(_) => return Err(Fault::Framing),
    }
    let framing = framing_from_headers(request.headers, request.version)?;
    Ok(framing.unwrap_or(Framing::Empty))
}

/// Determines the framing of the response to a request with `method`.
pub fn response_framing(head: &[u8], method: &Method) -> Result<ResponseFraming> {
    check_line_endings(head)?;
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    match response.parse(head) {
        Ok(httparse::Status::Complete(_)) => {}
        Ok(httparse::Status::Partial) | Err(_) => return Err(Fault::Framing),
    }
    let status = response.code.filter(|code| STATUSES.contains(code)).ok_or(Fault::Framing)?;
    let announced = framing_from_headers(response.headers, response.version)?;
    if method == Method::HEAD || matches!(status, 100..=199 | 204 | 304) {
        let announces_body = !matches!(announced, None | Some(Framing::Empty));
        return Ok(ResponseFraming { status, framing: Framing::Empty, announces_body });
    }
    let framing = announced.unwrap_or(Framing::UntilClose);
    Ok(ResponseFraming { status, framing, announces_body: false })
}

/// Rejects bare CR, bare LF and NUL, which HTTP implementations interpret differently.
fn check_line_endings(head: &[u8]) -> Result<()> {
    let mut previous = 0;
    for &byte in head {
        if byte == 0 || (byte == b'\n') != (previous == b'\r') {
            return Err(Fault::Framing);
        }
        previous = byte;
    }
    Ok(())
}

/// Evaluates Content-Length and Transfer-Encoding; `None` means that the head has neither.
fn framing_from_headers(
    headers: &[httparse::Header<'_>],
    version: Option<u8>,
) -> Result<Option<Framing>> {
    let mut length = None;
    let mut is_chunked = false;
    for header in headers {
        if header.name.eq_ignore_ascii_case("content-length") {
            if length.is_some() {
                return Err(Fault::Framing);
            }
            length = Some(parse_content_length(header.value)?);
        }
        if header.name.eq_ignore_ascii_case("transfer-encoding") {
            let is_supported = header.value.eq_ignore_ascii_case(b"chunked");
            if is_chunked || !is_supported || version != Some(HTTP_1_1_MINOR) {
                return Err(Fault::Framing);
            }
            is_chunked = true;
        }
    }
    match (length, is_chunked) {
        (Some(_), true) => Err(Fault::Framing),
        (None, true) => Ok(Some(Framing::Chunked)),
        (Some(0), false) => Ok(Some(Framing::Empty)),
        (Some(length), false) => Ok(Some(Framing::Length(length))),
        (None, false) => Ok(None),
    }
}

fn parse_content_length(value: &[u8]) -> Result<usize> {
    let text = std::str::from_utf8(value).map_err(|_| Fault::Framing)?;
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(Fault::Framing);
    }
    text.parse().map_err(|_| Fault::Framing)
}
