//! Connections to one target.

use std::collections::VecDeque;

use local_sync::oneshot;
use monoio::task::JoinHandle;

use crate::connection::limits::Limits;
use crate::connection::memory::Memory;
use crate::connection::target::TargetConnection;
use crate::prelude::*;

/// Time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Most connections that are being opened at a time, so that a restarted target is not flooded.
const MAX_OPENING: u32 = 2;

type Opened = super::Result<TargetConnection>;

/// Idle connections to one target, and a bound on all of them.
pub struct Pool {
    address: SocketAddr,
    /// Counts and bounds what targets send.
    memory: Rc<Memory>,
    limit: Cell<u32>,
    /// Connections that are open or being opened.
    open: Cell<u32>,
    opening: Cell<u32>,
    idle: RefCell<Vec<TargetConnection>>,
    waiting: RefCell<VecDeque<oneshot::Sender<Opened>>>,
    openers: RefCell<Vec<JoinHandle<()>>>,
}

impl Pool {
    /// Creates a pool of at most `limit` connections, whose answers are counted in `memory`.
    pub fn new(address: SocketAddr, limit: u32, memory: Rc<Memory>) -> Self {
        Self {
            address,
            memory,
            limit: Cell::new(limit),
            open: Cell::new(0),
            opening: Cell::new(0),
            idle: RefCell::default(),
            waiting: RefCell::default(),
            openers: RefCell::default(),
        }
    }

    /// Changes the bound; connections beyond it close when they are returned.
    pub fn set_limit(&self, limit: u32) {
        self.limit.set(limit);
    }

    /// Whether all connections that were opened are in use.
    pub fn is_exhausted(&self) -> bool {
        self.open.get() > 0 && self.idle.borrow().is_empty()
    }

    /// Number of connections that are open or being opened.
    pub fn open(&self) -> u32 {
        self.open.get()
    }

    /// Takes an idle connection, one that another call returns, or a new one.
    pub async fn take(self: &Rc<Self>) -> super::Result<PooledConnection> {
        if let Some(connection) = self.take_idle() {
            return Ok(PooledConnection { pool: self.clone(), connection: Some(connection) });
        }
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().push_back(sender);
        self.open_more();
        let mut receiver = Receiver { pool: self.clone(), receiver };
        let closed = || Error::Connection { reason: "the pool is closed".into() };
        let connection = (&mut receiver.receiver).await.unwrap_or_else(|_| Err(closed()))?;
        Ok(PooledConnection { pool: self.clone(), connection: Some(connection) })
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

    /// Opens connections for waiting calls, within the limits.
    fn open_more(self: &Rc<Self>) {
        self.waiting.borrow_mut().retain(|sender| !sender.is_closed());
        self.openers.borrow_mut().retain(|opener| !opener.is_finished());
        let waiting = self.waiting.borrow().len() as u32;
        while self.opening.get() < MAX_OPENING.min(waiting) && self.open.get() < self.limit.get() {
            self.open.set(self.open.get() + 1);
            self.opening.set(self.opening.get() + 1);
            let opener = monoio::spawn(self.clone().open_one());
            self.openers.borrow_mut().push(opener);
        }
    }

    /// Opens one connection in a task of its own, since a waiting call that takes a returned
    /// connection must not abort one that is being opened. It ends by its timeout.
    async fn open_one(self: Rc<Self>) {
        let limits = Limits::for_answers();
        let opened = TargetConnection::connect(self.address, CONNECT_TIMEOUT, limits).await;
        self.opening.set(self.opening.get() - 1);
        match opened {
            Ok(connection) => self.give(connection.count_in(self.memory.clone())),
            Err(error) => {
                self.open.set(self.open.get() - 1);
                self.fail(&error);
            }
        }
        self.open_more();
    }

    /// Hands a connection to a waiting call or keeps it.
    fn give(&self, mut connection: TargetConnection) {
        if self.open.get() > self.limit.get() {
            self.open.set(self.open.get() - 1);
            return;
        }
        loop {
            let waiting = self.waiting.borrow_mut().pop_front();
            let Some(sender) = waiting else { break };
            match sender.send(Ok(connection)) {
                Ok(()) => return,
                Err(Ok(returned)) => connection = returned,
                Err(Err(_)) => return,
            }
        }
        self.idle.borrow_mut().push(connection);
    }

    /// Fails all waiting calls, since further attempts would fail alike.
    fn fail(&self, error: &Error) {
        for sender in self.waiting.take() {
            let _ = sender.send(Err(Error::Connection { reason: error.to_string() }));
        }
    }
}

/// A call's wait for a connection; one that arrives as the call is given up goes on.
struct Receiver {
    pool: Rc<Pool>,
    receiver: oneshot::Receiver<Opened>,
}

impl Drop for Receiver {
    fn drop(&mut self) {
        self.receiver.close();
        if let Ok(Ok(connection)) = self.receiver.try_recv() {
            self.pool.give(connection);
        }
    }
}

/// A connection in use; dropping it returns a reusable connection to the pool.
pub struct PooledConnection {
    pool: Rc<Pool>,
    connection: Option<TargetConnection>,
}

impl PooledConnection {
    /// Whether the connection can carry a call.
    pub fn is_open(&self) -> bool {
        self.connection.as_ref().is_some_and(TargetConnection::is_open)
    }

    /// Whether the connection has not carried an answer yet.
    pub fn is_new(&self) -> bool {
        self.connection.as_ref().is_some_and(TargetConnection::is_new)
    }

    /// The pool of the connection.
    pub fn pool(&self) -> Rc<Pool> {
        self.pool.clone()
    }

    /// The connection.
    pub fn connection(&mut self) -> &mut TargetConnection {
        self.connection.as_mut().expect("a lease is given out with a connection")
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        match self.connection.take() {
            Some(connection) if connection.is_reusable() => self.pool.give(connection),
            Some(_) | None => {
                self.pool.open.set(self.pool.open.get() - 1);
                self.pool.open_more();
            }
        }
    }
}
