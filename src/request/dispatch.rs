//! Sends a call to a target and decides what the caller is told.

use super::{header, keyed};
use crate::connection::fault::{Fault, Lost};
use crate::connection::forward::clean_answer;
use crate::prelude::*;
use crate::process::entry::Entry;
use crate::process::recorder::Recorded;
use crate::process::target::{LoadReport, TargetKey};
use crate::version::class::Class;
use crate::version::keys::{ClassKey, ServiceKey, WorkspaceKey};
use crate::version::revision::Revision;

/// Most attempts of one call.
const MAX_ATTEMPTS: u32 = 3;

/// A call with its place in the document.
struct Matched {
    revision: Rc<Revision>,
    service: ServiceKey,
    class: ClassKey,
    workspace: WorkspaceKey,
    deadline: Deadline,
}

impl Matched {
    fn class(&self) -> &Class {
        self.revision.document.class(self.service, self.class)
    }

    fn claim(&self, call: &Call) -> keyed::Claim {
        if self.class().idempotent {
            return keyed::Claim::Free;
        }
        let document = &self.revision.document;
        let (workspace, service) = (&document[self.workspace].name, &document[self.service].name);
        keyed::claim(call, workspace, service, self.deadline)
    }

    /// Most attempts; a non-idempotent call without a key gets one.
    fn max_attempts(&self, call: &Call) -> u32 {
        let has_key = call.headers.contains_key(header::IDEMPOTENCY_KEY);
        if self.class().idempotent || has_key {
            MAX_ATTEMPTS
        } else {
            1
        }
    }
}

/// How one attempt ended.
enum Attempt {
    /// A target answered.
    Answered(Answer),
    /// The call did not run.
    NotRun(Code),
    /// The call may have run.
    Unknown(Code),
}

/// Answers one call.
pub async fn dispatch(entry: &Entry, call: Call) -> Answer {
    let start = Instant::now();
    let matched = match find(entry, &call, start) {
        Ok(matched) => matched,
        Err(code) => return Answer::own(code),
    };
    let recorded = entry.recorder.is_active(start).then(|| call.clone());
    let claim = matched.claim(&call);
    let answer = keyed::run(entry, claim, run(entry, &matched, call)).await;
    if let Some(call) = recorded {
        record(entry, &matched, &call, start);
    }
    let code = answer.header(header::CODE).and_then(|text| text.parse().ok());
    let code = code.and_then(Code::from_number).unwrap_or(Code::Answered);
    let workspace = &matched.revision.document[matched.workspace].name;
    entry.metrics.call(workspace, &matched.class().name, code, start.elapsed());
    answer
}

fn record(entry: &Entry, matched: &Matched, call: &Call, arrived: Instant) {
    let document = &matched.revision.document;
    let recorded = Recorded {
        call,
        workspace: &document[matched.workspace].name,
        service: &document[matched.service].name,
        class: &matched.class().name,
        key: call.header(header::IDEMPOTENCY_KEY),
        arrived,
    };
    entry.recorder.add(&recorded, Instant::now());
}

fn find(entry: &Entry, call: &Call, now: Instant) -> Result<Matched, Code> {
    let revision = entry.revision().ok_or(Code::NotReady)?;
    let document = &revision.document;
    let path = call.uri.path();
    let service = document.service(path).ok_or(Code::RefusedService)?;
    let class = document[service].class(&call.method, path).ok_or(Code::RefusedClass)?;
    let workspace = call.header(header::WORKSPACE).and_then(|name| document.workspace(name));
    let workspace = workspace.ok_or(Code::RefusedWorkspace)?;
    let mut deadline = Deadline::after(now, document.class(service, class).deadline);
    let own = call.header(header::DEADLINE).and_then(|text| text.parse().ok());
    if let Some(millis) = own {
        deadline = deadline.min(Deadline::after(now, Duration::from_millis(millis)));
    }
    Ok(Matched { revision, service, class, workspace, deadline })
}

async fn run(entry: &Entry, matched: &Matched, mut call: Call) -> Answer {
    call.set(header::CALL_ID, &entry.next_call_id());
    call.set(header::CLASS, &matched.class().name);
    let mut tried = Vec::new();
    let max_attempts = matched.max_attempts(&call);
    let mut number = 1;
    // Once an attempt may have run, no later attempt can make the call "not run".
    let mut unknown = None;
    loop {
        if matched.deadline.has_passed(Instant::now()) {
            return Answer::own(unknown.unwrap_or(Code::NotRunDeadline));
        }
        call.set(header::ATTEMPT, &number.to_string());
        let left = matched.deadline.left(Instant::now()).as_millis();
        call.set(header::DEADLINE, &left.to_string());
        let code = match attempt(entry, matched, &call, &mut tried).await {
            Attempt::Answered(mut answer) => {
                answer.set(header::CODE, &Code::Answered.number().to_string());
                answer.set(header::ATTEMPT, &number.to_string());
                return answer;
            }
            Attempt::Unknown(code) if !matched.class().idempotent => return Answer::own(code),
            Attempt::Unknown(code) => *unknown.insert(code),
            Attempt::NotRun(code) => code,
        };
        if number >= max_attempts || code == Code::NotRunNoTarget {
            return Answer::own(unknown.unwrap_or(code));
        }
        entry.metrics.count("cornellink_retries_total");
        number += 1;
    }
}

async fn attempt(
    entry: &Entry,
    matched: &Matched,
    call: &Call,
    tried: &mut Vec<TargetKey>,
) -> Attempt {
    let service = &matched.revision.document[matched.service];
    let picked = entry.fleet.borrow_mut().pick(matched.service, service, tried);
    let Some(key) = picked else { return Attempt::NotRun(Code::NotRunNoTarget) };
    tried.push(key);
    let mut slot = Slot { entry, key, report: None, draining: false };
    let Some(pool) = entry.fleet.borrow().pool(key) else {
        return Attempt::NotRun(Code::NotRunNoTarget);
    };
    let mut lease = match pool.take().await {
        Ok(lease) => lease,
        Err(_) => return Attempt::NotRun(Code::NotRunConnect),
    };
    let left = matched.deadline.left(Instant::now());
    // A pause of the process while the connection was opened can use up the deadline.
    if left.is_zero() {
        return Attempt::NotRun(Code::NotRunDeadline);
    }
    let exchange = lease.connection().exchange(call);
    match monoio::time::timeout(left, exchange).await {
        Err(_) if !lease.connection().has_sent() => Attempt::NotRun(Code::NotRunDeadline),
        Err(_) => Attempt::Unknown(Code::UnknownDeadline),
        Ok(Err(Lost { sent: false, .. })) => Attempt::NotRun(Code::NotRunConnect),
        Ok(Err(Lost { fault: Fault::Closed, .. })) => Attempt::Unknown(Code::UnknownConnection),
        Ok(Err(_)) => Attempt::Unknown(Code::UnknownAnswer),
        Ok(Ok(mut answer)) => {
            slot.report = answer.header(header::LOAD).and_then(LoadReport::parse);
            slot.draining = answer.header(header::DRAINING) == Some("1");
            let is_refused = answer.status == StatusCode::SERVICE_UNAVAILABLE
                && answer.headers.contains_key(header::REFUSED);
            if is_refused {
                return Attempt::NotRun(Code::NotRunRefused);
            }
            clean_answer(&mut answer.headers);
            Attempt::Answered(answer)
        }
    }
}

/// Counts a call on a target until it is dropped, also when the attempt is cancelled.
struct Slot<'a> {
    entry: &'a Entry,
    key: TargetKey,
    report: Option<LoadReport>,
    draining: bool,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.entry.fleet.borrow_mut().finish(self.key, self.report, self.draining);
    }
}
