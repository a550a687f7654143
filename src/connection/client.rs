//! A minimal HTTP client for the platform's services and the command-line tools.

use super::fault::ExchangeError;
use super::limits::Limits;
use super::target::TargetConnection;
use super::Result;
use crate::prelude::*;

/// Most idle connections that a client keeps open.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// Calls one server and reuses its connections.
pub struct Client {
    address: SocketAddr,
    timeout: Duration,
    idle: RefCell<Vec<TargetConnection>>,
}

impl Client {
    /// Creates a client; `timeout` limits each call.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { address, timeout, idle: RefCell::new(Vec::new()) }
    }

    /// Sends a call and reads its response.
    pub async fn call(&self, call: &Call) -> Result<Answer> {
        self.call_with_timeout(call, self.timeout).await
    }

    /// Like `call`, with another timeout.
    pub async fn call_with_timeout(&self, call: &Call, timeout: Duration) -> Result<Answer> {
        monoio::time::timeout(timeout, self.exchange(call))
            .await
            .unwrap_or(Err(Error::PlatformTimeout))
    }

    async fn exchange(&self, call: &Call) -> Result<Answer> {
        loop {
            let idle = self.take_idle();
            let is_new = idle.is_none();
            let mut connection = match idle {
                Some(connection) => connection,
                None => self.connect().await?,
            };
            match connection.exchange(call).await {
                Ok(response) => {
                    self.put_idle(connection);
                    return Ok(response);
                }
                // The server closed the idle connection before a byte of the call was sent: retry.
                Err(ExchangeError { maybe_sent: false, .. }) if !is_new => {}
                Err(error) => {
                    return Err(Error::Connection { reason: format!("{:?}", error.fault) });
                }
            }
        }
    }

    async fn connect(&self) -> Result<TargetConnection> {
        TargetConnection::connect(self.address, self.timeout, Limits::for_responses()).await
    }

    fn take_idle(&self) -> Option<TargetConnection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(connection) = idle.pop() {
            if connection.is_open() {
                return Some(connection);
            }
        }
        None
    }

    fn put_idle(&self, connection: TargetConnection) {
        let mut idle = self.idle.borrow_mut();
        if connection.is_reusable() && idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }
}
