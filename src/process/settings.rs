//! The settings of one entry.

use serde::Deserialize;

use super::caller_settings::CallerSettings;
use super::claims::limits::ClaimSettings;
use super::peers::settings::PeerSettings;
use super::shutdown::ShutdownSettings;
use super::Result;
use crate::prelude::*;
use crate::version::check;
use crate::version::check::checked_value::CheckedValue;
use crate::version::check::problem::ProblemReport;
use crate::version::check::schema::{Field, Kind, Schema};

/// Longest retention of the log that can be configured, 90 days in milliseconds.
const MAX_RETENTION_MS: u64 = 90 * 24 * 3600 * 1000;

/// The contents of an entry's settings file; each field has a row in `SCHEMA`.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Settings {
    /// Name of the entry, unique in its environment.
    pub name: String,
    /// Address of the listener for callers.
    pub listen: SocketAddr,
    /// Address of the admin listener, which serves metrics, readiness and status.
    pub admin: SocketAddr,
    /// Failure domain of the entry's VM.
    pub domain: String,
    /// Address of the platform, which serves the log and the list of VMs.
    pub platform: SocketAddr,
    /// Keys and addresses for peers; if omitted, the entry runs without peers.
    #[serde(default)]
    pub peers: Option<PeerSettings>,
    /// How long the platform's log keeps a record, in milliseconds.
    pub retention_ms: u64,
    /// Limits of the claims for calls with an idempotency key.
    #[serde(default)]
    pub claims: ClaimSettings,
    /// Log filter, such as `info`.
    pub log: String,
    /// Limits for callers.
    #[serde(default)]
    pub callers: CallerSettings,
    /// Delays and timeouts of a shutdown.
    #[serde(default)]
    pub shutdown: ShutdownSettings,
}

/// The fields of a settings file, with their defaults.
pub const SCHEMA: Schema = Schema {
    fields: &[
        Field::required("name", Kind::Name),
        Field::required("listen", Kind::Listen),
        Field::required("admin", Kind::Listen),
        Field::required("domain", Kind::Name),
        Field::required("platform", Kind::Address),
        // One day. With a value above the log's actual retention, the log drops the document before
        // the entry renews it.
        Field::default(
            "retentionMs",
            Kind::Integer { min: 500, max: MAX_RETENTION_MS },
            "86400000",
        ),
        Field::optional("claims", Kind::Object(&CLAIMS)),
        Field::default("log", Kind::Text { max: 256 }, "\"info\""),
        Field::optional("callers", Kind::Object(&CALLERS)),
        Field::optional("peers", Kind::Object(&PEERS)),
        Field::optional("shutdown", Kind::Object(&SHUTDOWN)),
    ],
};

/// Longest time that can be configured, one hour in milliseconds.
const MAX_TIME_MS: u64 = 3_600_000;
/// Largest limit on the size of a body that can be configured.
const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;
/// Largest limit on the number of connections that can be configured.
const MAX_CONNECTIONS: u64 = 60_000;
const TIME_MS: Kind = Kind::Integer { min: 0, max: MAX_TIME_MS };

/// Largest memory limit for calls that can be configured, 1 TiB.
const MAX_MEMORY_BYTES: u64 = 1 << 40;

const CALLERS: Schema = Schema {
    fields: &[
        Field::optional("bodyLimit", Kind::Integer { min: 0, max: MAX_BODY_BYTES }),
        Field::optional("bodyMs", TIME_MS),
        Field::optional("headMs", TIME_MS),
        Field::optional("idleMs", TIME_MS),
        Field::optional("maxConnections", Kind::Integer { min: 1, max: MAX_CONNECTIONS }),
        Field::optional("memoryLimit", Kind::Integer { min: 0, max: MAX_MEMORY_BYTES }),
        Field::optional("writeMs", TIME_MS),
    ],
};

/// Longest path of a file.
const MAX_PATH_LENGTH: usize = 4096;
/// Maximum number of static peers.
const MAX_STATIC_PEERS: usize = 64;

const PEERS: Schema = Schema {
    fields: &[
        Field::required("address", Kind::Address),
        Field::required("authority", Kind::Text { max: MAX_PATH_LENGTH }),
        Field::required("certificate", Kind::Text { max: MAX_PATH_LENGTH }),
        Field::required("key", Kind::Text { max: MAX_PATH_LENGTH }),
        Field::default(
            "static",
            Kind::List { of: &Kind::Address, min: 0, max: MAX_STATIC_PEERS },
            "[]",
        ),
    ],
};

/// Largest size of the response cache for duplicates that can be configured.
const MAX_RESPONSE_BYTES: u64 = 1024 * 1024 * 1024;
/// Largest number of claims in memory that can be configured.
const MAX_CLAIMS: u64 = 10_000_000;

const CLAIMS: Schema = Schema {
    fields: &[
        Field::optional("responseBytes", Kind::Integer { min: 0, max: MAX_RESPONSE_BYTES }),
        Field::optional("tableEntries", Kind::Integer { min: 1, max: MAX_CLAIMS }),
        Field::optional("windowMs", Kind::Integer { min: 1, max: MAX_RETENTION_MS / 2 }),
    ],
};

const SHUTDOWN: Schema =
    Schema { fields: &[Field::optional("delayMs", TIME_MS), Field::optional("limitMs", TIME_MS)] };

impl Settings {
    /// Reads and checks the settings from a file of JSON with comments.
    pub fn load(path: &str) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| Error::File { path: path.into(), source })?;
        Self::parse(&text)
    }

    /// Parses and checks the settings.
    pub fn parse(text: &str) -> Result<Self> {
        check::deserialize(text, &SCHEMA, check_addresses)
    }

    /// How long the platform's log keeps a record.
    pub fn retention(&self) -> Duration {
        Duration::from_millis(self.retention_ms)
    }
}

fn check_addresses(root: &CheckedValue, report: &mut ProblemReport) {
    let listen = root.string("listen");
    if listen.is_some_and(|listen| !listen.ends_with(":0")) && listen == root.string("admin") {
        report.add("admin", "expected another address than `listen`".into());
    }
}
