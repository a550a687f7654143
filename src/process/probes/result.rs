//! The result of a probe.

use serde::Deserialize;

use crate::prelude::*;
use crate::process::target::LoadReport;

/// A target's state from its response to a probe.
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
    /// Parses the response to a probe; `None` unless its status is 200 and its body is valid.
    pub fn parse(address: SocketAddr, response: &Answer, at: Instant) -> Option<Self> {
        if response.status != StatusCode::OK {
            return None;
        }
        let body: ProbeBody = serde_json::from_slice(&response.body).ok()?;
        let ProbeBody { running, queued, slots, draining } = body;
        Some(Self { address, report: LoadReport { running, queued, slots }, draining, at })
    }
}
