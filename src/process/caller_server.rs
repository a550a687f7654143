//! Accepts connections from callers and serves each of them in a task of its own.

use std::future::Future;
use std::pin::Pin;

use monoio::net::{TcpListener, TcpStream};

use super::shutdown::Shutdown;
use crate::connection::caller::CallerConnection;
use crate::connection::fault::Fault;
use crate::connection::header_filter::filter_call_headers;
use crate::connection::limits::Limits;
use crate::connection::memory_budget::MemoryBudget;
use crate::connection::tasks::Tasks;
use crate::prelude::*;

/// Connections above the limit that receive a response with the reason before they are closed.
/// Further connections are closed without a response.
const MAX_REFUSED_CONNECTIONS: usize = 64;
/// Delay after a failed accept, for example when no file descriptor is free.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);
/// The kernel's accept queue counts as empty when no connection arrives within this time.
const ACCEPT_QUEUE_TIMEOUT: Duration = Duration::from_millis(5);

/// Time after the accept for which a connection without a call stays open during a shutdown. A
/// caller that has just connected sends its first call one round trip later.
const FIRST_CALL_GRACE: Duration = Duration::from_millis(500);

/// Handles one call and returns its response.
pub type Handler = Rc<dyn Fn(Call) -> Pin<Box<dyn Future<Output = Answer>>>>;

/// The listener for callers and the connections accepted from it.
pub struct CallerServer {
    pub listener: TcpListener,
    /// Limits of each connection; a change also applies to open connections.
    pub limits: Rc<Cell<Limits>>,
    pub memory: Rc<MemoryBudget>,
    pub max_connections: usize,
    pub shutdown: Rc<Shutdown>,
    pub handler: Handler,
    /// Number of open connections, including those that are being refused.
    pub open_count: Rc<Cell<usize>>,
    pub tasks: Tasks,
}

impl CallerServer {
    /// Serves callers until a shutdown was requested and is complete.
    pub async fn serve(self) {
        monoio::select! {
            () = self.accept() => {}
            () = self.shutdown.requested() => {}
        }
        log::info!("shutdown requested; reporting not ready");
        let Some(period) = self.shutdown.grace_period() else { return };
        let delay = period.accept_end().saturating_duration_since(Instant::now());
        let _ = monoio::time::timeout(delay, self.accept()).await;
        self.drain_accept_queue(period.end()).await;
        let Self { listener, shutdown, tasks, .. } = self;
        drop(listener);
        shutdown.close_idle();
        let remaining = period.end().saturating_duration_since(Instant::now());
        if monoio::time::timeout(remaining, tasks.join()).await.is_err() {
            log::warn!(cut = shutdown.inflight(); "calls were cut by the shutdown");
            shutdown.set_aborting();
            tasks.stop();
            tasks.join().await;
        }
    }

    async fn accept(&self) {
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) => self.spawn_connection(stream),
                Err(error) => {
                    log::warn!("cannot accept a connection from a caller: {error}");
                    monoio::time::sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    /// Accepts the connections in the kernel's accept queue, as closing the listener would reset
    /// them.
    async fn drain_accept_queue(&self, end: Instant) {
        while let Ok(Ok((stream, _))) =
            monoio::time::timeout(ACCEPT_QUEUE_TIMEOUT, self.listener.accept()).await
        {
            self.spawn_connection(stream);
            if Instant::now() >= end {
                return;
            }
        }
    }

    fn spawn_connection(&self, stream: TcpStream) {
        let limit = self.max_connections;
        let open_before = self.open_count.get();
        if open_before >= limit + MAX_REFUSED_CONNECTIONS {
            return;
        }
        let guard = OpenConnection::new(self.open_count.clone());
        let connection = CallerConnection::with_limits(stream, self.limits.clone());
        let connection = connection.with_memory_budget(self.memory.clone());
        let (shutdown, handler) = (self.shutdown.clone(), self.handler.clone());
        self.tasks.spawn(async move {
            let _guard = guard;
            if open_before >= limit {
                refuse(connection, Code::NotReadyConnections).await;
            } else {
                serve_caller(&shutdown, &handler, connection).await;
            }
        });
    }
}

/// Counts a connection as open until the value is dropped.
struct OpenConnection {
    open_count: Rc<Cell<usize>>,
}

impl OpenConnection {
    fn new(open_count: Rc<Cell<usize>>) -> Self {
        open_count.set(open_count.get() + 1);
        Self { open_count }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.open_count.set(self.open_count.get() - 1);
    }
}

async fn serve_caller(shutdown: &Shutdown, handler: &Handler, mut connection: CallerConnection) {
    let accepted = Instant::now();
    let mut idle_until = accepted + FIRST_CALL_GRACE;
    while wait_for_call(shutdown, &mut connection, idle_until).await {
        idle_until = accepted;
        let _inflight = shutdown.track_call();
        let call = match read_call(&mut connection).await {
            Ok(call) => call,
            Err(fault) => match fault_code(fault) {
                Some(code) => return refuse(connection, code).await,
                None => return,
            },
        };
        let response = monoio::select! {
            biased;
            response = handler(call) => response,
            // The caller closed its connection. Dropping the handler closes the connection to the
            // target, which cancels the call there.
            () = connection.closed() => return,
        };
        if shutdown.is_requested() {
            connection.close_after_response();
        }
        if connection.write_response(response).await.is_err() {
            return;
        }
        if !connection.is_reusable() {
            return connection.close().await;
        }
    }
    // The idle connection is closed without a further read: a call that arrives just now would be
    // read and never answered, whereas the caller may safely retry a call that was not read.
}

/// Waits for the next call; returns `false` if the connection must be closed instead. During a
/// shutdown, an idle connection is closed at `idle_until` at the earliest.
async fn wait_for_call(
    shutdown: &Shutdown,
    connection: &mut CallerConnection,
    idle_until: Instant,
) -> bool {
    let idle_closing = async {
        shutdown.idle_closing().await;
        monoio::time::sleep(idle_until.saturating_duration_since(Instant::now())).await;
    };
    let first_byte = monoio::select! {
        biased;
        first_byte = connection.wait_readable() => Some(first_byte),
        () = idle_closing => None,
    };
    match first_byte {
        Some(first_byte) => first_byte.is_ok(),
        // A call that is already in the kernel's receive buffer is still served.
        None => connection.is_readable() && connection.wait_readable().await.is_ok(),
    }
}

async fn read_call(connection: &mut CallerConnection) -> Result<Call, Fault> {
    let mut call = connection.next_call().await?;
    filter_call_headers(&mut call.headers)?;
    Ok(call)
}

fn fault_code(fault: Fault) -> Option<Code> {
    match fault {
        Fault::BodyTooLarge => Some(Code::MalformedBody),
        Fault::Closed => None,
        Fault::Framing => Some(Code::MalformedFraming),
        Fault::HeadTooLarge => Some(Code::MalformedHead),
        Fault::NoMemory => Some(Code::NotReadyMemory),
        Fault::TooSlow => Some(Code::MalformedSlow),
        Fault::Truncated => Some(Code::MalformedTruncated),
    }
}

async fn refuse(mut connection: CallerConnection, code: Code) {
    connection.close_after_response();
    if connection.write_response(Answer::own(code)).await.is_ok() {
        connection.close().await;
    }
}
