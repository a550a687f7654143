//! Settings for connections from callers.

use serde::Deserialize;

use crate::connection::limits::Limits;
use crate::prelude::*;

/// Limits for callers; omitted fields keep their defaults.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields, default)]
pub struct CallerSettings {
    /// Largest body of a call in bytes.
    pub body_limit: usize,
    /// Longest time for receiving the whole body of a call, in milliseconds.
    pub body_ms: u64,
    /// Longest time for receiving the head of a call, in milliseconds.
    pub head_ms: u64,
    /// Time without a call after which a connection is closed, in milliseconds.
    pub idle_ms: u64,
    /// Maximum number of connections from callers.
    pub max_connections: usize,
    /// Bytes of memory that all calls together may occupy; a call of up to 64 KiB is read even
    /// above this limit.
    pub memory_limit: usize,
    /// Longest time for sending a response to the caller, in milliseconds.
    pub write_ms: u64,
}

impl Default for CallerSettings {
    fn default() -> Self {
        let limits = Limits::default();
        Self {
            body_limit: limits.body_bytes,
            body_ms: limits.body_timeout.as_millis() as u64,
            head_ms: limits.head_timeout.as_millis() as u64,
            idle_ms: limits.idle_timeout.as_millis() as u64,
            max_connections: 4000,
            memory_limit: 128 * 1024 * 1024,
            write_ms: limits.write_timeout.as_millis() as u64,
        }
    }
}

impl From<&CallerSettings> for Limits {
    fn from(settings: &CallerSettings) -> Self {
        Self {
            body_bytes: settings.body_limit,
            body_timeout: Duration::from_millis(settings.body_ms),
            head_timeout: Duration::from_millis(settings.head_ms),
            idle_timeout: Duration::from_millis(settings.idle_ms),
            write_timeout: Duration::from_millis(settings.write_ms),
            ..Self::default()
        }
    }
}
