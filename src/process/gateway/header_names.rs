//! Names of the HTTP headers that an entry exchanges with callers and targets.

use crate::prelude::*;

/// Header names of a deployment; the values mean the same in all deployments.
#[derive(Clone, Copy, Debug)]
pub struct HeaderNames {
    /// Identifier of the call, which the target echoes in its response.
    pub call_id: &'static str,
    /// Time left until the deadline of the call, in milliseconds.
    pub deadline: &'static str,
    /// Key by which a caller shows its workspace; no target gets it.
    pub key: &'static str,
    /// Name of the call's workspace.
    pub workspace: &'static str,
    /// Remaining warm-up of a target in milliseconds, in its response to a probe.
    pub warmup: &'static str,
    /// Id of the target that the call is meant for; any other target must not run it.
    pub expected_target: &'static str,
    /// Id of the target, in its response to a probe.
    pub target_id: &'static str,
    /// Load of the target.
    pub load: &'static str,
    /// `1` on every response of a target that is leaving.
    pub leaving: &'static str,
    /// Marks the response of a target that did not run the call.
    pub refused: &'static str,
    /// Seal that a target puts on its response.
    pub seal: &'static str,
}

impl HeaderNames {
    /// Whether a response guarantees that the target did not run the call.
    pub fn is_not_run(&self, answer: &Answer) -> bool {
        answer.headers.contains_key(self.refused)
            || answer.status == StatusCode::MISDIRECTED_REQUEST
    }
}
