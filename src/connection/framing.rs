//! The framing of messages.
//!
//! The codec accepts contradicting lengths and lenient line endings. This module rejects every
//! head that two implementations could frame differently.

use super::fault::Fault;
use crate::prelude::*;

/// Most header fields in a head, the limit of the codec.
const MAX_HEADERS: usize = 96;
/// The minor version of HTTP/1.1.
const HTTP_11: u8 = 1;

type Result<T> = std::result::Result<T, Fault>;

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// Chunks.
    Chunked,
    /// No body.
    Empty,
    /// A body of this many bytes.
    Length(usize),
    /// A body that ends with the connection.
    UntilClose,
}

/// The framing of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerFraming {
    pub status: u16,
    pub framing: Framing,
    /// Whether a body was announced that must not follow, which a faulty server may send anyway.
    pub doubtful: bool,
}

/// Finds the framing of a request's body.
pub fn request_framing(head: &[u8]) -> Result<Framing> {
    check_lines(head)?;
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(head) {
        Ok(httparse::Status::Complete(_)) => {}
        Ok(httparse::Status::Partial) | Err(_) => return Err(Fault::Framing),
    }
    let framing = length_fields(request.headers, request.version)?;
    Ok(framing.unwrap_or(Framing::Empty))
}

/// Finds the framing of the response to a request with `method`.
pub fn answer_framing(head: &[u8], method: &Method) -> Result<AnswerFraming> {
    check_lines(head)?;
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    match response.parse(head) {
        Ok(httparse::Status::Complete(_)) => {}
        Ok(httparse::Status::Partial) | Err(_) => return Err(Fault::Framing),
    }
    let status = response.code.ok_or(Fault::Framing)?;
    let announced = length_fields(response.headers, response.version)?;
    if method == Method::HEAD || matches!(status, 100..=199 | 204 | 304) {
        let doubtful = !matches!(announced, None | Some(Framing::Empty));
        return Ok(AnswerFraming { status, framing: Framing::Empty, doubtful });
    }
    let framing = announced.unwrap_or(Framing::UntilClose);
    Ok(AnswerFraming { status, framing, doubtful: false })
}

/// Rejects bare CR, bare LF and NUL, which implementations interpret differently.
fn check_lines(head: &[u8]) -> Result<()> {
    let mut previous = 0;
    for &byte in head {
        if byte == 0 || (byte == b'\n') != (previous == b'\r') {
            return Err(Fault::Framing);
        }
        previous = byte;
    }
    Ok(())
}

fn length_fields(headers: &[httparse::Header<'_>], version: Option<u8>) -> Result<Option<Framing>> {
    let mut length = None;
    let mut chunked = false;
    for header in headers {
        if header.name.eq_ignore_ascii_case("content-length") {
            if length.is_some() {
                return Err(Fault::Framing);
            }
            length = Some(parse_length(header.value)?);
        }
        if header.name.eq_ignore_ascii_case("transfer-encoding") {
            let is_known = header.value.eq_ignore_ascii_case(b"chunked");
            if chunked || !is_known || version != Some(HTTP_11) {
                return Err(Fault::Framing);
            }
            chunked = true;
        }
    }
    match (length, chunked) {
        (Some(_), true) => Err(Fault::Framing),
        (None, true) => Ok(Some(Framing::Chunked)),
        (Some(0), false) => Ok(Some(Framing::Empty)),
        (Some(length), false) => Ok(Some(Framing::Length(length))),
        (None, false) => Ok(None),
    }
}

fn parse_length(value: &[u8]) -> Result<usize> {
    let text = std::str::from_utf8(value).map_err(|_| Fault::Framing)?;
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(Fault::Framing);
    }
    text.parse().map_err(|_| Fault::Framing)
}
