//! Sends the demo's calls and checks their responses.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use super::deployment::Deployment;
use super::Result;
use crate::connection::limits::Limits;
use crate::connection::target::TargetConnection;
use crate::prelude::*;
use crate::process::runtime::block_on;
use crate::request::header;

/// Number of calls sent by all callers together.
const CALL_COUNT: usize = 3000;
/// Number of callers, each with one connection.
const CALLER_COUNT: usize = 24;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Path prefixes of the services; each gets a third of the calls.
const PREFIXES: [&str; 3] = ["/tickets", "/jobs", "/stock"];
const WORKSPACES: [&str; 2] = ["counters", "workshops"];

/// Results of the calls of one workspace and class.
#[derive(Clone)]
pub struct ClassResults {
    pub calls: u64,
    pub answered: u64,
    pub not_run: u64,
    pub unknown: u64,
    /// Latency in microseconds.
    pub latency: Histogram<u64>,
}

impl Default for ClassResults {
    fn default() -> Self {
        let latency = Histogram::new(3).expect("three digits are a valid precision");
        Self { calls: 0, answered: 0, not_run: 0, unknown: 0, latency }
    }
}

/// Results of all calls.
#[derive(Default)]
pub struct TrafficResults {
    pub rows: BTreeMap<(&'static str, &'static str), ClassResults>,
    /// Calls whose response was wrong or missing.
    pub bad_responses: u64,
}

/// Sends all calls and checks every response.
pub fn send(deployment: &Deployment) -> Result<TrafficResults> {
    let entries = deployment.entries.clone();
    block_on(async move {
        let results = Rc::new(RefCell::new(TrafficResults::default()));
        let callers = (0..CALLER_COUNT).map(|caller| {
            let entry = entries[caller % entries.len()];
            monoio::spawn(run_caller(caller, entry, results.clone()))
        });
        for caller in callers.collect::<Vec<_>>() {
            caller.await?;
        }
        Ok(results.take())
    })?
}

async fn run_caller(
    caller: usize,
    entry: SocketAddr,
    results: Rc<RefCell<TrafficResults>>,
) -> Result<()> {
    let limits = Limits::for_responses();
    let mut connection = TargetConnection::connect(entry, CONNECT_TIMEOUT, limits).await?;
    for number in (caller..CALL_COUNT).step_by(CALLER_COUNT) {
        let workspace = WORKSPACES[number / PREFIXES.len() % WORKSPACES.len()];
        let prefix = PREFIXES[number % PREFIXES.len()];
        let is_booking = number % 5 == 0;
        let (call, expected) = build_call(number, prefix, workspace, is_booking);
        let start = Instant::now();
        let response = connection.exchange(&call).await;
        let class = if is_booking { "booking" } else { "lookup" };
        let class_key = (workspace, class);
        record_response(
            &mut results.borrow_mut(),
            class_key,
            start.elapsed(),
            response.ok(),
            &expected,
        );
        if !connection.is_reusable() {
            connection = TargetConnection::connect(entry, CONNECT_TIMEOUT, limits).await?;
        }
    }
    Ok(())
}

fn build_call(number: usize, prefix: &str, workspace: &str, is_booking: bool) -> (Call, String) {
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

fn record_response(
    results: &mut TrafficResults,
    class_key: (&'static str, &'static str),
    elapsed: Duration,
    response: Option<Answer>,
    expected: &str,
) {
    let class_results = results.rows.entry(class_key).or_default();
    class_results.calls += 1;
    let _ = class_results.latency.record(elapsed.as_micros() as u64);
    match (response.as_ref().and_then(Answer::code), response) {
        (Some(Code::Answered), Some(response)) if response.body == expected => {
            class_results.answered += 1
        }
        (Some(code), _) if code.is_not_run() => class_results.not_run += 1,
        (Some(code), _) if code.is_unknown() => class_results.unknown += 1,
        _ => results.bad_responses += 1,
    }
}
