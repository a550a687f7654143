//! Heads that were checked, decoded by the codec.

use http::header::{CONNECTION, EXPECT};
use http::Version;
use monoio_codec::{Decoded, Decoder};
use monoio_http::h1::codec::decoder::{RequestHeadDecoder, ResponseHeadDecoder};

use super::fault::Fault;
use crate::prelude::*;

type Result<T> = std::result::Result<T, Fault>;

/// A request's head.
pub struct CallHead {
    /// The call without its body.
    pub call: Call,
    /// Whether the caller wants the connection to end after the response.
    pub close: bool,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub expects: bool,
}

/// A response's head.
pub struct AnswerHead {
    /// The answer without its body.
    pub answer: Answer,
    /// Whether the connection ends after the response.
    pub close: bool,
}

/// Decodes the head of a request.
pub fn decode_call(mut head: BytesMut) -> Result<CallHead> {
    let head = match RequestHeadDecoder.decode(&mut head) {
        Ok(Decoded::Some(head)) => head,
        Ok(_) | Err(_) => return Err(Fault::Framing),
    };
    if head.method == Method::CONNECT {
        return Err(Fault::Framing);
    }
    let close = says_close(&head.headers) || head.version != Version::HTTP_11;
    let expects = head.headers.get(EXPECT).is_some_and(|value| {
        head.version == Version::HTTP_11 && value.as_bytes().eq_ignore_ascii_case(b"100-continue")
    });
    let call =
        Call { method: head.method, uri: head.uri, headers: head.headers, body: Bytes::new() };
    Ok(CallHead { call, close, expects })
}

/// Decodes the head of a response.
pub fn decode_answer(mut head: BytesMut) -> Result<AnswerHead> {
    let head = match ResponseHeadDecoder.decode(&mut head) {
        Ok(Decoded::Some(head)) => head,
        Ok(_) | Err(_) => return Err(Fault::Framing),
    };
    let close = says_close(&head.headers) || head.version != Version::HTTP_11;
    let answer = Answer { status: head.status, headers: head.headers, body: Bytes::new() };
    Ok(AnswerHead { answer, close })
}

fn says_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter();
    let mut tokens = values.filter_map(|value| value.to_str().ok()).flat_map(|v| v.split(','));
    tokens.any(|token| token.trim().eq_ignore_ascii_case("close"))
}
