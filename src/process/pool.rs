//! Connections to one target.

use crate::connection::limits::Limits;
use crate::connection::target::TargetConnection;
use crate::prelude::*;

/// Time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Idle connections to one target, and a bound on all of them.
pub struct Pool {
    address: SocketAddr,
    limit: u32,
    open: Cell<u32>,
    idle: RefCell<Vec<TargetConnection>>,
}

impl Pool {
    /// Creates a pool of at most `limit` connections.
    pub fn new(address: SocketAddr, limit: u32) -> Self {
        Self { address, limit, open: Cell::new(0), idle: RefCell::default() }
    }

    /// Takes an idle connection or opens one.
    pub async fn take(self: &Rc<Self>) -> super::Result<Lease> {
        if let Some(connection) = self.take_idle() {
            return Ok(Lease { pool: self.clone(), connection: Some(connection) });
        }
        if self.open.get() >= self.limit {
            return Err(Error::Connection { reason: "no connection is free".into() });
        }
        self.open.set(self.open.get() + 1);
        // The lease gives the place back if the connection cannot be opened.
        let mut lease = Lease { pool: self.clone(), connection: None };
        let limits = Limits::for_answers();
        let opened = TargetConnection::connect(self.address, CONNECT_TIMEOUT, limits).await?;
        lease.connection = Some(opened);
        Ok(lease)
    }

    /// Takes an idle connection, dropping those that the target has closed.
    fn take_idle(&self) -> Option<TargetConnection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(connection) = idle.pop() {
            if connection.is_open() {
                return Some(connection);
            }
            self.open.set(self.open.get() - 1);
        }
        None
    }
}

/// A connection in use; dropping it returns a reusable connection to the pool.
pub struct Lease {
    pool: Rc<Pool>,
    connection: Option<TargetConnection>,
}

impl Lease {
    /// The connection.
    pub fn connection(&mut self) -> &mut TargetConnection {
        self.connection.as_mut().expect("a lease is given out with a connection")
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        match self.connection.take() {
            Some(connection) if connection.is_reusable() => {
                self.pool.idle.borrow_mut().push(connection);
            }
            Some(_) | None => self.pool.open.set(self.pool.open.get() - 1),
        }
    }
}
