//! HTTP client of the platform's list of VMs.

use super::http_log::parse_response;
use super::vms::{Vm, Vms};
use super::wire::VmEntry;
use super::PlatformFuture;
use crate::connection::client::Client;
use crate::prelude::*;

/// Reads the list of VMs by its HTTP protocol.
pub struct HttpVms {
    client: Client,
}

impl HttpVms {
    /// Creates a client; `timeout` limits each call.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { client: Client::new(address, timeout) }
    }
}

impl Vms for HttpVms {
    fn list(&self) -> PlatformFuture<'_, Vec<Vm>> {
        Box::pin(async move {
            let call = Call::new(Method::GET, Uri::from_static("/vms"));
            let entries: Vec<VmEntry> = parse_response(&self.client.call(&call).await?)?;
            Ok(entries.into_iter().map(Vm::from).collect())
        })
    }
}
