//! Parses heads with the HTTP codec, after their framing has been checked.

use http::header::{CONNECTION, EXPECT};
use http::Version;
use monoio_codec::{Decoded, Decoder};
use monoio_http::h1::codec::decoder::{RequestHeadDecoder, ResponseHeadDecoder};

use super::fault::Fault;
use crate::prelude::*;

type Result<T> = std::result::Result<T, Fault>;

/// The parsed head of a request.
pub struct CallHead {
    /// The call without its body.
    pub call: Call,
    /// Whether the connection must be closed after the response.
    pub close: bool,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

/// The parsed head of a response.
pub struct ResponseHead {
    /// The response without its body.
    pub response: Answer,
    /// Whether the server closes the connection after the response.
    pub close: bool,
}

/// Parses the head of a request.
pub fn decode_call(mut head: BytesMut) -> Result<CallHead> {
    let head = match RequestHeadDecoder.decode(&mut head) {
        Ok(Decoded::Some(head)) => head,
        Ok(_) | Err(_) => return Err(Fault::Framing),
    };
    if head.method == Method::CONNECT {
        return Err(Fault::Framing);
    }
    let close = has_close_option(&head.headers) || head.version != Version::HTTP_11;
    let expects_continue = head.headers.get(EXPECT).is_some_and(|value| {
        head.version == Version::HTTP_11 && value.as_bytes().eq_ignore_ascii_case(b"100-continue")
    });
    let call =
        Call { method: head.method, uri: head.uri, headers: head.headers, body: Bytes::new() };
    Ok(CallHead { call, close, expects_continue })
}

/// Parses the head of a response.
pub fn decode_response(mut head: BytesMut) -> Result<ResponseHead> {
    let head = match ResponseHeadDecoder.decode(&mut head) {
        Ok(Decoded::Some(head)) => head,
        Ok(_) | Err(_) => return Err(Fault::Framing),
    };
    let close = has_close_option(&head.headers) || head.version != Version::HTTP_11;
    let response = Answer { status: head.status, headers: head.headers, body: Bytes::new() };
    Ok(ResponseHead { response, close })
}

/// Whether a `connection` header has the option `close`.
fn has_close_option(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter();
    let mut tokens = values.filter_map(|value| value.to_str().ok()).flat_map(|v| v.split(','));
    tokens.any(|token| token.trim().eq_ignore_ascii_case("close"))
}
