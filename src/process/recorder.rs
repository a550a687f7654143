//! Records calls as a trace when an operator requests it.

use std::collections::VecDeque;

use crate::load::trace::{self, TraceCall};
use crate::prelude::*;

/// Maximum number of calls in a recording; later calls are left out.
const MAX_CALLS: usize = 20_000;
/// Longest duration of a recording.
const MAX_DURATION: Duration = Duration::from_secs(600);

/// Holds the current or last recording in memory.
#[derive(Default)]
pub struct Recorder {
    state: RefCell<Option<Recording>>,
}

struct Recording {
    start: Instant,
    end: Instant,
    calls: VecDeque<TraceCall>,
}

/// A call with the fields that a trace records.
pub struct RecordedCall<'a> {
    pub call: &'a Call,
    pub workspace: &'a str,
    pub service: &'a str,
    pub class: &'a str,
    pub key: Option<&'a str>,
    pub arrived: Instant,
}

impl Recorder {
    /// Starts a new recording and discards the previous one.
    pub fn start(&self, now: Instant, duration: Duration) {
        let end = now + duration.min(MAX_DURATION);
        self.state.replace(Some(Recording { start: now, end, calls: VecDeque::new() }));
    }

    /// Whether a recording is running at `now`.
    pub fn is_active(&self, now: Instant) -> bool {
        self.state.borrow().as_ref().is_some_and(|recording| recording.is_open(now))
    }

    /// Adds a call that ended at `now`.
    ///
    /// The entry measures the time until the response, not the target's own service time, so the
    /// recorded service time includes time spent in a queue of the target.
    pub fn add(&self, recorded: &RecordedCall<'_>, now: Instant) {
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

    /// Formats the recorded calls as a trace, in order of arrival.
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
