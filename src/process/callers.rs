//! Connections from callers, one task for each.

use monoio::net::{TcpListener, TcpStream};

use super::entry::Entry;
use crate::connection::caller::CallerConnection;
use crate::connection::fault::Fault;
use crate::connection::forward::clean_call;
use crate::connection::limits::Limits;
use crate::connection::memory::Memory;
use crate::connection::tasks::Tasks;
use crate::prelude::*;
use crate::request::dispatch;

/// Connections beyond the limit that are told so before they are closed.
const REFUSAL_ROOM: usize = 64;
/// Pause after a failed accept, for example without a free descriptor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Time without a new connection after which the listener's queue counts as empty.
const QUEUE_TIME: Duration = Duration::from_millis(5);

/// The listener for callers and its connections.
pub struct Callers {
    entry: Rc<Entry>,
    limits: Limits,
    listener: TcpListener,
    memory: Rc<Memory>,
    open: Rc<Cell<usize>>,
    tasks: Tasks,
}

impl Callers {
    /// Creates the state for a bound listener.
    pub fn new(entry: Rc<Entry>, listener: TcpListener) -> Self {
        let limits = Limits::from(&entry.settings.callers);
        let memory = Rc::new(Memory::new(entry.settings.callers.memory_limit));
        Self { entry, limits, listener, memory, open: Rc::default(), tasks: Tasks::default() }
    }

    /// Serves until a requested shutdown is complete.
    pub async fn serve(self) {
        monoio::select! {
            () = self.accept() => {}
            () = self.entry.shutdown.requested() => {}
        }
        let settings = &self.entry.settings.shutdown;
        let end = Instant::now() + Duration::from_millis(settings.limit_ms);
        log::info!("not ready: shutting down");
        let delay = Duration::from_millis(settings.delay_ms);
        let _ = monoio::time::timeout(delay, self.accept()).await;
        self.empty_queue(end).await;
        let Self { entry, listener, tasks, .. } = self;
        drop(listener);
        entry.shutdown.close_idle();
        let left = end.saturating_duration_since(Instant::now());
        if monoio::time::timeout(left, tasks.join()).await.is_err() {
            log::warn!(cut = entry.shutdown.inflight(); "calls were cut by the shutdown");
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
        let limit = self.entry.settings.callers.max_connections;
        let count = self.open.get();
        if count >= limit + REFUSAL_ROOM {
            return;
        }
        let place = Place::new(self.open.clone());
        let connection = CallerConnection::new(stream, self.limits);
        let connection = connection.count_in(self.memory.clone());
        let entry = self.entry.clone();
        self.tasks.spawn(async move {
            let _place = place;
            if count >= limit {
                refuse(connection, Code::NotReadyConnections).await;
            } else {
                serve_caller(&entry, connection).await;
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

async fn serve_caller(entry: &Entry, mut connection: CallerConnection) {
    while wait_for_call(entry, &mut connection).await {
        let _inflight = entry.shutdown.call();
        let call = match read_call(&mut connection).await {
            Ok(call) => call,
            Err(fault) => match fault_code(fault) {
                Some(code) => return refuse(connection, code).await,
                None => return,
            },
        };
        let answer = monoio::select! {
            biased;
            answer = dispatch::dispatch(entry, call) => answer,
            // Dropping the dispatch closes the connection to the target.
            () = connection.closed() => return,
        };
        if entry.shutdown.is_requested() {
            connection.close_after_answer();
        }
        if connection.answer(answer).await.is_err() {
            return;
        }
    }
    connection.close().await;
}

/// Waits for the next call; returns whether its first byte has arrived.
async fn wait_for_call(entry: &Entry, connection: &mut CallerConnection) -> bool {
    let first = monoio::select! {
        biased;
        first = connection.idle() => Some(first),
        () = entry.shutdown.closing() => None,
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
