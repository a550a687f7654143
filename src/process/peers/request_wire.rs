//! Wire types of requests and replies between entries.

use serde::{Deserialize, Serialize};

use super::frame::{malformed, Frame};
use super::message::{ClaimQuery, ClaimReply, Reply, Request};
use super::wire::{decode_payload, encode_frame};
use super::Result;
use crate::prelude::*;
use crate::process::claims::key::Key;
use crate::version::record::RenewRecord;

const CLAIM_KIND: u16 = 32;
const DOCUMENT_KIND: u16 = 33;
const CLAIM_REPLY_KIND: u16 = 48;
const DOCUMENT_REPLY_KIND: u16 = 49;
const MISSING_KIND: u16 = 50;

#[derive(Deserialize, Serialize)]
struct ClaimWire {
    key: Key,
    digest: u64,
}

#[derive(Deserialize, Serialize)]
struct DocumentWire {
    number: u64,
}

#[derive(Deserialize, Serialize)]
struct DocumentReplyWire {
    format: u32,
    number: u64,
    nonce: u64,
    author: String,
    through: u64,
    text: String,
}

#[derive(Deserialize, Serialize)]
struct AnswerWire {
    status: u16,
    headers: Vec<(String, Vec<u8>)>,
    body: Vec<u8>,
}

#[derive(Deserialize, Serialize)]
enum ClaimReplyWire {
    Done { code: u16, answer: AnswerWire },
    Released,
    Running,
    Unknown,
}

impl Request {
    pub fn encode(&self) -> Frame {
        match self {
            Self::Claim(query) => {
                encode_frame(CLAIM_KIND, &ClaimWire { key: query.key, digest: query.digest })
            }
            Self::Document { number } => {
                encode_frame(DOCUMENT_KIND, &DocumentWire { number: *number })
            }
        }
    }

    /// Decodes a frame; an unknown kind gives `None`.
    pub fn decode(frame: &Frame) -> Result<Option<Self>> {
        let request = match frame.kind {
            CLAIM_KIND => {
                let wire: ClaimWire = decode_payload(frame)?;
                Self::Claim(ClaimQuery { key: wire.key, digest: wire.digest })
            }
            DOCUMENT_KIND => {
                Self::Document { number: decode_payload::<DocumentWire>(frame)?.number }
            }
            _ => return Ok(None),
        };
        Ok(Some(request))
    }
}

impl Reply {
    pub fn encode(&self) -> Frame {
        match self {
            Self::Claim(reply) => encode_frame(CLAIM_REPLY_KIND, &ClaimReplyWire::from(reply)),
            Self::Document(reply) => {
                encode_frame(DOCUMENT_REPLY_KIND, &DocumentReplyWire::from(reply))
            }
            Self::Missing => encode_frame(MISSING_KIND, &()),
        }
    }

    /// Decodes a frame; an unknown kind gives `None`.
    pub fn decode(frame: &Frame) -> Result<Option<Self>> {
        let reply = match frame.kind {
            CLAIM_REPLY_KIND => Self::Claim(decode_payload::<ClaimReplyWire>(frame)?.try_into()?),
            DOCUMENT_REPLY_KIND => {
                Self::Document(decode_payload::<DocumentReplyWire>(frame)?.into())
            }
            MISSING_KIND => Self::Missing,
            _ => return Ok(None),
        };
        Ok(Some(reply))
    }
}

impl From<&RenewRecord> for DocumentReplyWire {
    fn from(reply: &RenewRecord) -> Self {
        let RenewRecord { format, number, nonce, author, through, text } = reply.clone();
        Self { format, number, nonce, author, through, text }
    }
}

impl From<DocumentReplyWire> for RenewRecord {
    fn from(wire: DocumentReplyWire) -> Self {
        let DocumentReplyWire { format, number, nonce, author, through, text } = wire;
        Self { format, number, nonce, author, through, text }
    }
}

impl From<&ClaimReply> for ClaimReplyWire {
    fn from(reply: &ClaimReply) -> Self {
        match reply {
            ClaimReply::Done { code, answer } => {
                Self::Done { code: code.number(), answer: answer.into() }
            }
            ClaimReply::Released => Self::Released,
            ClaimReply::Running => Self::Running,
            ClaimReply::Unknown => Self::Unknown,
        }
    }
}

impl TryFrom<ClaimReplyWire> for ClaimReply {
    type Error = Error;

    fn try_from(wire: ClaimReplyWire) -> Result<Self> {
        Ok(match wire {
            ClaimReplyWire::Done { code, answer } => {
                let known = Code::from_number(code);
                let code =
                    known.ok_or_else(|| malformed(format!("unknown result code `{code}`")))?;
                Self::Done { code, answer: answer.try_into()? }
            }
            ClaimReplyWire::Released => Self::Released,
            ClaimReplyWire::Running => Self::Running,
            ClaimReplyWire::Unknown => Self::Unknown,
        })
    }
}

impl From<&Answer> for AnswerWire {
    fn from(answer: &Answer) -> Self {
        let headers = answer.headers.iter();
        let headers =
            headers.map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()));
        Self {
            status: answer.status.as_u16(),
            headers: headers.collect(),
            body: answer.body.to_vec(),
        }
    }
}

impl TryFrom<AnswerWire> for Answer {
    type Error = Error;

    fn try_from(wire: AnswerWire) -> Result<Self> {
        let status = StatusCode::from_u16(wire.status)
            .map_err(|_| malformed(format!("invalid status `{}`", wire.status)))?;
        let mut answer = Self::new(status, wire.body);
        for (name, value) in wire.headers {
            let name = HeaderName::try_from(name).map_err(|error| malformed(error.to_string()))?;
            let value =
                HeaderValue::try_from(value).map_err(|error| malformed(error.to_string()))?;
            answer.headers.append(name, value);
        }
        Ok(answer)
    }
}
