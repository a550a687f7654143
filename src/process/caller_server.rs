//! Accepts connections from callers and serves each of them in a task of its own.

use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};

use monoio::net::{TcpListener, TcpStream};

use super::pipeline::Pipeline;
use super::running_call::{Overlap, ReadyResponse, RunningCall};
use super::shutdown::{InFlight, Shutdown};
use crate::connection::caller::{CallerConnection, ReceiveEvent};
use crate::connection::fault::Fault;
use crate::connection::header_filter::filter_call_headers;
use crate::connection::limits::Limits;
use crate::connection::memory_budget::MemoryBudget;
use crate::connection::received_call::{Receipt, ReceivedCall, RejectedCall};
use crate::connection::tasks::Tasks;
use crate::prelude::*;

/// Connections above the limit that receive a response with the reason before they are closed.
/// Further connections are closed without a response.
const MAX_REFUSED_CONNECTIONS: usize = 64;
/// Delay after a failed accept, for example when no file descriptor is free.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);
/// The kernel's accept queue counts as empty when no connection arrives within this time.
const ACCEPT_QUEUE_TIMEOUT: Duration = Duration::from_millis(5);

/// Time at the end of a shutdown for the responses to the calls that are still in flight.
const LAST_RESPONSE_TIMEOUT: Duration = Duration::from_millis(100);

/// Time after the accept for which a connection without a call stays open during a shutdown. A
/// caller that has just connected sends its first call one round trip later.
const FIRST_CALL_GRACE: Duration = Duration::from_millis(500);

/// Handles one call and returns its response.
pub type Handler = Rc<dyn Fn(Call) -> Pin<Box<dyn Future<Output = Answer>>>>;

/// Whether a call may run beside others of its connection.
pub type OverlapRule = Rc<dyn Fn(&Call) -> Overlap>;

/// How the calls of all connections are handled.
#[derive(Clone)]
pub struct CallService {
    pub shutdown: Rc<Shutdown>,
    /// Bytes of the calls, and of responses that wait for those ahead of them.
    pub memory: Rc<MemoryBudget>,
    pub handler: Handler,
    pub overlap: OverlapRule,
    /// Counts a call that starts while another one of its connection is not answered yet.
    pub count_pipelined: Rc<dyn Fn()>,
}

/// The listener for callers and the connections accepted from it.
pub struct CallerServer {
    pub listener: TcpListener,
    /// Limits of each connection; a change also applies to open connections.
    pub limits: Rc<Cell<Limits>>,
    pub max_connections: usize,
    pub service: CallService,
    /// Number of open connections, including those that are being refused.
    pub open_count: Rc<Cell<usize>>,
    pub tasks: Tasks,
}

impl CallerServer {
    /// Serves callers until a shutdown was requested and is complete.
    pub async fn serve(self) {
        monoio::select! {
            () = self.accept() => {}
            () = self.service.shutdown.requested() => {}
        }
        log::info!("shutdown requested; reporting not ready");
        let Some(period) = self.service.shutdown.grace_period() else { return };
        let delay = period.accept_end().saturating_duration_since(Instant::now());
        let _ = monoio::time::timeout(delay, self.accept()).await;
        self.drain_accept_queue(period.end()).await;
        let Self { listener, service, tasks, .. } = self;
        let shutdown = service.shutdown;
        drop(listener);
        shutdown.close_idle();
        let remaining = period.end().saturating_duration_since(Instant::now());
        if monoio::time::timeout(remaining, tasks.join()).await.is_ok() {
            return;
        }
        shutdown.expire_calls();
        if monoio::time::timeout(LAST_RESPONSE_TIMEOUT, tasks.join()).await.is_err() {
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
        let connection = connection.with_memory_budget(self.service.memory.clone());
        let service = self.service.clone();
        self.tasks.spawn(async move {
            let _guard = guard;
            if open_before >= limit {
                refuse(connection, Code::NotReadyConnections, Receipt::default()).await;
            } else {
                serve_caller(&service, connection).await;
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

/// How the service of a connection's calls ended.
enum ServiceEnd {
    /// All calls are answered, and the connection may carry further ones.
    Answered,
    /// The last response was written.
    Closing,
    /// The calls ahead are answered, and this one is malformed.
    Rejected(RejectedCall),
    /// The caller is gone.
    Disconnected,
}

/// A call that was read while calls ahead of it run, and must wait until they are answered.
type WaitingCall = Result<ReceivedCall, RejectedCall>;

async fn serve_caller(service: &CallService, mut connection: CallerConnection) {
    let accepted = Instant::now();
    let mut idle_until = accepted + FIRST_CALL_GRACE;
    while wait_for_call(&service.shutdown, &mut connection, idle_until).await {
        idle_until = accepted;
        match serve_calls(service, &mut connection).await {
            ServiceEnd::Answered => {}
            ServiceEnd::Closing => return connection.close().await,
            ServiceEnd::Rejected(rejected) => return reject(service, connection, rejected).await,
            // Dropping the handlers has closed their connections to targets, which cancels the calls
            // there.
            ServiceEnd::Disconnected => return,
        }
    }
    // The idle connection is closed without a further read: a call that arrives just now would be
    // read and never answered, whereas the caller may safely retry a call that was not read.
}

/// Reads a call and serves it, with those that the caller sends before it is answered.
async fn serve_calls(service: &CallService, connection: &mut CallerConnection) -> ServiceEnd {
    let mut pipeline = Pipeline::new(service.memory.clone());
    let inflight = service.shutdown.track_call();
    match read_call(connection).await {
        Ok(received) => start(service, &mut pipeline, received, inflight),
        Err(rejected) => return ServiceEnd::Rejected(rejected),
    }
    let mut waiting: Option<WaitingCall> = None;
    loop {
        if waiting.is_none() {
            waiting = start_buffered_calls(service, connection, &mut pipeline).await;
        }
        let ready = monoio::select! {
            biased;
            ready = pipeline.next_response() => ready,
            event = connection.receive() => match event {
                ReceiveEvent::Received => continue,
                ReceiveEvent::Closed => return ServiceEnd::Disconnected,
            },
        };
        match write_response(service, connection, &mut pipeline, ready).await {
            ServiceEnd::Answered if pipeline.is_empty() => {}
            ServiceEnd::Answered => continue,
            end => return end,
        }
        match waiting.take() {
            Some(Ok(received)) => {
                start(service, &mut pipeline, received, service.shutdown.track_call());
            }
            Some(Err(rejected)) => return ServiceEnd::Rejected(rejected),
            None => return ServiceEnd::Answered,
        }
    }
}

/// Writes a response while the calls behind it continue to run.
async fn write_response(
    service: &CallService,
    connection: &mut CallerConnection,
    pipeline: &mut Pipeline<CallState<'_>>,
    ready: ReadyResponse<CallState<'_>>,
) -> ServiceEnd {
    let (mut receipt, _inflight) = ready.state;
    receipt.is_last |= service.shutdown.is_requested() && pipeline.is_empty();
    let is_last = receipt.is_last;
    let mut write = pin!(connection.write_response(ready.response, receipt));
    let written = poll_fn(|context| {
        pipeline.poll_waiting(context);
        write.as_mut().poll(context)
    });
    match written.await {
        Ok(()) if is_last => ServiceEnd::Closing,
        Ok(()) => ServiceEnd::Answered,
        Err(_) => ServiceEnd::Disconnected,
    }
}

/// Starts the calls that are in the buffer as a whole and may run beside those ahead of them;
/// returns the first one that may not.
async fn start_buffered_calls<'a>(
    service: &'a CallService,
    connection: &mut CallerConnection,
    pipeline: &mut Pipeline<CallState<'a>>,
) -> Option<WaitingCall> {
    while pipeline.has_room() && !service.shutdown.is_requested() && connection.has_whole_call() {
        let received = match read_call(connection).await {
            Ok(received) => received,
            Err(rejected) => return Some(Err(rejected)),
        };
        if !pipeline.may_start((service.overlap)(&received.call)) {
            return Some(Ok(received));
        }
        (service.count_pipelined)();
        start(service, pipeline, received, service.shutdown.track_call());
    }
    None
}

/// What is kept for the response to a call.
type CallState<'a> = (Receipt, InFlight<'a>);

fn start<'a>(
    service: &CallService,
    pipeline: &mut Pipeline<CallState<'a>>,
    received: ReceivedCall,
    inflight: InFlight<'a>,
) {
    let ReceivedCall { call, receipt } = received;
    let overlap = (service.overlap)(&call);
    pipeline.start(RunningCall::new((service.handler)(call), overlap, (receipt, inflight)));
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

async fn read_call(connection: &mut CallerConnection) -> Result<ReceivedCall, RejectedCall> {
    let mut received = connection.next_call().await?;
    match filter_call_headers(&mut received.call.headers) {
        Ok(()) => Ok(received),
        Err(fault) => Err(RejectedCall { fault, receipt: received.receipt }),
    }
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

/// Responds to a malformed call, unless the connection has ended.
async fn reject(service: &CallService, connection: CallerConnection, rejected: RejectedCall) {
    let _inflight = service.shutdown.track_call();
    let RejectedCall { fault, receipt } = rejected;
    if let Some(code) = fault_code(fault) {
        refuse(connection, code, receipt).await;
    }
}

async fn refuse(mut connection: CallerConnection, code: Code, mut receipt: Receipt) {
    receipt.is_last = true;
    if connection.write_response(Answer::own(code), receipt).await.is_ok() {
        connection.close().await;
    }
}
