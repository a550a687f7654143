//! Frames on a stream: length (u32), kind (u16), payload; numbers in little endian.

use bytes::{Buf, BufMut};

use super::Result;
use crate::prelude::*;

/// Largest frame of a control stream.
pub const MAX_CONTROL_BYTES: usize = 64 * 1024;
/// Largest request.
pub const MAX_REQUEST_BYTES: usize = 4 * 1024;
/// Largest reply: a whole answer of 8 MiB with its headers.
pub const MAX_REPLY_BYTES: usize = 8 * 1024 * 1024 + 128 * 1024;
/// Largest unreliable message, which has no length of its own.
pub const MAX_DATAGRAM_BYTES: usize = 1000;

/// Bytes of the length field.
const LENGTH_BYTES: usize = 4;
/// Bytes of the kind field.
const KIND_BYTES: usize = 2;

/// One message as it travels.
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

    /// Encodes the frame as an unreliable message.
    pub fn encode_datagram(&self) -> Bytes {
        self.encode().slice(LENGTH_BYTES..)
    }

    /// Decodes an unreliable message.
    pub fn decode_datagram(mut bytes: Bytes) -> Result<Self> {
        if bytes.len() < KIND_BYTES || bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(malformed(format!("a datagram has `{}` bytes", bytes.len())));
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
    /// Creates a reader that refuses frames above `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self { buffer: BytesMut::new(), limit }
    }

    /// Takes the next whole frame.
    pub fn next_frame(&mut self) -> Result<Option<Frame>> {
        if self.buffer.len() < LENGTH_BYTES {
            return Ok(None);
        }
        let length = (&self.buffer[..]).get_u32_le() as usize;
        if length < KIND_BYTES || length > self.limit {
            return Err(malformed(format!("a frame has `{length}` bytes")));
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

/// The error of a message that breaks the protocol.
pub(super) fn malformed(reason: impl Into<String>) -> Error {
    Error::Malformed { reason: reason.into() }
}
