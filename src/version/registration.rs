//! What a target says of itself in the registry.

use crate::prelude::*;

/// Whether a target takes new calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    Ready,
    Draining,
}

/// The entry of one target in the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    pub id: Rc<str>,
    pub service: Rc<str>,
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Rc<str>,
    pub slots: u32,
    pub state: TargetState,
    /// Time after the report until the target works at full speed.
    pub warmup: Duration,
    /// Start of the target in Unix milliseconds, which tells incarnations of one id apart.
    pub born: u64,
    /// Number of the report; it counts from the start of the incarnation.
    pub sequence: u64,
}

impl Registration {
    /// The place of the report among all reports under one id.
    pub fn order(&self) -> (u64, u64) {
        (self.born, self.sequence)
    }
}
