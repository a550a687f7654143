//! Registrations that targets write to the directory.

use crate::prelude::*;

/// Whether a target accepts new calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    Ready,
    Draining,
}

/// The latest report of one target in the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    pub id: Rc<str>,
    pub service: Rc<str>,
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Rc<str>,
    pub slots: u32,
    pub state: TargetState,
    /// Remaining warm-up, from the time of the report until the target runs at full speed.
    pub warmup: Duration,
    /// Start of the target in Unix milliseconds, which distinguishes incarnations of one id.
    pub born: u64,
    /// Number of the report within the incarnation.
    pub sequence: u64,
}

impl Registration {
    /// Sort key that orders all reports of one id, across incarnations.
    pub fn order(&self) -> (u64, u64) {
        (self.born, self.sequence)
    }
}
