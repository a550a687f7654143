//! HTTP client of the platform's log.

use super::log::{Log, Page};
use super::wire::{encode, AppendRequest, AppendResponse, ReadResponse};
use super::{PlatformFuture, Result};
use crate::connection::client::Client;
use crate::prelude::*;

/// Added to the append timeout for reads, which wait in the log for new records.
const READ_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);

/// Accesses the log by its HTTP protocol, with separate connections for appends and reads.
pub struct HttpLog {
    appends: Client,
    reads: Client,
}

impl HttpLog {
    /// Creates a client; `timeout` limits each append.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let reads = Client::new(address, timeout + READ_TIMEOUT_MARGIN);
        Self { appends: Client::new(address, timeout), reads }
    }
}

impl Log for HttpLog {
    fn append<'a>(&'a self, stream: &'a str, records: Vec<Bytes>) -> PlatformFuture<'a, u64> {
        Box::pin(async move {
            let request = AppendRequest { values: encode(&records) };
            let mut call = Call::new(Method::POST, parse_uri(&format!("/streams/{stream}"))?);
            call.body = serde_json::to_vec(&request).map_err(platform_error)?.into();
            let response: AppendResponse = parse_response(&self.appends.call(&call).await?)?;
            Ok(response.offset)
        })
    }

    fn read<'a>(&'a self, stream: &'a str, from: u64, wait: Duration) -> PlatformFuture<'a, Page> {
        Box::pin(async move {
            let wait = wait.as_millis();
            let uri = parse_uri(&format!("/streams/{stream}?from={from}&waitMs={wait}"))?;
            let response = self.reads.call(&Call::new(Method::GET, uri)).await?;
            parse_response::<ReadResponse>(&response)?.try_into()
        })
    }
}

fn parse_uri(text: &str) -> Result<Uri> {
    text.parse().map_err(|_| Error::Platform { reason: format!("`{text}` is not a valid path") })
}

fn platform_error(error: serde_json::Error) -> Error {
    Error::Platform { reason: error.to_string() }
}

/// Parses the JSON body of a response; a status other than 200 is an error.
pub(super) fn parse_response<T: serde::de::DeserializeOwned>(response: &Answer) -> Result<T> {
    if response.status != StatusCode::OK {
        return Err(Error::Platform { reason: format!("status `{}`", response.status) });
    }
    serde_json::from_slice(&response.body).map_err(platform_error)
}
