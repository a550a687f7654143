//! Sends a trace at its own times, whether or not earlier calls have been answered.

use std::io::{IsTerminal, Write};

use super::report::Ended;
use super::trace::TraceCall;
use super::Result;
use crate::connection::limits::Limits;
use crate::connection::target::TargetConnection;
use crate::edge::stand_in::target::SERVICE_TIME_HEADER;
use crate::prelude::*;
use crate::request::header;

/// Time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time before an arrival from which on the sender no longer sleeps, since timers of the runtime
/// fire up to 2 ms late.
const SPIN_TIME: Duration = Duration::from_millis(3);
/// Longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// Where and how fast to send.
#[derive(Clone, Debug)]
pub struct Aim {
    /// Addresses of entries, used in turn.
    pub entries: Vec<SocketAddr>,
    /// Factor on the speed of the trace.
    pub speed: f64,
}

struct Sender {
    aim: Aim,
    idle: Vec<RefCell<Vec<TargetConnection>>>,
    ended: RefCell<Vec<Ended>>,
}

/// Sends all calls and waits for their answers.
pub async fn send(trace: &[TraceCall], aim: Aim) -> Result<Vec<Ended>> {
    let idle = aim.entries.iter().map(|_| RefCell::default()).collect();
    let sender = Rc::new(Sender { aim, idle, ended: RefCell::default() });
    let start = Instant::now();
    let mut tasks = Vec::with_capacity(trace.len());
    let mut shown = start;
    for (index, call) in trace.iter().enumerate() {
        let after = Duration::from_micros((call.at_us as f64 / sender.aim.speed) as u64);
        let due = start + after;
        wait_until(due).await;
        if shown.elapsed() >= Duration::from_secs(1) {
            shown = Instant::now();
            show_progress(index, trace.len(), sender.ended.borrow().len());
        }
        tasks.push(monoio::spawn(send_one(sender.clone(), index, build(call)?, due)));
    }
    for task in tasks {
        task.await;
    }
    Ok(sender.ended.take())
}

async fn send_one(sender: Rc<Sender>, index: usize, call: Call, due: Instant) {
    let late = due.elapsed();
    let entry = index % sender.aim.entries.len();
    let exchange = monoio::time::timeout(ANSWER_TIMEOUT, exchange(&sender, entry, &call)).await;
    let answer = exchange.ok().and_then(Result::ok);
    let code = answer.as_ref().and_then(Answer::code);
    let attempts = answer.as_ref().and_then(|answer| answer.header(header::ATTEMPT)?.parse().ok());
    let wrong = match &answer {
        Some(answer) if code == Some(Code::Answered) => !belongs(&call, answer),
        _ => false,
    };
    sender.ended.borrow_mut().push(Ended {
        index,
        code,
        attempts: attempts.unwrap_or(u32::from(code == Some(Code::Answered))),
        latency: due.elapsed(),
        late,
        wrong,
        error: answer
            .is_some_and(|answer| code == Some(Code::Answered) && answer.status.is_server_error()),
    });
}

async fn exchange(sender: &Sender, entry: usize, call: &Call) -> Result<Answer> {
    let idle = sender.idle[entry].borrow_mut().pop();
    let mut connection = match idle {
        Some(connection) => connection,
        None => {
            let address = sender.aim.entries[entry];
            TargetConnection::connect(address, CONNECT_TIMEOUT, Limits::for_responses()).await?
        }
    };
    let answer = connection.exchange(call).await;
    let answer = answer.map_err(|fault| Error::Connection { reason: format!("{fault:?}") })?;
    if connection.is_reusable() {
        sender.idle[entry].borrow_mut().push(connection);
    }
    Ok(answer)
}

fn build(call: &TraceCall) -> Result<Call> {
    let problem = |text: String| Error::Document { problems: vec![text] };
    let method = Method::from_bytes(call.method.as_bytes())
        .map_err(|_| problem(format!("`{}` is not a method", call.method)))?;
    let uri = call.path.parse().map_err(|_| problem(format!("`{}` is not a path", call.path)))?;
    let mut built = Call::new(method, uri);
    built.set_header(header::WORKSPACE, &call.workspace);
    built.set_header(SERVICE_TIME_HEADER, &call.service_us.to_string());
    if let Some(key) = &call.key {
        built.set_header(header::IDEMPOTENCY_KEY, key);
    }
    built.body = vec![b'x'; call.bytes].into();
    Ok(built)
}

/// Whether a stand-in's answer repeats this call; answers of other targets cannot be checked.
fn belongs(call: &Call, answer: &Answer) -> bool {
    if answer.header(header::LOAD).is_none() || answer.status != StatusCode::OK {
        return true;
    }
    let path = call.uri.path_and_query().map_or("/", |path| path.as_str());
    let head = format!("{} {path} ", call.method);
    answer.body.starts_with(head.as_bytes()) && answer.body.ends_with(&call.body)
}

async fn wait_until(due: Instant) {
    let left = due.saturating_duration_since(Instant::now());
    if left > SPIN_TIME {
        monoio::time::sleep(left - SPIN_TIME).await;
    }
    while Instant::now() < due {
        yield_now().await;
    }
}

/// Lets other tasks and the driver run. A task that only wakes itself is polled again at once by
/// the runtime, before any answer is read.
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
