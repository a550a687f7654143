//! A connection to a target or to any other HTTP server.

use monoio::net::TcpStream;

use super::bounded_stream::BoundedStream;
use super::decode::decode_response;
use super::encode::encode_call;
use super::fault::{ExchangeError, Fault};
use super::framing::{response_framing, Framing, ResponseFraming};
use super::limits::Limits;
use super::memory_budget::MemoryBudget;
use super::Result;
use crate::prelude::*;

/// Most interim responses (1xx) before the final one.
const MAX_INTERIM_RESPONSES: usize = 16;
/// Most responses to earlier calls that are skipped before the expected one.
const MAX_STALE_RESPONSES: usize = 4;
/// How long before the server's keep-alive timeout a connection is no longer used, so that no
/// call is sent on a connection that the server is closing.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1500);
/// Longest keep-alive timeout that is taken from a server, which may state any number.
const MAX_KEEP_ALIVE: Duration = Duration::from_secs(3600);
/// Status after which the connection no longer carries HTTP.
const SWITCHING_PROTOCOLS: u16 = 101;

/// The client side of a connection.
pub struct TargetConnection {
    address: SocketAddr,
    stream: BoundedStream,
    limits: Limits,
    reusable: bool,
    /// Whether the connection has carried a response.
    has_responded: bool,
    /// When the idle connection must no longer be used, if the server sent a keep-alive timeout.
    expires_at: Option<Instant>,
}

impl TargetConnection {
    /// Opens a connection.
    pub async fn connect(address: SocketAddr, timeout: Duration, limits: Limits) -> Result<Self> {
        let socket = match monoio::time::timeout(timeout, TcpStream::connect_addr(address)).await {
            Ok(Ok(socket)) => socket,
            Ok(Err(source)) => return Err(Error::Connect { address, source }),
            Err(_) => {
                let source = std::io::ErrorKind::TimedOut.into();
                return Err(Error::Connect { address, source });
            }
        };
        let stream = BoundedStream::new(socket);
        Ok(Self { address, stream, limits, reusable: true, has_responded: false, expires_at: None })
    }

    /// Counts the bytes of responses against `budget`; a response that exceeds it is rejected.
    pub fn with_memory_budget(mut self, budget: Rc<MemoryBudget>) -> Self {
        self.stream.set_memory_budget(budget);
        self
    }

    /// Sends a call and reads its whole response.
    ///
    /// The connection is not reusable during an exchange, so it cannot be used again after a
    /// cancelled one; `maybe_sent` then tells whether a byte of the call may have been sent.
    pub async fn exchange(&mut self, call: &Call) -> std::result::Result<Answer, ExchangeError> {
        self.exchange_matching(call, |_| true).await
    }

    /// Like `exchange`, but skips responses to earlier calls, for which `is_match` returns `false`.
    pub async fn exchange_matching(
        &mut self,
        call: &Call,
        is_match: impl Fn(&Answer) -> bool,
    ) -> std::result::Result<Answer, ExchangeError> {
        let was_reusable = std::mem::replace(&mut self.reusable, false);
        self.stream.reset_maybe_sent();
        if !was_reusable || !self.stream.is_open_and_idle() {
            // Bytes received before the request belong to no call, and a closed connection cannot
            // carry a response.
            return Err(ExchangeError { fault: Fault::Closed, maybe_sent: false });
        }
        let result = self.run_exchange(call, is_match).await;
        self.stream.release_memory();
        result.map_err(|fault| ExchangeError { fault, maybe_sent: self.stream.maybe_sent() })
    }

    /// Whether the kernel may have accepted a byte of the last call.
    pub fn maybe_sent(&self) -> bool {
        self.stream.maybe_sent()
    }

    /// Whether the connection is idle and can be used: neither closed, expired nor readable.
    pub fn is_open(&self) -> bool {
        let is_expired = self.expires_at.is_some_and(|expires_at| Instant::now() >= expires_at);
        self.reusable && !is_expired && self.stream.is_open_and_idle()
    }

    /// Whether the connection has not carried a response yet.
    pub fn is_new(&self) -> bool {
        !self.has_responded
    }

    /// Whether the connection can carry another call.
    pub fn is_reusable(&self) -> bool {
        self.reusable
    }

    async fn run_exchange(
        &mut self,
        call: &Call,
        is_match: impl Fn(&Answer) -> bool,
    ) -> std::result::Result<Answer, Fault> {
        let is_fully_written = self.write_call(call).await?;
        for _ in 0..=MAX_STALE_RESPONSES {
            let (head, framing) = self.read_final_head(&call.method).await?;
            let head = decode_response(head)?;
            let mut response = head.response;
            response.body = self.stream.read_body(framing.framing, &self.limits).await?;
            let stays_open =
                framing.framing != Framing::UntilClose && !framing.announces_body && !head.close;
            if is_match(&response) {
                self.has_responded = true;
                self.expires_at = keep_alive_expiry(&response.headers);
                self.reusable = stays_open && is_fully_written && self.stream.buffered_bytes() == 0;
                return Ok(response);
            }
            if !stays_open {
                return Err(Fault::Closed);
            }
        }
        Err(Fault::Framing)
    }

    /// Writes a call; stops and returns `false` if the response begins before all is written.
    async fn write_call(&mut self, call: &Call) -> std::result::Result<bool, Fault> {
        let (head, body) = encode_call(call, self.address);
        for part in [head, body] {
            match self.stream.write_until_readable(part).await {
                Ok(true) => {}
                Ok(false) => return Ok(false),
                Err(_) => return Err(Fault::Closed),
            }
        }
        Ok(true)
    }

    /// Reads the head of the final response, after any interim ones.
    async fn read_final_head(
        &mut self,
        method: &Method,
    ) -> std::result::Result<(BytesMut, ResponseFraming), Fault> {
        for _ in 0..=MAX_INTERIM_RESPONSES {
            if self.stream.buffered_bytes() == 0
                && !matches!(self.stream.fill_buffer().await, Ok(1..))
            {
                return Err(Fault::Closed);
            }
            let head = self.stream.read_head(&self.limits).await?;
            let framing = response_framing(&head, method)?;
            match framing.status {
                SWITCHING_PROTOCOLS => return Err(Fault::Framing),
                100..=199 => {}
                _ => return Ok((head, framing)),
            }
        }
        Err(Fault::Framing)
    }
}

/// When a connection must no longer be used, from the timeout in a `keep-alive` header.
fn keep_alive_expiry(headers: &HeaderMap) -> Option<Instant> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let mut parts = value.split(',').filter_map(|part| part.split_once('='));
    let (_, seconds) = parts.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))?;
    let idle = Duration::from_secs(seconds.trim().parse().ok()?);
    Some(Instant::now() + idle.min(MAX_KEEP_ALIVE).saturating_sub(KEEP_ALIVE_MARGIN))
}
