//! Connection pool of one target.

use std::collections::VecDeque;

use local_sync::oneshot;
use monoio::task::JoinHandle;

use crate::connection::limits::Limits;
use crate::connection::memory_budget::MemoryBudget;
use crate::connection::target::TargetConnection;
use crate::prelude::*;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Limit on connections that are being opened at a time, so that a restarted target is not flooded.
const MAX_CONCURRENT_CONNECTS: u32 = 2;

type ConnectResult = super::Result<TargetConnection>;

/// Keeps idle connections to one target for reuse, and limits the number of its connections.
pub struct Pool {
    address: SocketAddr,
    /// Counts and limits the memory of responses from targets.
    memory: Rc<MemoryBudget>,
    limit: Cell<u32>,
    /// Whether the target must get no further calls.
    is_closed: Cell<bool>,
    /// Number of connections that are open or being opened.
    open_count: Cell<u32>,
    opening_count: Cell<u32>,
    idle: RefCell<Vec<TargetConnection>>,
    waiters: RefCell<VecDeque<oneshot::Sender<ConnectResult>>>,
    connect_tasks: RefCell<Vec<JoinHandle<()>>>,
}

impl Pool {
    /// Creates a pool of at most `limit` connections, whose responses are counted in `memory`.
    pub fn new(address: SocketAddr, limit: u32, memory: Rc<MemoryBudget>) -> Self {
        Self {
            address,
            memory,
            limit: Cell::new(limit),
            is_closed: Cell::new(false),
            open_count: Cell::new(0),
            opening_count: Cell::new(0),
            idle: RefCell::default(),
            waiters: RefCell::default(),
            connect_tasks: RefCell::default(),
        }
    }

    /// Changes the limit; connections beyond it are closed when they are returned to the pool.
    pub fn set_limit(&self, limit: u32) {
        self.limit.set(limit);
    }

    /// Closes the idle connections and, once their calls have ended, the others. Waiting calls get an
    /// error, and so do later ones.
    pub fn close(&self) {
        self.is_closed.set(true);
        let idle = self.idle.take();
        self.open_count.set(self.open_count.get() - idle.len() as u32);
        self.fail_waiters(&closed());
    }

    /// Whether the pool has connections and none of them is idle.
    pub fn is_exhausted(&self) -> bool {
        self.open_count.get() > 0 && self.idle.borrow().is_empty()
    }

    /// Number of connections that are open or being opened.
    pub fn open_count(&self) -> u32 {
        self.open_count.get()
    }

    /// Takes an idle connection, or waits for one that is returned or newly opened.
    pub async fn take(self: &Rc<Self>) -> super::Result<PooledConnection> {
        if self.is_closed.get() {
            return Err(closed());
        }
        if let Some(connection) = self.take_idle() {
            return Ok(PooledConnection { pool: self.clone(), connection: Some(connection) });
        }
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().push_back(sender);
        self.start_connects();
        let mut waiter = ConnectionWaiter { pool: self.clone(), receiver };
        let connection = (&mut waiter.receiver).await.unwrap_or_else(|_| Err(closed()))?;
        Ok(PooledConnection { pool: self.clone(), connection: Some(connection) })
    }

    /// Takes an idle connection and drops those that the target has closed.
    fn take_idle(&self) -> Option<TargetConnection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(connection) = idle.pop() {
            if connection.is_open() {
                return Some(connection);
            }
            self.open_count.set(self.open_count.get() - 1);
        }
        None
    }

    /// Starts to open connections for waiting calls, within the limits.
    fn start_connects(self: &Rc<Self>) {
        self.waiters.borrow_mut().retain(|sender| !sender.is_closed());
        self.connect_tasks.borrow_mut().retain(|task| !task.is_finished());
        let waiting_count = self.waiters.borrow().len() as u32;
        while self.opening_count.get() < MAX_CONCURRENT_CONNECTS.min(waiting_count)
            && self.open_count.get() < self.limit.get()
        {
            self.open_count.set(self.open_count.get() + 1);
            self.opening_count.set(self.opening_count.get() + 1);
            let task = monoio::spawn(self.clone().connect_one());
            self.connect_tasks.borrow_mut().push(task);
        }
    }

    /// Opens one connection. This runs in a task of its own, since a waiting call that gets a
    /// returned connection must not abort the one that is being opened; the timeout ends it.
    async fn connect_one(self: Rc<Self>) {
        let limits = Limits::for_responses();
        let result = TargetConnection::connect(self.address, CONNECT_TIMEOUT, limits).await;
        self.opening_count.set(self.opening_count.get() - 1);
        match result {
            Ok(connection) => self.release(connection.with_memory_budget(self.memory.clone())),
            Err(error) => {
                self.open_count.set(self.open_count.get() - 1);
                self.fail_waiters(&error);
            }
        }
        self.start_connects();
    }

    /// Passes a connection to a waiting call, or keeps it idle; closes it if the pool is over its
    /// limit.
    fn release(&self, mut connection: TargetConnection) {
        if self.is_closed.get() || self.open_count.get() > self.limit.get() {
            self.open_count.set(self.open_count.get() - 1);
            return;
        }
        loop {
            let next = self.waiters.borrow_mut().pop_front();
            let Some(sender) = next else { break };
            match sender.send(Ok(connection)) {
                Ok(()) => return,
                Err(Ok(returned)) => connection = returned,
                Err(Err(_)) => return,
            }
        }
        self.idle.borrow_mut().push(connection);
    }

    /// Fails all waiting calls, since another connect would most likely fail in the same way.
    fn fail_waiters(&self, error: &Error) {
        for sender in self.waiters.take() {
            let _ = sender.send(Err(Error::Connection { reason: error.to_string() }));
        }
    }
}

fn closed() -> Error {
    Error::Connection { reason: "the pool is closed".into() }
}

/// A call that waits for a connection; a connection that arrives while the call is being cancelled
/// goes back to the pool.
struct ConnectionWaiter {
    pool: Rc<Pool>,
    receiver: oneshot::Receiver<ConnectResult>,
}

impl Drop for ConnectionWaiter {
    fn drop(&mut self) {
        self.receiver.close();
        if let Ok(Ok(connection)) = self.receiver.try_recv() {
            self.pool.release(connection);
        }
    }
}

/// A connection in use; dropping it returns the connection to the pool if it can be reused.
pub struct PooledConnection {
    pool: Rc<Pool>,
    connection: Option<TargetConnection>,
}

impl PooledConnection {
    /// Whether the connection can carry a call.
    pub fn is_open(&self) -> bool {
        self.connection.as_ref().is_some_and(TargetConnection::is_open)
    }

    /// Whether the connection has not carried a response yet.
    pub fn is_new(&self) -> bool {
        self.connection.as_ref().is_some_and(TargetConnection::is_new)
    }

    pub fn pool(&self) -> Rc<Pool> {
        self.pool.clone()
    }

    pub fn connection(&mut self) -> &mut TargetConnection {
        self.connection.as_mut().expect("a pooled connection is kept until it is dropped")
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        match self.connection.take() {
            Some(connection) if connection.is_reusable() => self.pool.release(connection),
            Some(_) | None => {
                self.pool.open_count.set(self.pool.open_count.get() - 1);
                self.pool.start_connects();
            }
        }
    }
}
