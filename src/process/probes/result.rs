//! The result of a probe.

use serde::Deserialize;

use crate::prelude::*;
use crate::process::target::LoadReport;

/// What a target said in response to a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeResult {
    pub address: SocketAddr,
    pub report: LoadReport,
    pub draining: bool,
    /// When the probe was sent.
    pub at: Instant,
}

/// Body of a probe's response.
#[derive(Deserialize)]
struct ProbeBody {
    running: u32,
    queued: u32,
    slots: u32,
    #[serde(default)]
    draining: bool,
}

impl ProbeResult {
    /// Reads a probe's response.
    pub fn parse(address: SocketAddr, answer: &Answer, at: Instant) -> Option<Self> {
        if answer.status != StatusCode::OK {
            return None;
        }
        let body: ProbeBody = serde_json::from_slice(&answer.body).ok()?;
        let ProbeBody { running, queued, slots, draining } = body;
        Some(Self { address, report: LoadReport { running, queued, slots }, draining, at })
    }
}
