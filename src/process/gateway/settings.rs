//! The settings of a gateway.

use serde::{Deserialize, Serialize};
use serde_json::Value as Json;

use super::super::Result;
use super::quota::limit::Terms;
use super::sharing::MAX_ENTRIES;
use crate::prelude::*;
use crate::version::check;
use crate::version::check::checked_value::CheckedValue;
use crate::version::check::problem::{Problem, ProblemReport};
use crate::version::check::schema::{Field, Kind, Schema};

/// Largest value of settings in milliseconds, one hour.
const MAX_TIME_MS: u64 = 3_600_000;
/// Largest number of seeds.
const MAX_SEEDS: usize = 64;
/// How long before the end of the grace period the process exits.
const GRACE_MARGIN: Duration = Duration::from_millis(300);
/// Share of the grace period in which new calls are still accepted.
const ACCEPT_RATIO: f64 = 0.45;
/// Shares of the memory that calls and responses may occupy while they are read. Buffers grow by
/// doubling, so each may take twice its share.
const CALL_MEMORY_RATIO: f64 = 0.25;
const RESPONSE_MEMORY_RATIO: f64 = 0.125;
const BYTES_PER_MIB: f64 = 1024.0 * 1024.0;

/// The content of the settings file; each field has a row in `SCHEMA`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct GatewaySettings {
    /// Name of the entry, unique in its environment.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address of the readiness check, which reports whether the entry takes new callers.
    pub ready: SocketAddr,
    /// Address for metrics and status.
    pub admin: SocketAddr,
    /// Address at which other entries of the failure domain receive what this one reads from the
    /// directory; without it, every entry reads the directory itself.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<SocketAddr>,
    /// `share` addresses of other entries, used by a start during an outage of the directory.
    pub seeds: Vec<SocketAddr>,
    /// Address of the directory.
    pub directory: SocketAddr,
    /// Speed of the VM's link in Mbit/s; entries with faster links read the directory for the
    /// others.
    pub link_mbps: f64,
    /// Whether all entries start together for the first time, so that none is listed yet.
    pub first_start: bool,
    /// Largest number of entries that run at the same time.
    pub max_entries: u32,
    /// Retries allowed per call, for all entries together.
    pub retry_ratio: f64,
    /// Retries allowed in a window in addition to the ratio, for all entries together.
    pub retry_slack: f64,
    /// Window over which retries are counted, in milliseconds.
    pub retry_window_ms: u64,
    /// Probes per target and second, for all entries together.
    pub probes: f64,
    /// Time from the termination signal until the process is killed, in milliseconds.
    pub grace_ms: u64,
    /// Interval at which targets renew their registrations, which expire after three of them, in
    /// milliseconds.
    pub renewal_ms: u64,
    /// Window in which the quota of a workspace holds, in milliseconds.
    pub quota_window_ms: u64,
    /// Part of the quota that may be exceeded in a window.
    pub quota_overage: f64,
    /// Calls of a workspace in a window beyond that.
    pub quota_slack: f64,
    /// Factor on the rate of calls that a cold target bears, in any second.
    pub warmup_overage: f64,
    /// Calls in any second beyond that.
    pub warmup_slack: f64,
    /// Time from the request to evacuate a failure domain until its targets get no calls, in
    /// milliseconds.
    pub evacuation_ms: u64,
    /// Limit of open file descriptors.
    pub descriptors: f64,
    /// Memory of the VM in MiB.
    pub memory_mb: f64,
    /// Log filter.
    pub log: String,
}

/// Settings, and the problems of the fields that were replaced.
pub struct UsableSettings {
    pub settings: GatewaySettings,
    pub problems: Vec<Problem>,
}

const TIME_MS: Kind = Kind::Time { min_ms: 1, max_ms: MAX_TIME_MS };

/// The fields of a settings file, with their defaults.
pub const SCHEMA: Schema = Schema {
    fields: &[
        Field::required("name", Kind::Name),
        Field::required("domain", Kind::Name),
        Field::required("listen", Kind::Listen),
        Field::required("ready", Kind::Listen),
        Field::required("admin", Kind::Listen),
        Field::optional("share", Kind::Address),
        Field::default("seeds", Kind::List { of: &Kind::Address, min: 0, max: MAX_SEEDS }, "[]"),
        Field::required("directory", Kind::Address),
        Field::default("linkMbps", Kind::Number { min: 0.0, max: 10_000_000.0 }, "0.0"),
        Field::default("firstStart", Kind::Boolean, "false"),
        Field::default("maxEntries", Kind::Integer { min: 1, max: MAX_ENTRIES as u64 }, "16"),
        Field::default("retryRatio", Kind::Number { min: 0.0, max: 1.0 }, "0.1"),
        Field::default("retrySlack", Kind::Number { min: 0.0, max: 1_000_000.0 }, "50.0"),
        Field::default("retryWindowMs", TIME_MS, "10000"),
        Field::default("probes", Kind::Number { min: 0.0, max: 100_000.0 }, "50.0"),
        Field::default("graceMs", TIME_MS, "30000"),
        Field::default("renewalMs", TIME_MS, "1500"),
        Field::default("quotaWindowMs", TIME_MS, "5000"),
        Field::default("quotaOverage", Kind::Number { min: 0.0, max: 100.0 }, "0.1"),
        Field::default("quotaSlack", Kind::Number { min: 0.0, max: 1_000_000.0 }, "20.0"),
        Field::default("warmupOverage", Kind::Number { min: 0.0, max: 1000.0 }, "1.5"),
        Field::default("warmupSlack", Kind::Number { min: 0.0, max: 1_000_000.0 }, "8.0"),
        Field::default("evacuationMs", TIME_MS, "5000"),
        Field::default("descriptors", Kind::Number { min: 64.0, max: 10_000_000.0 }, "4096.0"),
        Field::default("memoryMb", Kind::Number { min: 32.0, max: 10_000_000.0 }, "256.0"),
        Field::default("log", Kind::Text { max: 256 }, "\"info\""),
    ],
};

impl GatewaySettings {
    /// Reads the settings from a file of JSON with comments.
    pub fn load(path: &str) -> Result<Self> {
        Self::parse(&read(path)?)
    }

    /// Reads the settings from a file like [`Self::load`], but replaces optional fields that have
    /// problems by their defaults, so that one of them does not keep an entry from starting.
    pub fn load_usable(path: &str) -> Result<UsableSettings> {
        Self::parse_usable(&read(path)?, &Json::Null)
    }

    /// Reads the settings from a file that replace these; fields that have problems keep the values
    /// of these.
    pub fn load_successor(&self, path: &str) -> Result<UsableSettings> {
        let current = serde_json::to_value(self).expect("settings have no failing serializer");
        Self::parse_usable(&read(path)?, &current)
    }

    fn parse_usable(text: &str, fallback: &Json) -> Result<UsableSettings> {
        let (settings, problems) =
            check::deserialize_usable(text, &SCHEMA, check_listeners, fallback)?;
        Ok(UsableSettings { settings, problems })
    }

    /// Parses and checks settings.
    pub fn parse(text: &str) -> Result<Self> {
        check::deserialize(text, &SCHEMA, check_listeners)
    }

    /// Window over which retries are counted.
    pub fn retry_window(&self) -> Duration {
        Duration::from_millis(self.retry_window_ms)
    }

    /// Window in which the quota of a workspace holds.
    pub fn quota_window(&self) -> Duration {
        Duration::from_millis(self.quota_window_ms)
    }

    /// What is promised of the quotas of workspaces.
    pub fn quota_terms(&self) -> Terms {
        let (overage, slack) = (self.quota_overage, self.quota_slack);
        Terms { window: self.quota_window(), overage, slack }
    }

    /// Time from the request to evacuate a failure domain until its targets get no calls.
    pub fn evacuation_limit(&self) -> Duration {
        Duration::from_millis(self.evacuation_ms)
    }

    /// Interval at which targets renew their registrations.
    pub fn renewal_interval(&self) -> Duration {
        Duration::from_millis(self.renewal_ms)
    }

    /// Time from the termination signal until new calls are no longer accepted.
    pub fn shutdown_delay(&self) -> Duration {
        self.grace().mul_f64(ACCEPT_RATIO)
    }

    /// Time from the termination signal until running calls are aborted.
    pub fn shutdown_limit(&self) -> Duration {
        self.grace().saturating_sub(GRACE_MARGIN)
    }

    /// Bytes that the calls of all callers may occupy.
    pub fn call_memory_bytes(&self) -> usize {
        (self.memory_mb * BYTES_PER_MIB * CALL_MEMORY_RATIO) as usize
    }

    /// Bytes that the responses of all targets may occupy.
    pub fn response_memory_bytes(&self) -> usize {
        (self.memory_mb * BYTES_PER_MIB * RESPONSE_MEMORY_RATIO) as usize
    }

    fn grace(&self) -> Duration {
        Duration::from_millis(self.grace_ms)
    }
}

impl UsableSettings {
    /// Logs the fields that were replaced, and returns the settings.
    pub fn log_problems(self) -> GatewaySettings {
        for problem in &self.problems {
            log::error!(problem:% = problem; "invalid setting, another value is used");
        }
        self.settings
    }
}

fn read(path: &str) -> Result<String> {
    std::fs::read_to_string(path).map_err(|source| Error::File { path: path.into(), source })
}

fn check_listeners(root: &CheckedValue, report: &mut ProblemReport) {
    let names = ["listen", "ready", "admin", "share"];
    for (index, name) in names.iter().enumerate() {
        let Some(address) = root.string(name).filter(|address| !address.ends_with(":0")) else {
            continue;
        };
        let other = names[..index].iter().find(|other| root.string(other) == Some(address));
        if let Some(other) = other {
            let problem =
                format!("expected an address that no other listener has, found `{other}`'s");
            report.add(name, problem);
        }
    }
}
