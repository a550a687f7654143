//! A connection from a caller.

use monoio::net::TcpStream;

use super::bounded_stream::BoundedStream;
use super::decode::decode_call;
use super::encode::encode_answer;
use super::fault::Fault;
use super::framing::{request_framing, Framing};
use super::limits::Limits;
use super::memory_budget::MemoryBudget;
use super::Result;
use crate::prelude::*;

/// Interim response that asks a caller for the body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// Time in which a caller may take the last answer before the connection is closed. Closing with
/// unread bytes resets the connection, and a reset can destroy an answer on its way.
const LINGER: Duration = Duration::from_secs(1);

/// The server's side of one connection.
pub struct CallerConnection {
    stream: BoundedStream,
    /// Bounds that may change while the connection is open.
    limits: Rc<Cell<Limits>>,
    reusable: bool,
    head_only: bool,
}

impl CallerConnection {
    /// Wraps an accepted stream.
    pub fn new(socket: TcpStream, limits: Limits) -> Self {
        Self::with_limits(socket, Rc::new(Cell::new(limits)))
    }

    /// Wraps an accepted stream whose bounds may change.
    pub fn with_limits(socket: TcpStream, limits: Rc<Cell<Limits>>) -> Self {
        Self { stream: BoundedStream::new(socket), limits, reusable: true, head_only: false }
    }

    /// Counts what the caller sends in `memory`, which also bounds it.
    pub fn with_memory_budget(mut self, budget: Rc<MemoryBudget>) -> Self {
        self.stream.set_memory_budget(budget);
        self
    }

    /// Waits for the first byte of the next call; no byte is lost when the wait is dropped.
    pub async fn idle(&mut self) -> std::result::Result<(), Fault> {
        if !self.reusable {
            return Err(Fault::Closed);
        }
        if self.stream.buffered_bytes() > 0 {
            return Ok(());
        }
        let start = Instant::now();
        loop {
            // The bound may have grown during the wait, and the caller relies on the newest one.
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

    /// Reads the next call; `Closed` is the regular end of the connection.
    pub async fn next(&mut self) -> std::result::Result<Call, Fault> {
        self.idle().await?;
        self.head_only = false;
        let limits = self.limits.get();
        let head = self.stream.read_head(&limits).await?;
        let framing = request_framing(&head)?;
        let head = decode_call(head)?;
        self.head_only = head.call.method == Method::HEAD;
        self.reusable &= !head.close;
        let mut call = head.call;
        let body = read_body(&mut self.stream, framing, head.expects, &limits);
        call.body = match framing {
            Framing::Empty => Bytes::new(),
            _ => monoio::time::timeout(limits.body_timeout, body)
                .await
                .unwrap_or(Err(Fault::TooSlow))?,
        };
        Ok(call)
    }

    /// Whether another call may follow.
    pub fn is_reusable(&self) -> bool {
        self.reusable
    }

    /// Whether bytes of a next call have arrived.
    pub fn has_waiting(&self) -> bool {
        self.reusable && !self.stream.is_open_and_idle()
    }

    /// Resolves when the caller has closed the connection.
    pub async fn closed(&mut self) {
        loop {
            if self.stream.buffered_bytes() > self.limits.get().head_bytes {
                // The caller sends its next calls; reading on would buffer them without a bound.
                std::future::pending::<()>().await;
            }
            match self.stream.fill_buffer().await {
                Err(_) | Ok(0) => return,
                Ok(_) => {}
            }
        }
    }

    /// Writes an answer.
    pub async fn answer(&mut self, answer: Answer) -> Result<()> {
        let (head, body) = encode_answer(answer, self.head_only, !self.reusable);
        let write = async {
            self.stream.write_all(head).await?;
            self.stream.write_all(body).await
        };
        let result = monoio::time::timeout(self.limits.get().write_timeout, write).await;
        self.stream.release_memory();
        match result {
            Ok(Ok(())) => Ok(()),
            Ok(Err(error)) => Err(Error::Connection { reason: error.to_string() }),
            Err(_) => Err(Error::Connection { reason: "the caller reads too slowly".into() }),
        }
    }

    /// Makes the next answer the last one of the connection.
    pub fn close_after_answer(&mut self) {
        self.reusable = false;
    }

    /// Closes the connection once the caller has seen its end.
    pub async fn close(mut self) {
        self.stream.shutdown_write().await;
        let _ = monoio::time::timeout(LINGER, async {
            while matches!(self.stream.fill_buffer().await, Ok(1..)) {
                self.stream.clear_buffer();
            }
        })
        .await;
    }
}

async fn read_body(
    stream: &mut BoundedStream,
    framing: Framing,
    expects: bool,
    limits: &Limits,
) -> std::result::Result<Bytes, Fault> {
    let is_allowed = !matches!(framing, Framing::Length(length) if length > limits.body_bytes);
    if expects && is_allowed && stream.buffered_bytes() == 0 {
        let write = stream.write_all(Bytes::from_static(CONTINUE));
        write.await.map_err(|_| Fault::Truncated)?;
    }
    stream.read_body(framing, limits).await
}
