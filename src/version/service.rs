//! Services and their targets, as declared in a document.

use http::Method;

use super::check::paths::covers;
use super::class::Class;
use super::keys::ClassKey;
use super::policy::Policy;
use crate::prelude::*;

/// A target declared in the document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetSpec {
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: String,
}

/// A group of equivalent targets and the settings for routing calls to them.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    pub name: String,
    /// Path prefix of the service's calls.
    pub prefix: String,
    pub policy: Policy,
    /// Number of calls that one target runs at the same time.
    pub slots: u32,
    /// Maximum number of connections to one target, from all entries together.
    pub connections: u32,
    /// Maximum number of calls that wait at one entry.
    pub queue: u32,
    /// Share of a target's slot time that the probes of all entries may use, in percent.
    pub probe_percent: f64,
    /// Slot time that one probe takes.
    pub probe_cost: Duration,
    pub classes: Vec<Class>,
    pub targets: Vec<TargetSpec>,
}

impl Service {
    /// Finds the first class that matches.
    pub fn class(&self, method: &Method, path: &str) -> Option<ClassKey> {
        let matches = |class: &Class| class.methods.contains(method) && covers(&class.prefix, path);
        self.classes.iter().position(matches).map(|index| ClassKey(index as u16))
    }
}
