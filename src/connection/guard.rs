//! The reader beneath the HTTP codec.
//!
//! The codec buffers heads without a limit and accepts contradicting lengths. The guard reads a
//! whole head itself, checks it, and then gives the codec exactly the bytes of one message.

use monoio::buf::{IoBufMut, IoVecBufMut};
use monoio::io::AsyncReadRent;
use monoio::BufResult;

use super::limits::Limits;
use crate::prelude::*;

/// Most header fields in a head, the limit of the codec.
const MAX_HEADERS: usize = 96;
/// Size of one read from the socket in bytes.
const READ_BYTES: usize = 8 * 1024;

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// No body.
    Empty,
    /// A body of this many bytes.
    Length(usize),
    /// Chunks.
    Chunked,
    /// A body that ends with the connection.
    UntilClose,
}

/// Why a head or a body was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The peer closed the connection between messages.
    Closed,
    /// The connection broke within a message.
    Truncated,
    /// The head is too large.
    HeadTooLarge,
    /// The head or the body came too slowly.
    TooSlow,
    /// The head cannot be parsed or its lengths contradict each other.
    Framing,
    /// The body is too large.
    BodyTooLarge,
}

/// A reader that bounds and checks what the codec sees.
pub struct Guard<R> {
    io: R,
    buffer: BytesMut,
    /// Bytes that the codec may still take from the message.
    budget: usize,
}

impl<R: AsyncReadRent> Guard<R> {
    /// Wraps a reader.
    pub fn new(io: R) -> Self {
        Self { io, buffer: BytesMut::new(), budget: 0 }
    }

    /// Whether bytes of a next message have been read already.
    pub fn has_unread(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Reads until the buffer holds a whole head and returns its length.
    pub async fn fill_head(&mut self, limits: &Limits) -> Result<usize, Fault> {
        if self.buffer.is_empty() {
            match monoio::time::timeout(limits.idle_time, self.fill()).await {
                Err(_) | Ok(Err(_)) | Ok(Ok(0)) => return Err(Fault::Closed),
                Ok(Ok(_)) => {}
            }
        }
        if let Some(length) = head_length(&self.buffer) {
            return self.check_head_length(length, limits);
        }
        monoio::time::timeout(limits.head_time, self.fill_rest(limits))
            .await
            .unwrap_or(Err(Fault::TooSlow))
    }

    /// The bytes of the head that `fill_head` found.
    pub fn head(&self, length: usize) -> &[u8] {
        &self.buffer[..length]
    }

    /// Drops the head of an interim answer.
    pub fn skip(&mut self, length: usize) {
        let _ = self.buffer.split_to(length);
    }

    /// Lets the codec take the head and a body of the given framing.
    pub fn allow(&mut self, head: usize, framing: Framing, limits: &Limits) -> Result<(), Fault> {
        let body = match framing {
            Framing::Empty => 0,
            Framing::Length(length) if length > limits.body_bytes => {
                return Err(Fault::BodyTooLarge)
            }
            Framing::Length(length) => length,
            Framing::Chunked | Framing::UntilClose => limits.body_bytes,
        };
        self.budget = head + body;
        Ok(())
    }

    /// Reads more bytes into the buffer; 0 means the end of the stream.
    pub async fn fill(&mut self) -> std::io::Result<usize> {
        let (result, chunk) = self.io.read(vec![0; READ_BYTES]).await;
        let count = result?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// Reads a body that ends with the connection.
    pub async fn drain(&mut self, limits: &Limits) -> Result<Bytes, Fault> {
        while self.fill().await.map_err(|_| Fault::Truncated)? > 0 {
            if self.buffer.len() > limits.body_bytes {
                return Err(Fault::BodyTooLarge);
            }
        }
        Ok(self.buffer.split().freeze())
    }

    async fn fill_rest(&mut self, limits: &Limits) -> Result<usize, Fault> {
        loop {
            if let Some(length) = head_length(&self.buffer) {
                return self.check_head_length(length, limits);
            }
            if self.buffer.len() > limits.head_bytes {
                return Err(Fault::HeadTooLarge);
            }
            match self.fill().await {
                Err(_) | Ok(0) => return Err(Fault::Truncated),
                Ok(_) => {}
            }
        }
    }

    fn check_head_length(&self, length: usize, limits: &Limits) -> Result<usize, Fault> {
        if length > limits.head_bytes {
            return Err(Fault::HeadTooLarge);
        }
        Ok(length)
    }

    fn take(&mut self, room: usize) -> Bytes {
        let count = room.min(self.buffer.len()).min(self.budget);
        self.budget -= count;
        self.buffer.split_to(count).freeze()
    }
}

impl<R: AsyncReadRent> AsyncReadRent for Guard<R> {
    async fn read<T: IoBufMut>(&mut self, mut buf: T) -> BufResult<usize, T> {
        if self.budget == 0 {
            return (Ok(0), buf);
        }
        if self.buffer.is_empty() {
            match self.fill().await {
                Ok(_) => {}
                Err(error) => return (Err(error), buf),
            }
        }
        let bytes = self.take(buf.bytes_total());
        // SAFETY: `take` returns at most `bytes_total` bytes, and the regions do not overlap.
        unsafe {
            buf.write_ptr().copy_from_nonoverlapping(bytes.as_ptr(), bytes.len());
            buf.set_init(bytes.len());
        }
        (Ok(bytes.len()), buf)
    }

    async fn readv<T: IoVecBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        (Err(std::io::ErrorKind::Unsupported.into()), buf)
    }
}

/// Finds the framing of a request's body.
pub fn request_framing(head: &[u8]) -> Result<Framing, Fault> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(head) {
        Ok(httparse::Status::Complete(_)) => {}
        Ok(httparse::Status::Partial) | Err(_) => return Err(Fault::Framing),
    }
    Ok(length_fields(request.headers)?.unwrap_or(Framing::Empty))
}

/// Finds the status and the framing of an answer's body.
pub fn answer_framing(head: &[u8], method: &Method) -> Result<(u16, Framing), Fault> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    match response.parse(head) {
        Ok(httparse::Status::Complete(_)) => {}
        Ok(httparse::Status::Partial) | Err(_) => return Err(Fault::Framing),
    }
    let status = response.code.ok_or(Fault::Framing)?;
    let framing = length_fields(response.headers)?.unwrap_or(Framing::UntilClose);
    let has_body = method != Method::HEAD && !matches!(status, 100..=199 | 204 | 304);
    Ok((status, if has_body { framing } else { Framing::Empty }))
}

fn length_fields(headers: &[httparse::Header<'_>]) -> Result<Option<Framing>, Fault> {
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
            if chunked || !header.value.eq_ignore_ascii_case(b"chunked") {
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

fn parse_length(value: &[u8]) -> Result<usize, Fault> {
    let text = std::str::from_utf8(value).map_err(|_| Fault::Framing)?;
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(Fault::Framing);
    }
    text.parse().map_err(|_| Fault::Framing)
}

fn head_length(buffer: &[u8]) -> Option<usize> {
    buffer.windows(4).position(|window| window == b"\r\n\r\n").map(|start| start + 4)
}
