//! A connection to a target or to any other HTTP server.

use monoio::net::TcpStream;

use super::bounded_stream::BoundedStream;
use super::decode::decode_answer;
use super::encode::encode_call;
use super::fault::{ExchangeError, Fault};
use super::framing::{answer_framing, AnswerFraming, Framing};
use super::limits::Limits;
use super::memory_budget::MemoryBudget;
use super::Result;
use crate::prelude::*;

/// Most interim responses (1xx) before the final one.
const MAX_INTERIM: usize = 16;
/// Most responses to earlier calls that are skipped before the awaited one.
const MAX_STALE: usize = 4;
/// Idle time that is left unused before the server closes the connection by its own timeout.
const IDLE_MARGIN: Duration = Duration::from_millis(1500);
/// Status of a response after which the connection no longer carries HTTP.
const SWITCHING_PROTOCOLS: u16 = 101;

/// The client's side of one connection.
pub struct TargetConnection {
    address: SocketAddr,
    stream: BoundedStream,
    limits: Limits,
    reusable: bool,
    /// Whether the connection has carried an answer.
    carried: bool,
    /// When the server may close the connection, if it has said so.
    expires: Option<Instant>,
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
        Ok(Self { address, stream, limits, reusable: true, carried: false, expires: None })
    }

    /// Counts what the server sends in `memory`, which also bounds it.
    pub fn with_memory_budget(mut self, budget: Rc<MemoryBudget>) -> Self {
        self.stream.set_memory_budget(budget);
        self
    }

    /// Sends a call and reads its whole answer.
    ///
    /// The connection is not reusable while an exchange is under way, so a cancelled exchange
    /// leaves it closed; `maybe_sent` then tells whether a byte of the call may have been sent.
    pub async fn exchange(&mut self, call: &Call) -> std::result::Result<Answer, ExchangeError> {
        self.exchange_own(call, |_| true).await
    }

    /// Like `exchange`, but skips responses that `is_own` tells to belong to earlier calls.
    pub async fn exchange_own(
        &mut self,
        call: &Call,
        is_own: impl Fn(&Answer) -> bool,
    ) -> std::result::Result<Answer, ExchangeError> {
        let was_reusable = std::mem::replace(&mut self.reusable, false);
        self.stream.reset_maybe_sent();
        if !was_reusable || !self.stream.is_open_and_idle() {
            // Bytes that precede the request belong to no call, and an end means no response.
            return Err(ExchangeError { fault: Fault::Closed, maybe_sent: false });
        }
        let result = self.run(call, is_own).await;
        self.stream.release_memory();
        result.map_err(|fault| ExchangeError { fault, maybe_sent: self.stream.maybe_sent() })
    }

    /// Whether the kernel may have taken a byte of the last exchange's call.
    pub fn maybe_sent(&self) -> bool {
        self.stream.maybe_sent()
    }

    /// Whether the connection is idle and the other side has not closed it.
    pub fn is_open(&self) -> bool {
        let expired = self.expires.is_some_and(|expires| Instant::now() >= expires);
        self.reusable && !expired && self.stream.is_open_and_idle()
    }

    /// Whether the connection has not carried an answer yet.
    pub fn is_new(&self) -> bool {
        !self.carried
    }

    /// Whether the connection can carry another call.
    pub fn is_reusable(&self) -> bool {
        self.reusable
    }

    async fn run(
        &mut self,
        call: &Call,
        is_own: impl Fn(&Answer) -> bool,
    ) -> std::result::Result<Answer, Fault> {
        let is_whole = self.write(call).await?;
        for _ in 0..=MAX_STALE {
            let (head, framing) = self.final_head(&call.method).await?;
            let head = decode_answer(head)?;
            let mut answer = head.answer;
            answer.body = self.stream.read_body(framing.framing, &self.limits).await?;
            let is_open =
                framing.framing != Framing::UntilClose && !framing.doubtful && !head.close;
            if is_own(&answer) {
                self.carried = true;
                self.expires = expiry(&answer.headers);
                self.reusable = is_open && is_whole && self.stream.buffered_bytes() == 0;
                return Ok(answer);
            }
            if !is_open {
                return Err(Fault::Closed);
            }
        }
        Err(Fault::Framing)
    }

    /// Writes a call; returns false if the response began before the whole call was written, and
    /// no further byte is written then.
    async fn write(&mut self, call: &Call) -> std::result::Result<bool, Fault> {
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

    async fn final_head(
        &mut self,
        method: &Method,
    ) -> std::result::Result<(BytesMut, AnswerFraming), Fault> {
        for _ in 0..=MAX_INTERIM {
            if self.stream.buffered_bytes() == 0
                && !matches!(self.stream.fill_buffer().await, Ok(1..))
            {
                return Err(Fault::Closed);
            }
            let head = self.stream.read_head(&self.limits).await?;
            let framing = answer_framing(&head, method)?;
            match framing.status {
                SWITCHING_PROTOCOLS => return Err(Fault::Framing),
                100..=199 => {}
                _ => return Ok((head, framing)),
            }
        }
        Err(Fault::Framing)
    }
}

/// The end of the idle time that a `keep-alive` header states.
fn expiry(headers: &HeaderMap) -> Option<Instant> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let mut parts = value.split(',').filter_map(|part| part.split_once('='));
    let (_, seconds) = parts.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))?;
    let idle = Duration::from_secs(seconds.trim().parse().ok()?);
    Some(Instant::now() + idle.saturating_sub(IDLE_MARGIN))
}
