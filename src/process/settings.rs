//! The settings of one entry.

use serde::Deserialize;

use super::caller_settings::CallerSettings;
use super::claims::limits::ClaimSettings;
use super::peers::settings::PeerSettings;
use super::shutdown::ShutdownSettings;
use super::Result;
use crate::prelude::*;
use crate::version::check;
use crate::version::check::part::Part;
use crate::version::check::problem::Report;
use crate::version::check::schema::{Field, Kind, Schema};

/// Longest retention of the log that can be stated, 90 days in milliseconds.
const MAX_RETENTION_MS: u64 = 90 * 24 * 3600 * 1000;

/// What an entry learns from its settings file; each field has a row in `SCHEMA`.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Settings {
    /// Name of the entry, unique in its environment.
    pub name: String,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for metrics, readiness and status.
    pub admin: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Address of the platform's log and list of VMs.
    pub platform: SocketAddr,
    /// Keys and addresses for peers; without them the entry runs without peers.
    #[serde(default)]
    pub peers: Option<PeerSettings>,
    /// How long the platform's log keeps a record, in milliseconds.
    pub retention_ms: u64,
    /// Bounds of the claims for keyed calls.
    #[serde(default)]
    pub claims: ClaimSettings,
    /// Log filter.
    pub log: String,
    /// Bounds on callers.
    #[serde(default)]
    pub callers: CallerSettings,
    /// Times of a shutdown.
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
        // One day; a value above the log's own lets the document expire.
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

/// Longest time that can be stated, one hour in milliseconds.
const MAX_TIME_MS: u64 = 3_600_000;
/// Largest body that can be allowed, in bytes.
const MAX_BODY: u64 = 64 * 1024 * 1024;
/// Most connections that can be allowed.
const MAX_CONNECTIONS: u64 = 60_000;
const TIME: Kind = Kind::Integer { min: 0, max: MAX_TIME_MS };

/// Most memory for calls that can be stated, 1 TiB.
const MAX_MEMORY: u64 = 1 << 40;

const CALLERS: Schema = Schema {
    fields: &[
        Field::optional("bodyLimit", Kind::Integer { min: 0, max: MAX_BODY }),
        Field::optional("bodyMs", TIME),
        Field::optional("headMs", TIME),
        Field::optional("idleMs", TIME),
        Field::optional("maxConnections", Kind::Integer { min: 1, max: MAX_CONNECTIONS }),
        Field::optional("memoryLimit", Kind::Integer { min: 0, max: MAX_MEMORY }),
        Field::optional("writeMs", TIME),
    ],
};

/// Longest path of a file.
const MAX_PATH: usize = 4096;
/// Most static peers.
const MAX_STATIC: usize = 64;

const PEERS: Schema = Schema {
    fields: &[
        Field::required("address", Kind::Address),
        Field::required("authority", Kind::Text { max: MAX_PATH }),
        Field::required("certificate", Kind::Text { max: MAX_PATH }),
        Field::required("key", Kind::Text { max: MAX_PATH }),
        Field::default("static", Kind::List { of: &Kind::Address, min: 0, max: MAX_STATIC }, "[]"),
    ],
};

/// Most bytes of responses that can be kept for duplicates.
const MAX_RESPONSES: u64 = 1024 * 1024 * 1024;
/// Most claims that can be kept in memory.
const MAX_CLAIMS: u64 = 10_000_000;

const CLAIMS: Schema = Schema {
    fields: &[
        Field::optional("responseBytes", Kind::Integer { min: 0, max: MAX_RESPONSES }),
        Field::optional("tableEntries", Kind::Integer { min: 1, max: MAX_CLAIMS }),
        Field::optional("windowMs", Kind::Integer { min: 1, max: MAX_RETENTION_MS / 2 }),
    ],
};

const SHUTDOWN: Schema =
    Schema { fields: &[Field::optional("delayMs", TIME), Field::optional("limitMs", TIME)] };

impl Settings {
    /// Reads the settings from a file of JSON with comments.
    pub fn load(path: &str) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| Error::File { path: path.into(), source })?;
        Self::parse(&text)
    }

    /// Parses and checks settings.
    pub fn parse(text: &str) -> Result<Self> {
        check::read(text, &SCHEMA, check_addresses)
    }

    /// How long the platform's log keeps a record.
    pub fn retention(&self) -> Duration {
        Duration::from_millis(self.retention_ms)
    }
}

fn check_addresses(root: &Part, report: &mut Report) {
    let listen = root.text("listen");
    if listen.is_some_and(|listen| !listen.ends_with(":0")) && listen == root.text("admin") {
        report.add("admin", "expected another address than `listen`".into());
    }
}
