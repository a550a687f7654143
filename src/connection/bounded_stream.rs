//! Bounded reads and tracked writes of HTTP messages on a TCP stream.
//!
//! The HTTP codec buffers without limits. This module therefore reads whole heads and bodies
//! itself, within limits. The codec parses only heads that have been checked, and never a body.

use std::mem::ManuallyDrop;
use std::os::fd::{AsRawFd, FromRawFd};

use monoio::io::{AsyncReadRent, AsyncWriteRent};
use monoio::net::TcpStream;

use super::chunked::ChunkedDecoder;
use super::fault::Fault;
use super::framing::Framing;
use super::held_bytes::HeldBytes;
use super::limits::Limits;
use super::memory_budget::MemoryBudget;
use crate::prelude::*;

/// Size of one read from the socket.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// The empty line that ends a head.
const HEAD_TERMINATOR: &[u8] = b"\r\n\r\n";

type Result<T> = std::result::Result<T, Fault>;

thread_local! {
    /// Read buffer shared by all connections of the thread, so that idle ones need none.
    static READ_BUFFER: Cell<Vec<u8>> = const { Cell::new(Vec::new()) };
}

/// A TCP stream with bounded reads, which records whether a message may have been sent in part.
pub struct BoundedStream {
    socket: TcpStream,
    buffer: BytesMut,
    budget: Option<Rc<MemoryBudget>>,
    /// Bytes of the current message and of the buffer that are counted in `budget`.
    counted: usize,
    /// Whether the kernel may have accepted a byte of the current outgoing message.
    maybe_sent: bool,
}

impl Drop for BoundedStream {
    fn drop(&mut self) {
        self.release_memory();
    }
}

impl BoundedStream {
    /// Wraps a connected socket.
    pub fn new(socket: TcpStream) -> Self {
        let _ = socket.set_nodelay(true);
        Self { socket, buffer: BytesMut::new(), budget: None, counted: 0, maybe_sent: false }
    }

    /// Counts bytes read from now on against `budget`; a message that exceeds it is rejected.
    pub fn set_memory_budget(&mut self, budget: Rc<MemoryBudget>) {
        self.budget = Some(budget);
    }

    /// Returns the bytes counted for the current message to the memory budget.
    pub fn release_memory(&mut self) {
        if let Some(budget) = &self.budget {
            budget.release(std::mem::take(&mut self.counted));
        }
    }

    /// Hands over the counted bytes of the message that has been consumed; those of the buffer stay
    /// counted here.
    pub fn take_consumed_bytes(&mut self) -> HeldBytes {
        let buffered = self.counted.min(self.buffer.len());
        let consumed = std::mem::replace(&mut self.counted, buffered) - buffered;
        HeldBytes::of_counted(self.budget.clone(), consumed)
    }

    /// The head at the beginning of the buffer, if it is complete, with its terminator searched for
    /// from `start`.
    pub fn buffered_head(&self, start: usize) -> Option<&[u8]> {
        let length = find_head_end(&self.buffer, start)?;
        Some(&self.buffer[..length])
    }

    /// Number of bytes that have been read from the socket but not yet consumed.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Whether the connection is open and no byte from the peer is waiting to be read.
    pub fn is_open_and_idle(&self) -> bool {
        // SAFETY: `socket` keeps the descriptor open, and `ManuallyDrop` does not close it.
        let stream = unsafe { std::net::TcpStream::from_raw_fd(self.socket.as_raw_fd()) };
        let stream = ManuallyDrop::new(stream);
        let peeked = stream.peek(&mut [0]);
        let is_open = peeked.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock);
        is_open && self.buffer.is_empty()
    }

    /// Reads a whole head; `limits.head_timeout` starts with this call.
    pub async fn read_head(&mut self, limits: &Limits) -> Result<BytesMut> {
        if let Some(length) = find_head_end(&self.buffer, 0) {
            return self.split_head(length, limits);
        }
        monoio::time::timeout(limits.head_timeout, self.receive_head(limits))
            .await
            .unwrap_or(Err(Fault::TooSlow))
    }

    /// Reads a whole body.
    pub async fn read_body(&mut self, framing: Framing, limits: &Limits) -> Result<Bytes> {
        match framing {
            Framing::Chunked => self.read_chunked_body(limits).await,
            Framing::Empty => Ok(Bytes::new()),
            Framing::Length(length) => self.read_fixed_body(length, limits).await,
            Framing::UntilClose => self.read_body_until_close(limits).await,
        }
    }

    /// Reads more bytes into the buffer and returns their number; 0 is the end of the stream.
    pub async fn fill_buffer(&mut self) -> std::io::Result<usize> {
        self.socket.readable(false).await?;
        let mut read_buffer = READ_BUFFER.take();
        if read_buffer.capacity() < READ_BUFFER_BYTES {
            read_buffer = Vec::with_capacity(READ_BUFFER_BYTES);
        }
        let (result, read_buffer) = self.socket.read(read_buffer).await;
        if let Ok(count) = result {
            if self.buffer.is_empty() {
                // Allocates a new buffer, so that the one of an earlier large message can be freed.
                self.buffer = BytesMut::with_capacity(count);
            }
            self.buffer.extend_from_slice(&read_buffer[..count]);
            self.count_bytes(count);
        }
        READ_BUFFER.set(read_buffer);
        result
    }

    /// Drops the bytes that have been read but not consumed, and returns all counted bytes to the
    /// memory budget.
    pub fn clear_buffer(&mut self) {
        self.buffer = BytesMut::new();
        self.release_memory();
    }

    /// Whether the kernel may have accepted a byte since `reset_maybe_sent`.
    pub fn maybe_sent(&self) -> bool {
        self.maybe_sent
    }

    /// Clears `maybe_sent` before a new message is written.
    pub fn reset_maybe_sent(&mut self) {
        self.maybe_sent = false;
    }

    /// Writes all of `bytes`.
    pub async fn write_all(&mut self, mut bytes: Bytes) -> std::io::Result<()> {
        while !bytes.is_empty() {
            // Waiting passes no byte to the kernel, so a write cancelled here leaves `maybe_sent`
            // exact.
            self.socket.writable(true).await?;
            bytes = self.write_some(bytes).await?;
        }
        Ok(())
    }

    /// Writes `bytes` until all are written, or until the peer sends data or closes. Returns
    /// whether all were written.
    ///
    /// A server may reject a long body before it has read all of it. It then stops reading, so
    /// a write that ignored its response would never end.
    pub async fn write_until_readable(&mut self, mut bytes: Bytes) -> std::io::Result<bool> {
        while !bytes.is_empty() {
            let is_writable = monoio::select! {
                biased;
                ready = self.socket.writable(true) => ready.map(|()| true),
                ready = self.socket.readable(true) => ready.map(|()| false),
            };
            if !is_writable? {
                return Ok(false);
            }
            bytes = self.write_some(bytes).await?;
        }
        Ok(true)
    }

    /// Writes once and returns the bytes that the kernel did not accept.
    async fn write_some(&mut self, bytes: Bytes) -> std::io::Result<Bytes> {
        let sent_before = self.maybe_sent;
        self.maybe_sent = true;
        let (result, mut rest) = self.socket.write(bytes).await;
        match result {
            Ok(0) => Err(std::io::ErrorKind::WriteZero.into()),
            Ok(count) => {
                drop(rest.split_to(count));
                Ok(rest)
            }
            Err(error) => {
                // A failed write(2) accepted none of the bytes.
                self.maybe_sent = sent_before;
                Err(error)
            }
        }
    }

    /// Shuts down the sending direction.
    pub async fn shutdown_write(&mut self) {
        let _ = self.socket.shutdown().await;
    }

    async fn receive_head(&mut self, limits: &Limits) -> Result<BytesMut> {
        let mut searched = 0;
        loop {
            if let Some(length) = find_head_end(&self.buffer, searched) {
                return self.split_head(length, limits);
            }
            if self.buffer.len() > limits.head_bytes {
                return Err(Fault::HeadTooLarge);
            }
            searched = next_search_start(self.buffer.len());
            self.read_more().await?;
        }
    }

    fn split_head(&mut self, length: usize, limits: &Limits) -> Result<BytesMut> {
        if length > limits.head_bytes {
            return Err(Fault::HeadTooLarge);
        }
        Ok(self.buffer.split_to(length))
    }

    async fn read_fixed_body(&mut self, length: usize, limits: &Limits) -> Result<Bytes> {
        if length > limits.body_bytes {
            return Err(Fault::BodyTooLarge);
        }
        while self.buffer.len() < length {
            self.read_more().await?;
        }
        Ok(self.buffer.split_to(length).freeze())
    }

    async fn read_chunked_body(&mut self, limits: &Limits) -> Result<Bytes> {
        let mut decoder = ChunkedDecoder::new(limits.body_bytes);
        while !decoder.decode(&mut self.buffer)? {
            self.read_more().await?;
        }
        Ok(decoder.into_body())
    }

    async fn read_body_until_close(&mut self, limits: &Limits) -> Result<Bytes> {
        loop {
            if self.buffer.len() > limits.body_bytes {
                return Err(Fault::BodyTooLarge);
            }
            if self.fill_buffer().await.map_err(|_| Fault::Truncated)? == 0 {
                return Ok(self.buffer.split().freeze());
            }
            if self.is_over_budget() {
                return Err(Fault::NoMemory);
            }
        }
    }

    /// Reads more bytes of a message; the end of the stream is a fault here.
    async fn read_more(&mut self) -> Result<()> {
        match self.fill_buffer().await {
            Ok(0) | Err(_) => Err(Fault::Truncated),
            Ok(_) if self.is_over_budget() => Err(Fault::NoMemory),
            Ok(_) => Ok(()),
        }
    }

    fn is_over_budget(&self) -> bool {
        self.budget.as_ref().is_some_and(|budget| budget.is_exhausted(self.counted))
    }

    fn count_bytes(&mut self, count: usize) {
        if let Some(budget) = &self.budget {
            budget.add(count);
            self.counted += count;
        }
    }
}

/// Where the search for the end of a head continues after `searched` bytes without one.
pub fn next_search_start(searched: usize) -> usize {
    searched.saturating_sub(HEAD_TERMINATOR.len() - 1)
}

/// Length of the head at the beginning of `buffer`, with its terminator searched for from `start`.
fn find_head_end(buffer: &[u8], start: usize) -> Option<usize> {
    let found =
        buffer[start..].windows(HEAD_TERMINATOR.len()).position(|window| window == HEAD_TERMINATOR);
    found.map(|position| start + position + HEAD_TERMINATOR.len())
}
