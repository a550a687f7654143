//! A small HTTP client for the platform's services and the tools.

use super::limits::Limits;
use super::target::TargetConnection;
use super::Result;
use crate::prelude::*;

/// Most idle connections that a client keeps.
const MAX_IDLE: usize = 4;

/// Calls one server, with connections kept between calls.
pub struct Client {
    address: SocketAddr,
    timeout: Duration,
    idle: RefCell<Vec<TargetConnection>>,
}

impl Client {
    /// Creates a client; `timeout` bounds each call.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { address, timeout, idle: RefCell::new(Vec::new()) }
    }

    /// Sends a call and reads its answer.
    pub async fn call(&self, call: &Call) -> Result<Answer> {
        monoio::time::timeout(self.timeout, self.exchange(call))
            .await
            .unwrap_or(Err(Error::PlatformTimeout))
    }

    async fn exchange(&self, call: &Call) -> Result<Answer> {
        let idle = self.idle.borrow_mut().pop();
        let mut connection = match idle {
            Some(connection) => connection,
            None => {
                TargetConnection::connect(self.address, self.timeout, Limits::for_answers()).await?
            }
        };
        let answer = connection
            .exchange(call)
            .await
            .map_err(|fault| Error::Connection { reason: format!("{fault:?}") })?;
        if connection.is_reusable() && self.idle.borrow().len() < MAX_IDLE {
            self.idle.borrow_mut().push(connection);
        }
        Ok(answer)
    }
}
