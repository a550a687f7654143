//! A connection from a caller.

use monoio::io::sink::{Sink, SinkExt};
use monoio::io::stream::Stream;
use monoio::io::{OwnedReadHalf, OwnedWriteHalf, Splitable};
use monoio::net::TcpStream;
use monoio_http::common::body::{Body, HttpBody};
use monoio_http::common::error::HttpError;
use monoio_http::h1::codec::decoder::{FillPayload, RequestDecoder};
use monoio_http::h1::codec::encoder::GenericEncoder;
use monoio_http::h1::payload::{FixedPayload, Payload};

use super::guard::{request_framing, Fault, Framing, Guard};
use super::limits::Limits;
use super::Result;
use crate::prelude::*;

/// The server's side of one connection.
pub struct CallerConnection {
    guard: Guard<OwnedReadHalf<TcpStream>>,
    encoder: GenericEncoder<OwnedWriteHalf<TcpStream>>,
    limits: Limits,
    reusable: bool,
}

impl CallerConnection {
    /// Wraps an accepted stream.
    pub fn new(stream: TcpStream, limits: Limits) -> Self {
        let _ = stream.set_nodelay(true);
        let (reader, writer) = stream.into_split();
        Self {
            guard: Guard::new(reader),
            encoder: GenericEncoder::new(writer),
            limits,
            reusable: true,
        }
    }

    /// Reads the next call; `Closed` is the regular end of the connection.
    pub async fn next(&mut self) -> std::result::Result<Call, Fault> {
        if !self.reusable {
            return Err(Fault::Closed);
        }
        let length = self.guard.fill_head(&self.limits).await?;
        let framing = request_framing(self.guard.head(length))?;
        self.guard.allow(length, framing, &self.limits)?;
        // A chunked body can be followed by bytes that the codec has not taken, so the
        // connection ends with this call.
        self.reusable = framing != Framing::Chunked;
        monoio::time::timeout(self.limits.body_time, read_call(&mut self.guard))
            .await
            .unwrap_or(Err(Fault::TooSlow))
    }

    /// Resolves when the caller has closed the connection or sent more than one waiting call.
    pub async fn closed(&mut self) {
        loop {
            if self.guard.has_unread() {
                // The caller has sent its next call and so is still there.
                std::future::pending::<()>().await;
            }
            match self.guard.fill().await {
                Err(_) | Ok(0) => return,
                Ok(_) => {}
            }
        }
    }

    /// Writes an answer.
    pub async fn answer(&mut self, answer: Answer) -> Result<()> {
        let mut response = http::Response::new(Payload::<Bytes, HttpError>::None);
        *response.status_mut() = answer.status;
        *response.headers_mut() = answer.headers;
        let headers = response.headers_mut();
        headers.remove(http::header::TRANSFER_ENCODING);
        headers.remove(http::header::CONTENT_LENGTH);
        if !self.reusable {
            headers.insert(http::header::CONNECTION, HeaderValue::from_static("close"));
        }
        if !answer.body.is_empty() {
            *response.body_mut() = Payload::Fixed(FixedPayload::new(answer.body));
        }
        self.encoder
            .send_and_flush(response)
            .await
            .map_err(|error| Error::Connection { reason: error.to_string() })
    }

    /// Makes the next answer the last one of the connection.
    pub fn close_after_answer(&mut self) {
        self.reusable = false;
    }

    /// Closes the connection.
    pub async fn close(&mut self) {
        let _ = Sink::<http::Response<Payload<Bytes, HttpError>>>::close(&mut self.encoder).await;
    }
}

async fn read_call(
    guard: &mut Guard<OwnedReadHalf<TcpStream>>,
) -> std::result::Result<Call, Fault> {
    let mut decoder = RequestDecoder::new(guard);
    let request = match decoder.next().await {
        Some(Ok(request)) => request,
        Some(Err(_)) | None => return Err(Fault::Framing),
    };
    decoder.fill_payload().await.map_err(|_| Fault::Truncated)?;
    let (parts, payload) = request.into_parts();
    let body = read_body(payload).await?;
    Ok(Call { method: parts.method, uri: parts.uri, headers: parts.headers, body })
}

/// Collects a body that the codec has read whole.
pub(super) async fn read_body(payload: Payload) -> std::result::Result<Bytes, Fault> {
    let mut body = HttpBody::from(payload);
    let mut bytes = BytesMut::new();
    while let Some(chunk) = body.next_data().await {
        bytes.extend_from_slice(&chunk.map_err(|_| Fault::Truncated)?);
    }
    Ok(bytes.freeze())
}
