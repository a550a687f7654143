//! A connection to a target or to any other HTTP server.

use monoio::net::TcpStream;

use super::decode::decode_answer;
use super::encode::encode_call;
use super::fault::{Fault, Lost};
use super::framing::{answer_framing, AnswerFraming, Framing};
use super::guard::Guard;
use super::limits::Limits;
use super::Result;
use crate::prelude::*;

/// Most interim responses (1xx) before the final one.
const MAX_INTERIM: usize = 16;
/// Status of a response after which the connection no longer carries HTTP.
const SWITCHING_PROTOCOLS: u16 = 101;

/// The client's side of one connection.
pub struct TargetConnection {
    address: SocketAddr,
    guard: Guard,
    limits: Limits,
    reusable: bool,
}

impl TargetConnection {
    /// Opens a connection.
    pub async fn connect(address: SocketAddr, timeout: Duration, limits: Limits) -> Result<Self> {
        let stream = match monoio::time::timeout(timeout, TcpStream::connect_addr(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(source)) => return Err(Error::Connect { address, source }),
            Err(_) => {
                let source = std::io::ErrorKind::TimedOut.into();
                return Err(Error::Connect { address, source });
            }
        };
        Ok(Self { address, guard: Guard::new(stream), limits, reusable: true })
    }

    /// Sends a call and reads its whole answer.
    ///
    /// The connection is not reusable while an exchange is under way, so a cancelled exchange
    /// leaves it closed; `has_sent` then tells whether the call may have left.
    pub async fn exchange(&mut self, call: &Call) -> std::result::Result<Answer, Lost> {
        let was_reusable = std::mem::replace(&mut self.reusable, false);
        self.guard.reset_sent();
        if !was_reusable || !self.guard.is_quiet() {
            // Bytes that precede the request belong to no call, and an end means no response.
            return Err(Lost { fault: Fault::Closed, sent: false });
        }
        let result = self.run(call).await;
        result.map_err(|fault| Lost { fault, sent: self.guard.has_sent() })
    }

    /// Whether the kernel may have taken a byte of the last exchange's call.
    pub fn has_sent(&self) -> bool {
        self.guard.has_sent()
    }

    /// Whether the connection is idle and the other side has not closed it.
    pub fn is_open(&self) -> bool {
        self.reusable && self.guard.is_quiet()
    }

    /// Whether the connection can carry another call.
    pub fn is_reusable(&self) -> bool {
        self.reusable
    }

    async fn run(&mut self, call: &Call) -> std::result::Result<Answer, Fault> {
        let (head, body) = encode_call(call, self.address);
        self.guard.write(head).await.map_err(|_| Fault::Closed)?;
        self.guard.write(body).await.map_err(|_| Fault::Closed)?;
        let (head, framing) = self.final_head(&call.method).await?;
        let head = decode_answer(head)?;
        let mut answer = head.answer;
        answer.body = self.guard.body(framing.framing, &self.limits).await?;
        self.reusable = framing.framing != Framing::UntilClose
            && !framing.doubtful
            && !head.close
            && self.guard.unread() == 0;
        Ok(answer)
    }

    async fn final_head(
        &mut self,
        method: &Method,
    ) -> std::result::Result<(BytesMut, AnswerFraming), Fault> {
        for _ in 0..=MAX_INTERIM {
            if self.guard.unread() == 0 && !matches!(self.guard.fill().await, Ok(1..)) {
                return Err(Fault::Closed);
            }
            let head = self.guard.head(&self.limits).await?;
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
