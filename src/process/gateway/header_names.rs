//! Names of the headers that an entry shares with callers and targets.

use crate::prelude::*;

/// Header names; the values have the same meaning under every name.
#[derive(Clone, Copy, Debug)]
pub struct HeaderNames {
    /// Identifier of the call, which a target repeats in its response.
    pub call_id: &'static str,
    /// Time that is left for the call, in milliseconds.
    pub deadline: &'static str,
    /// Identity that the target must have to run the call.
    pub expected: &'static str,
    /// Identity of a target, in its answer to a probe.
    pub target_id: &'static str,
    /// Load of a target.
    pub load: &'static str,
    /// Says that the target did not run the call.
    pub refused: &'static str,
    /// Seal of a target over its response.
    pub seal: &'static str,
}

impl HeaderNames {
    /// Whether a response promises that the call was not run.
    pub fn is_not_run(&self, answer: &Answer) -> bool {
        answer.headers.contains_key(self.refused)
            || answer.status == StatusCode::MISDIRECTED_REQUEST
    }
}
