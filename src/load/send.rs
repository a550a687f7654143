//! Open-loop load generator: sends each call of a trace at its scheduled time, whether or not
//! earlier calls have been answered.

use std::io::{IsTerminal, Write};

use super::report::CallOutcome;
use super::trace::TraceCall;
use super::Result;
use crate::connection::limits::Limits;
use crate::connection::target::TargetConnection;
use crate::edge::stand_in::target::SERVICE_TIME_HEADER;
use crate::prelude::*;
use crate::request::header;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// The sender sleeps until this long before a scheduled arrival and busy-waits for the rest, since
/// timers of the runtime fire up to 2 ms late.
const SPIN_DURATION: Duration = Duration::from_millis(3);
/// Timeout of a call, including the time to connect.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Destination and speed of a run.
#[derive(Clone, Debug)]
pub struct SendOptions {
    /// Addresses of entries; calls are distributed round robin.
    pub entries: Vec<SocketAddr>,
    /// Factor on the speed of the trace: 2 sends it in half its time.
    pub speed: f64,
}

struct Sender {
    options: SendOptions,
    /// Idle connections to each entry.
    idle: Vec<RefCell<Vec<TargetConnection>>>,
    outcomes: RefCell<Vec<CallOutcome>>,
}

/// Sends all calls and waits until each has ended.
pub async fn send(trace: &[TraceCall], options: SendOptions) -> Result<Vec<CallOutcome>> {
    let idle = options.entries.iter().map(|_| RefCell::default()).collect();
    let sender = Rc::new(Sender { options, idle, outcomes: RefCell::default() });
    let start = Instant::now();
    let mut tasks = Vec::with_capacity(trace.len());
    let mut last_progress = start;
    for (index, call) in trace.iter().enumerate() {
        let offset = Duration::from_micros((call.at_us as f64 / sender.options.speed) as u64);
        let scheduled_at = start + offset;
        wait_until(scheduled_at).await;
        if last_progress.elapsed() >= Duration::from_secs(1) {
            last_progress = Instant::now();
            show_progress(index, trace.len(), sender.outcomes.borrow().len());
        }
        tasks.push(monoio::spawn(send_call(
            sender.clone(),
            index,
            build_call(call)?,
            scheduled_at,
        )));
    }
    for task in tasks {
        task.await;
    }
    Ok(sender.outcomes.take())
}

async fn send_call(sender: Rc<Sender>, index: usize, call: Call, scheduled_at: Instant) {
    let send_delay = scheduled_at.elapsed();
    let entry = index % sender.options.entries.len();
    let exchange = monoio::time::timeout(CALL_TIMEOUT, exchange(&sender, entry, &call)).await;
    let response = exchange.ok().and_then(Result::ok);
    let code = response.as_ref().and_then(Answer::code);
    let attempts =
        response.as_ref().and_then(|response| response.header(header::ATTEMPT)?.parse().ok());
    let is_wrong = match &response {
        Some(response) if code == Some(Code::Answered) => !is_response_to(&call, response),
        _ => false,
    };
    sender.outcomes.borrow_mut().push(CallOutcome {
        index,
        code,
        attempts: attempts.unwrap_or(u32::from(code == Some(Code::Answered))),
        latency: scheduled_at.elapsed(),
        send_delay,
        is_wrong,
        is_server_error: response.is_some_and(|response| {
            code == Some(Code::Answered) && response.status.is_server_error()
        }),
    });
}

async fn exchange(sender: &Sender, entry: usize, call: &Call) -> Result<Answer> {
    let idle = sender.idle[entry].borrow_mut().pop();
    let mut connection = match idle {
        Some(connection) => connection,
        None => {
            let address = sender.options.entries[entry];
            TargetConnection::connect(address, CONNECT_TIMEOUT, Limits::for_responses()).await?
        }
    };
    let response = connection.exchange(call).await;
    let response = response.map_err(|fault| Error::Connection { reason: format!("{fault:?}") })?;
    if connection.is_reusable() {
        sender.idle[entry].borrow_mut().push(connection);
    }
    Ok(response)
}

fn build_call(call: &TraceCall) -> Result<Call> {
    let problem = |text: String| Error::Document { problems: vec![text] };
    let method = Method::from_bytes(call.method.as_bytes())
        .map_err(|_| problem(format!("`{}` is not a method", call.method)))?;
    let uri = call.path.parse().map_err(|_| problem(format!("`{}` is not a path", call.path)))?;
    let mut request = Call::new(method, uri);
    request.set_header(header::WORKSPACE, &call.workspace);
    request.set_header(SERVICE_TIME_HEADER, &call.service_us.to_string());
    if let Some(key) = &call.key {
        request.set_header(header::IDEMPOTENCY_KEY, key);
    }
    request.body = vec![b'x'; call.bytes].into();
    Ok(request)
}

/// Whether a response belongs to this call. A stand-in target's response repeats the method, path
/// and body of its call; responses of other targets cannot be checked and count as correct.
fn is_response_to(call: &Call, response: &Answer) -> bool {
    if response.header(header::LOAD).is_none() || response.status != StatusCode::OK {
        return true;
    }
    let path = call.uri.path_and_query().map_or("/", |path| path.as_str());
    let expected_start = format!("{} {path} ", call.method);
    response.body.starts_with(expected_start.as_bytes()) && response.body.ends_with(&call.body)
}

async fn wait_until(scheduled_at: Instant) {
    let remaining = scheduled_at.saturating_duration_since(Instant::now());
    if remaining > SPIN_DURATION {
        monoio::time::sleep(remaining - SPIN_DURATION).await;
    }
    while Instant::now() < scheduled_at {
        yield_now().await;
    }
}

/// Lets other tasks and the I/O driver run. A task that only wakes itself is polled again by the
/// runtime at once, before any response is read.
async fn yield_now() {
    monoio::spawn(async {}).await;
}

fn show_progress(sent: usize, total: usize, ended: usize) {
    let mut screen = std::io::stderr();
    if screen.is_terminal() {
        let _ = write!(screen, "\rsent {sent} of {total}, answered {ended}");
        let _ = screen.flush();
    }
}
