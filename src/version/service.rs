//! A service and its targets.

use http::Method;

use super::check::paths::covers;
use super::class::Class;
use super::keys::ClassKey;
use super::policy::Policy;
use crate::prelude::*;

/// A target as the document declares it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetSpec {
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: String,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    pub name: String,
    /// Path prefix of the service's calls.
    pub prefix: String,
    pub policy: Policy,
    /// Calls that one target runs at a time.
    pub slots: u32,
    /// Connections that one target takes from all entries together.
    pub connections: u32,
    /// Most calls that wait at one entry.
    pub queue: u32,
    /// Share of a target's slot time for probes by all entries, in percent.
    pub probe_percent: f64,
    /// Slot time that one probe takes.
    pub probe_cost: Duration,
    pub classes: Vec<Class>,
    pub targets: Vec<TargetSpec>,
}

impl Service {
    /// The first class that matches.
    pub fn class(&self, method: &Method, path: &str) -> Option<ClassKey> {
        let matches = |class: &Class| class.methods.contains(method) && covers(&class.prefix, path);
        self.classes.iter().position(matches).map(|index| ClassKey(index as u16))
    }
}
