//! Connections between entries, and the messages on them: a length in four bytes, big-endian, and a
//! postcard value.

use monoio::io::{AsyncReadRent, AsyncReadRentExt};
use monoio::net::TcpStream;
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::prelude::*;

type Result<T> = std::result::Result<T, Error>;

/// Size of the length prefix.
pub const LENGTH_BYTES: usize = 4;
/// Longest wait for a connection to another entry.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Connects to another entry; none after a failure or a timeout.
pub async fn connect(address: SocketAddr) -> Option<TcpStream> {
    let connect = TcpStream::connect_addr(address);
    let stream = monoio::time::timeout(CONNECT_TIMEOUT, connect).await.ok()?.ok()?;
    let _ = stream.set_nodelay(true);
    Some(stream)
}

/// Encodes a message with its length prefix.
pub fn encode(message: &impl Serialize) -> Bytes {
    let body = postcard::to_stdvec(message).expect("wire types have no failing serializer");
    let mut frame = BytesMut::with_capacity(LENGTH_BYTES + body.len());
    frame.extend_from_slice(&(body.len() as u32).to_be_bytes());
    frame.extend_from_slice(&body);
    frame.freeze()
}

/// Parses a message without its length prefix.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    postcard::from_bytes(body).map_err(malformed)
}

/// Reads a message of at most `max_bytes` from a stream.
pub async fn read<T: DeserializeOwned>(
    stream: &mut impl AsyncReadRent,
    max_bytes: usize,
) -> Result<T> {
    let (result, length) = stream.read_exact(vec![0; LENGTH_BYTES]).await;
    result.map_err(malformed)?;
    let length: [u8; LENGTH_BYTES] =
        length.try_into().map_err(|_| malformed("length prefix is incomplete"))?;
    let length = u32::from_be_bytes(length) as usize;
    check_length(length, max_bytes)?;
    let (result, body) = stream.read_exact(vec![0; length]).await;
    result.map_err(malformed)?;
    decode(&body)
}

/// Checks a length that another entry states, before as many bytes are allocated.
pub fn check_length(length: usize, max_bytes: usize) -> Result<()> {
    match length > max_bytes {
        true => Err(malformed(format!("length {length} exceeds the limit of {max_bytes} bytes"))),
        false => Ok(()),
    }
}

pub fn malformed(reason: impl ToString) -> Error {
    Error::Malformed { reason: reason.to_string() }
}
