//! A scanner for chunked bodies.
//!
//! The codec fails on extensions and trailers and does not bound chunk sizes. The scanner finds
//! the exact end of the body, so the connection stays usable; extensions and trailers are dropped.

use super::fault::Fault;
use crate::prelude::*;

/// Longest chunk-size or trailer line in bytes, without its CRLF.
const MAX_LINE: usize = 1024;
/// Most bytes of trailers.
const MAX_TRAILERS: usize = 8 * 1024;
/// Most hexadecimal digits of a chunk size; 8 digits fit in 32 bits.
const MAX_DIGITS: usize = 8;

type Result<T> = std::result::Result<T, Fault>;

#[derive(Clone, Copy)]
enum State {
    /// At the start of a chunk-size line.
    Size,
    /// Within a chunk with this many bytes left.
    Data(usize),
    /// Before the CRLF that ends a chunk.
    DataEnd,
    /// In the trailers, after this many bytes of them.
    Trailers(usize),
}

/// Decodes one chunked body, whatever pieces it arrives in.
pub struct Chunks {
    state: State,
    body: BytesMut,
    limit: usize,
    /// Bytes seen that are not part of the body.
    overhead: usize,
}

impl Chunks {
    /// Creates a scanner for a body of at most `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self { state: State::Size, body: BytesMut::new(), limit, overhead: 0 }
    }

    /// Takes what it can from `buffer`; returns whether the body is complete.
    pub fn scan(&mut self, buffer: &mut BytesMut) -> Result<bool> {
        loop {
            match self.state {
                State::Size => {
                    let Some(line) = self.take_line(buffer)? else { return Ok(false) };
                    self.start_chunk(parse_size(&line)?)?;
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
                    if seen + line.len() > MAX_TRAILERS || !line.contains(&b':') {
                        return Err(Fault::Framing);
                    }
                    self.state = State::Trailers(seen + line.len());
                }
            }
        }
    }

    /// The decoded body.
    pub fn finish(self) -> Bytes {
        self.body.freeze()
    }

    fn start_chunk(&mut self, size: usize) -> Result<()> {
        if size > self.limit - self.body.len() {
            return Err(Fault::BodyTooLarge);
        }
        self.state = if size == 0 { State::Trailers(0) } else { State::Data(size) };
        Ok(())
    }

    fn take_line(&mut self, buffer: &mut BytesMut) -> Result<Option<BytesMut>> {
        let window = &buffer[..buffer.len().min(MAX_LINE + 2)];
        let Some(end) = window.iter().position(|&byte| byte == b'\n') else {
            let too_long = window.len() == MAX_LINE + 2;
            return if too_long { Err(Fault::Framing) } else { Ok(None) };
        };
        self.overhead += end + 1;
        // Extensions and tiny chunks may cost a caller as many bytes as its body may have.
        if self.overhead > self.limit {
            return Err(Fault::BodyTooLarge);
        }
        let mut line = buffer.split_to(end + 1);
        let is_clean = line.ends_with(b"\r\n") && line.iter().all(|&byte| byte != 0);
        line.truncate((end + 1).saturating_sub(2));
        if !is_clean || line.contains(&b'\r') {
            return Err(Fault::Framing);
        }
        Ok(Some(line))
    }
}

fn parse_size(line: &[u8]) -> Result<usize> {
    let digits = line.iter().take_while(|byte| byte.is_ascii_hexdigit()).count();
    if !(1..=MAX_DIGITS).contains(&digits) {
        return Err(Fault::Framing);
    }
    if !matches!(line.get(digits), None | Some(b';')) {
        return Err(Fault::Framing);
    }
    let text = std::str::from_utf8(&line[..digits]).map_err(|_| Fault::Framing)?;
    usize::from_str_radix(text, 16).map_err(|_| Fault::Framing)
}
