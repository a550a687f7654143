//! A decoder for bodies with chunked transfer coding.
//!
//! The codec fails on chunk extensions and trailers and does not limit chunk sizes. This decoder
//! drops extensions and trailers and finds the exact end of the body, so the connection stays
//! usable.

use super::fault::Fault;
use crate::prelude::*;

/// Longest chunk-size or trailer line, without its CRLF.
const MAX_LINE_BYTES: usize = 1024;
/// Most bytes in all trailer lines together.
const MAX_TRAILER_BYTES: usize = 8 * 1024;
/// Most hexadecimal digits of a chunk size; 8 digits fit in 32 bits.
const MAX_SIZE_DIGITS: usize = 8;

type Result<T> = std::result::Result<T, Fault>;

#[derive(Clone, Copy)]
enum State {
    /// At the start of a chunk-size line.
    Size,
    /// In a chunk of which this many bytes are missing.
    Data(usize),
    /// Before the CRLF after the data of a chunk.
    DataEnd,
    /// In the trailers, of which this many bytes have been read.
    Trailers(usize),
}

/// An incremental decoder for one chunked body.
pub struct ChunkedDecoder {
    state: State,
    body: BytesMut,
    body_limit: usize,
    /// Bytes of size lines and trailers read so far.
    overhead_bytes: usize,
}

impl ChunkedDecoder {
    /// Creates a decoder for a body of at most `body_limit` bytes.
    pub fn new(body_limit: usize) -> Self {
        Self { state: State::Size, body: BytesMut::new(), body_limit, overhead_bytes: 0 }
    }

    /// Consumes as much of `buffer` as can be decoded; returns whether the body is complete.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<bool> {
        loop {
            match self.state {
                State::Size => {
                    let Some(line) = self.take_line(buffer)? else { return Ok(false) };
                    self.start_chunk(parse_chunk_size(&line)?)?;
                }
                State::Data(0) => self.state = State::DataEnd,
                State::Data(_) if buffer.is_empty() => return Ok(false),
                State::Data(left) => {
                    let data = buffer.split_to(left.min(buffer.len()));
                    self.body.extend_from_slice(&data);
                    self.state = State::Data(left - data.len());
                }
                State::DataEnd if buffer.len() < 2 => return Ok(false),
                State::DataEnd => {
                    if buffer.split_to(2) != b"\r\n"[..] {
                        return Err(Fault::Framing);
                    }
                    self.state = State::Size;
                }
                State::Trailers(seen) => {
                    let Some(line) = self.take_line(buffer)? else { return Ok(false) };
                    if line.is_empty() {
                        return Ok(true);
                    }
                    if seen + line.len() > MAX_TRAILER_BYTES || !line.contains(&b':') {
                        return Err(Fault::Framing);
                    }
                    self.state = State::Trailers(seen + line.len());
                }
            }
        }
    }

    /// Returns the decoded body.
    pub fn into_body(self) -> Bytes {
        self.body.freeze()
    }

    fn start_chunk(&mut self, size: usize) -> Result<()> {
        if size > self.body_limit - self.body.len() {
            return Err(Fault::BodyTooLarge);
        }
        self.state = if size == 0 { State::Trailers(0) } else { State::Data(size) };
        Ok(())
    }

    /// Removes a line from `buffer` and returns it without its CRLF; `None` if it is incomplete.
    fn take_line(&mut self, buffer: &mut BytesMut) -> Result<Option<BytesMut>> {
        let window = &buffer[..buffer.len().min(MAX_LINE_BYTES + 2)];
        let Some(end) = window.iter().position(|&byte| byte == b'\n') else {
            let too_long = window.len() == MAX_LINE_BYTES + 2;
            return if too_long { Err(Fault::Framing) } else { Ok(None) };
        };
        self.overhead_bytes += end + 1;
        // Size lines, extensions and trailers together may take as many bytes as a body may have.
        // Without this limit, a small body in tiny chunks could arrive in a message of any size.
        if self.overhead_bytes > self.body_limit {
            return Err(Fault::BodyTooLarge);
        }
        let mut line = buffer.split_to(end + 1);
        let is_well_formed = line.ends_with(b"\r\n") && line.iter().all(|&byte| byte != 0);
        line.truncate((end + 1).saturating_sub(2));
        if !is_well_formed || line.contains(&b'\r') {
            return Err(Fault::Framing);
        }
        Ok(Some(line))
    }
}

fn parse_chunk_size(line: &[u8]) -> Result<usize> {
    let digits = line.iter().take_while(|byte| byte.is_ascii_hexdigit()).count();
    if !(1..=MAX_SIZE_DIGITS).contains(&digits) {
        return Err(Fault::Framing);
    }
    if !matches!(line.get(digits), None | Some(b';')) {
        return Err(Fault::Framing);
    }
    let text = std::str::from_utf8(&line[..digits]).map_err(|_| Fault::Framing)?;
    usize::from_str_radix(text, 16).map_err(|_| Fault::Framing)
}
