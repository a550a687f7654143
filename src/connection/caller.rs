//! A connection from a caller.

use monoio::net::TcpStream;

use super::bounded_stream::{next_search_start, BoundedStream};
use super::decode::decode_call;
use super::encode::encode_response;
use super::fault::Fault;
use super::framing::{request_framing, Framing};
use super::limits::Limits;
use super::memory_budget::MemoryBudget;
use super::received_call::{Receipt, ReceivedCall, RejectedCall};
use super::Result;
use crate::prelude::*;

/// Interim response that asks a caller for the body.
const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// Longest wait for the caller to close its side after the last response. Closing a socket with
/// unread bytes resets the connection, and a reset can destroy a response in transit.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// The server side of a connection.
pub struct CallerConnection {
    stream: BoundedStream,
    /// Limits that may change while the connection is open.
    limits: Rc<Cell<Limits>>,
    /// Whether another call may be read.
    reusable: bool,
    /// How far the buffer has been searched for the next call.
    search: BufferSearch,
}

/// Result of a search of the buffer for a whole call, which holds until a call is consumed.
#[derive(Clone, Copy, Default)]
struct BufferSearch {
    /// Where the search for the end of the head continues.
    start: usize,
    /// Bytes that the buffer must hold before it can contain a whole call.
    needed: usize,
}

/// What happened on a connection while its calls run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiveEvent {
    /// Further bytes are in the buffer.
    Received,
    /// The caller has closed the connection.
    Closed,
}

impl CallerConnection {
    /// Wraps an accepted socket.
    pub fn new(socket: TcpStream, limits: Limits) -> Self {
        Self::with_limits(socket, Rc::new(Cell::new(limits)))
    }

    /// Wraps an accepted socket; changes of `limits` take effect while the connection is open.
    pub fn with_limits(socket: TcpStream, limits: Rc<Cell<Limits>>) -> Self {
        Self {
            stream: BoundedStream::new(socket),
            limits,
            reusable: true,
            search: BufferSearch::default(),
        }
    }

    /// Counts the bytes of calls against `budget`; a call that exceeds it is rejected.
    pub fn with_memory_budget(mut self, budget: Rc<MemoryBudget>) -> Self {
        self.stream.set_memory_budget(budget);
        self
    }

    /// Waits for the first byte of the next call. Dropping the future loses no data.
    pub async fn wait_readable(&mut self) -> std::result::Result<(), Fault> {
        if !self.reusable {
            return Err(Fault::Closed);
        }
        if self.stream.buffered_bytes() > 0 {
            return Ok(());
        }
        let start = Instant::now();
        loop {
            // The timeout may have grown during the wait; the caller relies on the current one.
            let left = self.limits.get().idle_timeout.saturating_sub(start.elapsed());
            if left.is_zero() {
                return Err(Fault::Closed);
            }
            match monoio::time::timeout(left, self.stream.fill_buffer()).await {
                Err(_) => {}
                Ok(Err(_) | Ok(0)) => return Err(Fault::Closed),
                Ok(Ok(_)) => return Ok(()),
            }
        }
    }

    /// Reads the next call; `Fault::Closed` is the regular end of the connection.
    pub async fn next_call(&mut self) -> std::result::Result<ReceivedCall, RejectedCall> {
        let mut receipt = Receipt::default();
        self.search = BufferSearch::default();
        match self.read_call(&mut receipt).await {
            Ok(call) => {
                receipt.held = self.stream.take_consumed_bytes();
                Ok(ReceivedCall { call, receipt })
            }
            Err(fault) => {
                // Where the next call would begin is unknown.
                self.reusable = false;
                self.stream.clear_buffer();
                Err(RejectedCall { fault, receipt })
            }
        }
    }

    /// Whether `next_call` returns the next call, or rejects it, without waiting: its head and its
    /// whole body are in the buffer. A body with chunked transfer coding counts as incomplete, as
    /// its end is only found by decoding it.
    pub fn has_whole_call(&mut self) -> bool {
        let buffered = self.stream.buffered_bytes();
        if !self.reusable || buffered == 0 || buffered < self.search.needed {
            return false;
        }
        let Some(head) = self.stream.buffered_head(self.search.start) else {
            let start = next_search_start(buffered);
            self.search = BufferSearch { start, needed: buffered + 1 };
            return false;
        };
        let body_bytes = match request_framing(head) {
            Ok(Framing::Length(length)) if length <= self.limits.get().body_bytes => length,
            Ok(Framing::Empty | Framing::Length(_)) | Err(_) => return true,
            Ok(Framing::Chunked | Framing::UntilClose) => usize::MAX,
        };
        self.search.needed = head.len().saturating_add(body_bytes);
        buffered >= self.search.needed
    }

    /// Whether the next call, or the end of the stream, can be read without waiting.
    pub fn is_readable(&self) -> bool {
        self.reusable && !self.stream.is_open_and_idle()
    }

    /// Waits until the caller has sent further bytes or has closed the connection. Dropping the
    /// future loses no data.
    pub async fn receive(&mut self) -> ReceiveEvent {
        if self.stream.buffered_bytes() > self.limits.get().head_bytes {
            // The caller pipelines its next calls; reading more would buffer them without limit.
            std::future::pending::<()>().await;
        }
        match self.stream.fill_buffer().await {
            Err(_) | Ok(0) => ReceiveEvent::Closed,
            Ok(_) => ReceiveEvent::Received,
        }
    }

    /// Resolves when the caller has closed the connection.
    pub async fn closed(&mut self) {
        while self.receive().await == ReceiveEvent::Received {}
    }

    /// Writes the response to the call of `receipt`.
    pub async fn write_response(&mut self, response: Answer, receipt: Receipt) -> Result<()> {
        let (head, body) = encode_response(response, receipt.is_head, receipt.is_last);
        let write = async {
            self.stream.write_all(head).await?;
            self.stream.write_all(body).await
        };
        match monoio::time::timeout(self.limits.get().write_timeout, write).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(error)) => Err(Error::Connection { reason: error.to_string() }),
            Err(_) => {
                Err(Error::Connection { reason: "timed out while writing the response".into() })
            }
        }
    }

    /// Shuts down the sending direction, then waits briefly for the caller to close its side.
    pub async fn close(mut self) {
        self.stream.shutdown_write().await;
        self.stream.clear_buffer();
        let _ = monoio::time::timeout(LINGER_TIMEOUT, async {
            while matches!(self.stream.fill_buffer().await, Ok(1..)) {
                self.stream.clear_buffer();
            }
        })
        .await;
    }

    async fn read_call(&mut self, receipt: &mut Receipt) -> std::result::Result<Call, Fault> {
        self.wait_readable().await?;
        let limits = self.limits.get();
        let head = self.stream.read_head(&limits).await?;
        let framing = request_framing(&head)?;
        let head = decode_call(head)?;
        receipt.is_head = head.call.method == Method::HEAD;
        receipt.is_last = head.close;
        self.reusable &= !head.close;
        let mut call = head.call;
        let body = read_call_body(&mut self.stream, framing, head.expects_continue, &limits);
        call.body = match framing {
            Framing::Empty => Bytes::new(),
            _ => monoio::time::timeout(limits.body_timeout, body)
                .await
                .unwrap_or(Err(Fault::TooSlow))?,
        };
        Ok(call)
    }
}

/// Reads the body of a call, after an interim response if the caller waits for one.
async fn read_call_body(
    stream: &mut BoundedStream,
    framing: Framing,
    expects_continue: bool,
    limits: &Limits,
) -> std::result::Result<Bytes, Fault> {
    let is_within_limit = !matches!(framing, Framing::Length(length) if length > limits.body_bytes);
    if expects_continue && is_within_limit && stream.buffered_bytes() == 0 {
        let write = stream.write_all(Bytes::from_static(CONTINUE_RESPONSE));
        write.await.map_err(|_| Fault::Truncated)?;
    }
    stream.read_body(framing, limits).await
}
