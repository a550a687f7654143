//! Connections from callers, one task for each.

use std::future::Future;
use std::pin::Pin;

use monoio::net::{TcpListener, TcpStream};

use super::shutdown::Shutdown;
use crate::connection::caller::CallerConnection;
use crate::connection::fault::Fault;
use crate::connection::forward::clean_call;
use crate::connection::limits::Limits;
use crate::connection::memory::Memory;
use crate::connection::tasks::Tasks;
use crate::prelude::*;

/// Connections beyond the limit that are told so before they are closed.
const REFUSAL_ROOM: usize = 64;
/// Pause after a failed accept, for example without a free descriptor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Time without a new connection after which the listener's queue counts as empty.
const QUEUE_TIME: Duration = Duration::from_millis(5);

/// Answers one call.
pub type Handler = Rc<dyn Fn(Call) -> Pin<Box<dyn Future<Output = Answer>>>>;

/// The listener for callers and its connections.
pub struct Callers {
    pub listener: TcpListener,
    /// Bounds of the connections, which may change.
    pub limits: Rc<Cell<Limits>>,
    pub memory: Rc<Memory>,
    pub max_connections: usize,
    /// Time from the request of a shutdown to the end of the listener.
    pub delay: Duration,
    /// Time from the request of a shutdown to the cut of the calls that are still in flight.
    pub limit: Duration,
    pub shutdown: Rc<Shutdown>,
    pub handler: Handler,
    pub open: Rc<Cell<usize>>,
    pub tasks: Tasks,
}

impl Callers {
    /// Serves until a requested shutdown is complete.
    pub async fn serve(self) {
        monoio::select! {
            () = self.accept() => {}
            () = self.shutdown.requested() => {}
        }
        let end = Instant::now() + self.limit;
        log::info!("not ready: shutting down");
        let _ = monoio::time::timeout(self.delay, self.accept()).await;
        self.empty_queue(end).await;
        let Self { listener, shutdown, tasks, .. } = self;
        drop(listener);
        shutdown.close_idle();
        let left = end.saturating_duration_since(Instant::now());
        if monoio::time::timeout(left, tasks.join()).await.is_err() {
            log::warn!(cut = shutdown.inflight(); "calls were cut by the shutdown");
            tasks.stop();
            tasks.join().await;
        }
    }

    async fn accept(&self) {
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) => self.start(stream),
                Err(error) => {
                    log::warn!("cannot accept a caller: {error}");
                    monoio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Accepts what the kernel has queued; it would be reset with the end of the listener.
    async fn empty_queue(&self, end: Instant) {
        while let Ok(Ok((stream, _))) =
            monoio::time::timeout(QUEUE_TIME, self.listener.accept()).await
        {
            self.start(stream);
            if Instant::now() >= end {
                return;
            }
        }
    }

    fn start(&self, stream: TcpStream) {
        let limit = self.max_connections;
        let count = self.open.get();
        if count >= limit + REFUSAL_ROOM {
            return;
        }
        let place = Place::new(self.open.clone());
        let connection = CallerConnection::with_limits(stream, self.limits.clone());
        let connection = connection.count_in(self.memory.clone());
        let (shutdown, handler) = (self.shutdown.clone(), self.handler.clone());
        self.tasks.spawn(async move {
            let _place = place;
            if count >= limit {
                refuse(connection, Code::NotReadyConnections).await;
            } else {
                serve_caller(&shutdown, &handler, connection).await;
            }
        });
    }
}

/// A connection's place under the limit.
struct Place {
    open: Rc<Cell<usize>>,
}

impl Place {
    fn new(open: Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self { open }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
    }
}

async fn serve_caller(shutdown: &Shutdown, handler: &Handler, mut connection: CallerConnection) {
    while wait_for_call(shutdown, &mut connection).await {
        let _inflight = shutdown.call();
        let call = match read_call(&mut connection).await {
            Ok(call) => call,
            Err(fault) => match fault_code(fault) {
                Some(code) => return refuse(connection, code).await,
                None => return,
            },
        };
        let answer = monoio::select! {
            biased;
            answer = handler(call) => answer,
            // Dropping the dispatch closes the connection to the target.
            () = connection.closed() => return,
        };
        if shutdown.is_requested() {
            connection.close_after_answer();
        }
        if connection.answer(answer).await.is_err() {
            return;
        }
        if !connection.is_reusable() {
            return connection.close().await;
        }
    }
    // An idle connection ends at once. Reading on would take a call that crosses the end and
    // leave it without an answer; a call that was not read may be sent again.
}

/// Waits for the next call; returns whether its first byte has arrived.
async fn wait_for_call(shutdown: &Shutdown, connection: &mut CallerConnection) -> bool {
    let first = monoio::select! {
        biased;
        first = connection.idle() => Some(first),
        () = shutdown.closing() => None,
    };
    match first {
        Some(first) => first.is_ok(),
        // A call that has reached the kernel before the connection is closed is still served.
        None => connection.has_waiting() && connection.idle().await.is_ok(),
    }
}

async fn read_call(connection: &mut CallerConnection) -> Result<Call, Fault> {
    let mut call = connection.next().await?;
    clean_call(&mut call.headers)?;
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
    connection.close_after_answer();
    if connection.answer(Answer::own(code)).await.is_ok() {
        connection.close().await;
    }
}
