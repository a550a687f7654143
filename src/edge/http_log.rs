//! The log over HTTP.

use super::log::{Log, Page};
use super::wire::{encode, AppendRequest, AppendResponse, ReadResponse};
use super::{Pending, Result};
use crate::connection::client::Client;
use crate::prelude::*;

/// Time added to a read's own wait before it counts as failed.
const READ_MARGIN: Duration = Duration::from_secs(2);

/// Adapter of the log's HTTP protocol.
pub struct HttpLog {
    appends: Client,
    reads: Client,
}

impl HttpLog {
    /// Creates an adapter; `timeout` bounds each append.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let reads = Client::new(address, timeout + READ_MARGIN);
        Self { appends: Client::new(address, timeout), reads }
    }
}

impl Log for HttpLog {
    fn append<'a>(&'a self, stream: &'a str, records: Vec<Bytes>) -> Pending<'a, u64> {
        Box::pin(async move {
            let request = AppendRequest { values: encode(&records) };
            let mut call = Call::new(Method::POST, path(&format!("/streams/{stream}"))?);
            call.body = serde_json::to_vec(&request).map_err(unexpected)?.into();
            let response: AppendResponse = parse(&self.appends.call(&call).await?)?;
            Ok(response.offset)
        })
    }

    fn read<'a>(&'a self, stream: &'a str, from: u64, wait: Duration) -> Pending<'a, Page> {
        Box::pin(async move {
            let wait = wait.as_millis();
            let uri = path(&format!("/streams/{stream}?from={from}&waitMs={wait}"))?;
            let answer = self.reads.call(&Call::new(Method::GET, uri)).await?;
            parse::<ReadResponse>(&answer)?.try_into()
        })
    }
}

fn path(text: &str) -> Result<Uri> {
    text.parse().map_err(|_| Error::Platform { reason: format!("`{text}` is not a path") })
}

fn unexpected(error: serde_json::Error) -> Error {
    Error::Platform { reason: error.to_string() }
}

/// Parses the JSON body of a successful answer.
pub(super) fn parse<T: serde::de::DeserializeOwned>(answer: &Answer) -> Result<T> {
    if answer.status != StatusCode::OK {
        return Err(Error::Platform { reason: format!("status `{}`", answer.status) });
    }
    serde_json::from_slice(&answer.body).map_err(unexpected)
}
