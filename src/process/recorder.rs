//! Records calls as a trace on an operator's request.

use std::collections::VecDeque;

use crate::load::trace::{self, TraceCall};
use crate::prelude::*;

/// Most calls of a recording; later calls are left out.
const MAX_CALLS: usize = 20_000;
/// Longest recording.
const MAX_TIME: Duration = Duration::from_secs(600);

/// A recording of calls in memory.
#[derive(Default)]
pub struct Recorder {
    state: RefCell<Option<Recording>>,
}

struct Recording {
    start: Instant,
    end: Instant,
    calls: VecDeque<TraceCall>,
}

/// A call as the recorder sees it when it ends.
pub struct Recorded<'a> {
    pub call: &'a Call,
    pub workspace: &'a str,
    pub service: &'a str,
    pub class: &'a str,
    pub key: Option<&'a str>,
    pub arrived: Instant,
}

impl Recorder {
    /// Starts a new recording and drops the one before.
    pub fn start(&self, now: Instant, length: Duration) {
        let end = now + length.min(MAX_TIME);
        self.state.replace(Some(Recording { start: now, end, calls: VecDeque::new() }));
    }

    /// Whether calls are recorded at `now`.
    pub fn is_active(&self, now: Instant) -> bool {
        self.state.borrow().as_ref().is_some_and(|recording| recording.is_open(now))
    }

    /// Adds a call that ended at `now`.
    ///
    /// The entry sees the time until the answer, not the target's own service time, so the
    /// recorded service time includes any queue of the target.
    pub fn add(&self, recorded: &Recorded<'_>, now: Instant) {
        let mut state = self.state.borrow_mut();
        let Some(recording) = state.as_mut() else { return };
        if !recording.is_open(now) || recorded.arrived < recording.start {
            return;
        }
        let path = recorded.call.uri.path_and_query().map_or("/", |path| path.as_str());
        recording.calls.push_back(TraceCall {
            at_us: (recorded.arrived - recording.start).as_micros() as u64,
            workspace: recorded.workspace.into(),
            service: recorded.service.into(),
            class: recorded.class.into(),
            method: recorded.call.method.to_string(),
            path: path.into(),
            key: recorded.key.map(Into::into),
            bytes: recorded.call.body.len(),
            service_us: (now - recorded.arrived).as_micros() as u64,
        });
    }

    /// The recorded calls as a trace in order of arrival.
    pub fn trace(&self) -> String {
        let state = self.state.borrow();
        let calls = state.as_ref().map(|recording| recording.calls.iter().cloned().collect());
        let mut calls: Vec<TraceCall> = calls.unwrap_or_default();
        calls.sort_by_key(|call| call.at_us);
        trace::format(&calls)
    }
}

impl Recording {
    fn is_open(&self, now: Instant) -> bool {
        now < self.end && self.calls.len() < MAX_CALLS
    }
}
