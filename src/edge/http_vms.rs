//! The list of VMs over HTTP.

use super::http_log::parse;
use super::vms::{Vm, Vms};
use super::wire::VmEntry;
use super::Pending;
use crate::connection::client::Client;
use crate::prelude::*;

/// Adapter of the list's HTTP protocol.
pub struct HttpVms {
    client: Client,
}

impl HttpVms {
    /// Creates an adapter; `timeout` bounds each call.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { client: Client::new(address, timeout) }
    }
}

impl Vms for HttpVms {
    fn list(&self) -> Pending<'_, Vec<Vm>> {
        Box::pin(async move {
            let call = Call::new(Method::GET, Uri::from_static("/vms"));
            let entries: Vec<VmEntry> = parse(&self.client.call(&call).await?)?;
            Ok(entries.into_iter().map(Vm::from).collect())
        })
    }
}
