//! A connection to a target or to any other HTTP server.

use monoio::io::sink::SinkExt;
use monoio::io::stream::Stream;
use monoio::io::{OwnedReadHalf, OwnedWriteHalf, Splitable};
use monoio::net::TcpStream;
use monoio_http::common::error::HttpError;
use monoio_http::h1::codec::decoder::{FillPayload, ResponseDecoder};
use monoio_http::h1::codec::encoder::GenericEncoder;
use monoio_http::h1::payload::{FixedPayload, Payload};

use super::caller::read_body;
use super::guard::{answer_framing, Fault, Framing, Guard};
use super::limits::Limits;
use super::Result;
use crate::prelude::*;

/// The client's side of one connection.
pub struct TargetConnection {
    guard: Guard<OwnedReadHalf<TcpStream>>,
    encoder: GenericEncoder<OwnedWriteHalf<TcpStream>>,
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
        let _ = stream.set_nodelay(true);
        let (reader, writer) = stream.into_split();
        Ok(Self {
            guard: Guard::new(reader),
            encoder: GenericEncoder::new(writer),
            limits,
            reusable: true,
        })
    }

    /// Sends a call and reads its whole answer.
    ///
    /// Any fault means that bytes may have left; the connection is then not reusable. It is not
    /// reusable either while an exchange is under way, so a cancelled exchange leaves it closed.
    pub async fn exchange(&mut self, call: &Call) -> std::result::Result<Answer, Fault> {
        self.reusable = false;
        self.send(call).await?;
        let (length, framing) = self.final_head(&call.method).await?;
        let answer = match framing {
            Framing::UntilClose => self.read_until_close(length).await?,
            Framing::Empty => self.read_head_only(length)?,
            Framing::Chunked | Framing::Length(_) => {
                self.guard.allow(length, framing, &self.limits)?;
                read_answer(&mut self.guard).await?
            }
        };
        self.reusable = matches!(framing, Framing::Empty | Framing::Length(_))
            && !self.guard.has_unread()
            && !says_close(&answer);
        Ok(answer)
    }

    /// Whether the connection can carry another call.
    pub fn is_reusable(&self) -> bool {
        self.reusable
    }

    async fn send(&mut self, call: &Call) -> std::result::Result<(), Fault> {
        let mut request = http::Request::new(Payload::<Bytes, HttpError>::None);
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = call.uri.clone();
        *request.headers_mut() = call.headers.clone();
        let headers = request.headers_mut();
        headers.remove(http::header::TRANSFER_ENCODING);
        headers.remove(http::header::CONTENT_LENGTH);
        if !call.body.is_empty() {
            *request.body_mut() = Payload::Fixed(FixedPayload::new(call.body.clone()));
        }
        self.encoder.send_and_flush(request).await.map_err(|_| Fault::Truncated)
    }

    async fn final_head(
        &mut self,
        method: &Method,
    ) -> std::result::Result<(usize, Framing), Fault> {
        loop {
            let length = self.guard.fill_head(&self.limits).await?;
            let (status, framing) = answer_framing(self.guard.head(length), method)?;
            if !matches!(status, 100..=199) {
                return Ok((length, framing));
            }
            self.guard.skip(length);
        }
    }

    fn read_head_only(&mut self, length: usize) -> std::result::Result<Answer, Fault> {
        let answer = parse_head(self.guard.head(length))?;
        self.guard.skip(length);
        Ok(answer)
    }

    async fn read_until_close(&mut self, length: usize) -> std::result::Result<Answer, Fault> {
        let mut answer = self.read_head_only(length)?;
        answer.body = self.guard.drain(&self.limits).await?;
        Ok(answer)
    }
}

fn says_close(answer: &Answer) -> bool {
    answer.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
}

fn parse_head(head: &[u8]) -> std::result::Result<Answer, Fault> {
    let mut fields = [httparse::EMPTY_HEADER; 96];
    let mut response = httparse::Response::new(&mut fields);
    response.parse(head).map_err(|_| Fault::Framing)?;
    let status = response.code.and_then(|code| StatusCode::from_u16(code).ok());
    let mut answer = Answer::new(status.ok_or(Fault::Framing)?, Bytes::new());
    for field in response.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes()).map_err(|_| Fault::Framing)?;
        let value = HeaderValue::from_bytes(field.value).map_err(|_| Fault::Framing)?;
        answer.headers.append(name, value);
    }
    Ok(answer)
}

async fn read_answer(
    guard: &mut Guard<OwnedReadHalf<TcpStream>>,
) -> std::result::Result<Answer, Fault> {
    let mut decoder = ResponseDecoder::new(guard);
    let response = match decoder.next().await {
        Some(Ok(response)) => response,
        Some(Err(_)) | None => return Err(Fault::Framing),
    };
    decoder.fill_payload().await.map_err(|_| Fault::Truncated)?;
    let (parts, payload) = response.into_parts();
    let body = read_body(payload).await?;
    Ok(Answer { status: parts.status, headers: parts.headers, body })
}
