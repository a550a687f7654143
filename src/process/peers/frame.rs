//! Frames on a stream: length (u32), kind (u16), payload. Numbers are little-endian, and the length
//! counts the kind and the payload.

use bytes::{Buf, BufMut};

use super::Result;
use crate::prelude::*;

/// Maximum length of a frame on a control stream.
pub const MAX_CONTROL_FRAME_BYTES: usize = 64 * 1024;
/// Maximum length of a request frame.
pub const MAX_REQUEST_BYTES: usize = 4 * 1024;
/// Maximum length of a reply frame: a response of 8 MiB with its headers.
pub const MAX_REPLY_BYTES: usize = 8 * 1024 * 1024 + 128 * 1024;
/// Maximum length of a datagram, which carries a frame without its length field.
pub const MAX_DATAGRAM_BYTES: usize = 1000;

const LENGTH_BYTES: usize = 4;
const KIND_BYTES: usize = 2;

/// A message in its encoded form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    pub kind: u16,
    pub payload: Bytes,
}

impl Frame {
    /// Encodes the frame for a stream.
    pub fn encode(&self) -> Bytes {
        let mut bytes = BytesMut::with_capacity(LENGTH_BYTES + KIND_BYTES + self.payload.len());
        bytes.put_u32_le((KIND_BYTES + self.payload.len()) as u32);
        bytes.put_u16_le(self.kind);
        bytes.extend_from_slice(&self.payload);
        bytes.freeze()
    }

    /// Encodes the frame as a datagram.
    pub fn encode_datagram(&self) -> Bytes {
        self.encode().slice(LENGTH_BYTES..)
    }

    /// Decodes a datagram.
    pub fn decode_datagram(mut bytes: Bytes) -> Result<Self> {
        if bytes.len() < KIND_BYTES || bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(malformed(format!("datagram length `{}` is out of range", bytes.len())));
        }
        let kind = bytes.get_u16_le();
        Ok(Self { kind, payload: bytes })
    }
}

/// Splits the bytes of a stream into frames.
pub struct FrameReader {
    pub buffer: BytesMut,
    limit: usize,
}

impl FrameReader {
    /// Creates a reader that rejects frames above `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self { buffer: BytesMut::new(), limit }
    }

    /// Removes the next complete frame from the buffer; `None` until all its bytes have arrived.
    pub fn next_frame(&mut self) -> Result<Option<Frame>> {
        if self.buffer.len() < LENGTH_BYTES {
            return Ok(None);
        }
        let length = (&self.buffer[..]).get_u32_le() as usize;
        if length < KIND_BYTES || length > self.limit {
            return Err(malformed(format!("frame length `{length}` is out of range")));
        }
        if self.buffer.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(LENGTH_BYTES);
        let mut payload = self.buffer.split_to(length);
        let kind = payload.get_u16_le();
        Ok(Some(Frame { kind, payload: payload.freeze() }))
    }
}

/// The error for a message that violates the protocol.
pub(super) fn malformed(reason: impl Into<String>) -> Error {
    Error::Malformed { reason: reason.into() }
}
