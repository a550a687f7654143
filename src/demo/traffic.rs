//! The demo's calls.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use super::deployment::Deployment;
use super::Result;
use crate::connection::limits::Limits;
use crate::connection::target::TargetConnection;
use crate::prelude::*;
use crate::process::runtime::block_on;
use crate::request::header;

/// Calls of the whole run.
const CALLS: usize = 3000;
/// Connections from callers.
const CALLERS: usize = 24;
/// Time to open a connection to an entry.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Path prefixes of the services, one in three calls each.
const PREFIXES: [&str; 3] = ["/tickets", "/jobs", "/stock"];
const WORKSPACES: [&str; 2] = ["counters", "workshops"];

/// What became of the calls of one workspace and class.
#[derive(Clone)]
pub struct Row {
    pub calls: u64,
    pub answered: u64,
    pub not_run: u64,
    pub unknown: u64,
    /// Latency in microseconds.
    pub latency: Histogram<u64>,
}

impl Default for Row {
    fn default() -> Self {
        let latency = Histogram::new(3).expect("three digits are a valid precision");
        Self { calls: 0, answered: 0, not_run: 0, unknown: 0, latency }
    }
}

/// The outcome of all calls.
#[derive(Default)]
pub struct Results {
    pub rows: BTreeMap<(&'static str, &'static str), Row>,
    /// Answers that were wrong or missing.
    pub faults: u64,
}

/// Sends the calls and checks every answer.
pub fn send(deployment: &Deployment) -> Result<Results> {
    let entries = deployment.entries.clone();
    block_on(async move {
        let results = Rc::new(RefCell::new(Results::default()));
        let callers = (0..CALLERS).map(|caller| {
            let entry = entries[caller % entries.len()];
            monoio::spawn(run_caller(caller, entry, results.clone()))
        });
        for caller in callers.collect::<Vec<_>>() {
            caller.await?;
        }
        Ok(results.take())
    })?
}

async fn run_caller(caller: usize, entry: SocketAddr, results: Rc<RefCell<Results>>) -> Result<()> {
    let limits = Limits::for_responses();
    let mut connection = TargetConnection::connect(entry, CONNECT_TIMEOUT, limits).await?;
    for number in (caller..CALLS).step_by(CALLERS) {
        let workspace = WORKSPACES[number / PREFIXES.len() % WORKSPACES.len()];
        let prefix = PREFIXES[number % PREFIXES.len()];
        let is_booking = number % 5 == 0;
        let (call, expected) = build(number, prefix, workspace, is_booking);
        let start = Instant::now();
        let answer = connection.exchange(&call).await;
        let class = if is_booking { "booking" } else { "lookup" };
        let key = (workspace, class);
        record(&mut results.borrow_mut(), key, start.elapsed(), answer.ok(), &expected);
        if !connection.is_reusable() {
            connection = TargetConnection::connect(entry, CONNECT_TIMEOUT, limits).await?;
        }
    }
    Ok(())
}

fn build(number: usize, prefix: &str, workspace: &str, is_booking: bool) -> (Call, String) {
    let path = format!("{prefix}/{number}");
    let method = if is_booking { Method::POST } else { Method::GET };
    let uri = path.parse().expect("the path is valid");
    let mut call = Call::new(method.clone(), uri);
    call.set_header(header::WORKSPACE, workspace);
    if is_booking {
        call.set_header(header::IDEMPOTENCY_KEY, &format!("demo-{number}"));
        call.body = format!("booking {number}").into();
    }
    let body = String::from_utf8_lossy(&call.body).into_owned();
    (call, format!("{method} {path} {body}"))
}

fn record(
    results: &mut Results,
    key: (&'static str, &'static str),
    elapsed: Duration,
    answer: Option<Answer>,
    expected: &str,
) {
    let row = results.rows.entry(key).or_default();
    row.calls += 1;
    let _ = row.latency.record(elapsed.as_micros() as u64);
    match (answer.as_ref().and_then(Answer::code), answer) {
        (Some(Code::Answered), Some(answer)) if answer.body == expected => row.answered += 1,
        (Some(code), _) if code.is_not_run() => row.not_run += 1,
        (Some(code), _) if code.is_unknown() => row.unknown += 1,
        _ => results.faults += 1,
    }
}
