//! A connection from a caller.

use monoio::net::TcpStream;

use super::bounded_stream::BoundedStream;
use super::decode::decode_call;
use super::encode::encode_response;
use super::fault::Fault;
use super::framing::{request_framing, Framing};
use super::limits::Limits;
use super::memory_budget::MemoryBudget;
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
    reusable: bool,
    /// Whether the current call is a HEAD request, whose response has no body.
    is_head: bool,
}

impl CallerConnection {
    /// Wraps an accepted socket.
    pub fn new(socket: TcpStream, limits: Limits) -> Self {
        Self::with_limits(socket, Rc::new(Cell::new(limits)))
    }

    /// Wraps an accepted socket; changes of `limits` take effect while the connection is open.
    pub fn with_limits(socket: TcpStream, limits: Rc<Cell<Limits>>) -> Self {
        Self { stream: BoundedStream::new(socket), limits, reusable: true, is_head: false }
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
    pub async fn next_call(&mut self) -> std::result::Result<Call, Fault> {
        self.wait_readable().await?;
        self.is_head = false;
        let limits = self.limits.get();
        let head = self.stream.read_head(&limits).await?;
        let framing = request_framing(&head)?;
        let head = decode_call(head)?;
        self.is_head = head.call.method == Method::HEAD;
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

    /// Whether the connection stays open for another call.
    pub fn is_reusable(&self) -> bool {
        self.reusable
    }

    /// Whether the next call, or the end of the stream, can be read without waiting.
    pub fn is_readable(&self) -> bool {
        self.reusable && !self.stream.is_open_and_idle()
    }

    /// Resolves when the caller has closed the connection.
    pub async fn closed(&mut self) {
        loop {
            if self.stream.buffered_bytes() > self.limits.get().head_bytes {
                // The caller pipelines its next calls; reading more would buffer them without
                // limit.
                std::future::pending::<()>().await;
            }
            match self.stream.fill_buffer().await {
                Err(_) | Ok(0) => return,
                Ok(_) => {}
            }
        }
    }

    /// Writes the response to the current call.
    pub async fn write_response(&mut self, response: Answer) -> Result<()> {
        let (head, body) = encode_response(response, self.is_head, !self.reusable);
        let write = async {
            self.stream.write_all(head).await?;
            self.stream.write_all(body).await
        };
        let result = monoio::time::timeout(self.limits.get().write_timeout, write).await;
        self.stream.release_memory();
        match result {
            Ok(Ok(())) => Ok(()),
            Ok(Err(error)) => Err(Error::Connection { reason: error.to_string() }),
            Err(_) => {
                Err(Error::Connection { reason: "timed out while writing the response".into() })
            }
        }
    }

    /// Makes the next response the last one on the connection.
    pub fn close_after_response(&mut self) {
        self.reusable = false;
    }

    /// Shuts down the sending direction, then waits briefly for the caller to close its side.
    pub async fn close(mut self) {
        self.stream.shutdown_write().await;
        let _ = monoio::time::timeout(LINGER_TIMEOUT, async {
            while matches!(self.stream.fill_buffer().await, Ok(1..)) {
                self.stream.clear_buffer();
            }
        })
        .await;
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
