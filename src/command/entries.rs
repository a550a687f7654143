//! Queries the status of entries through their admin addresses.

use serde::{Deserialize, Serialize};

use super::timeline::REQUEST_TIMEOUT;
use crate::connection::client::Client;
use crate::prelude::*;

/// The response of one entry to a status query.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct EntryStatus {
    pub admin: SocketAddr,
    /// Absent if the entry does not respond.
    pub report: Option<EntryReport>,
}

/// The fields of `/status` that commands use. An older entry may not send all of them; a missing
/// field has its default.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(rename_all = "camelCase", default)]
pub struct EntryReport {
    pub name: String,
    pub domain: String,
    pub ready: bool,
    pub revision: Option<u64>,
    pub configuration: ConfigurationReport,
}

/// The entry's position in the stream `config`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(rename_all = "camelCase", default)]
pub struct ConfigurationReport {
    pub environment: Option<String>,
    /// Document formats that the entry supports; empty if it does not report them.
    pub formats: Vec<u32>,
    /// Format of a record that the entry cannot read.
    pub unknown_format: Option<u32>,
    /// Whether the entry has determined the revision in force.
    pub known: bool,
    /// Records of the stream that the entry has not read yet.
    pub lag: u64,
    pub log_fault: Option<String>,
}

impl EntryStatus {
    /// Queries one entry.
    pub async fn fetch(admin: SocketAddr) -> Self {
        let call = Call::new(Method::GET, Uri::from_static("/status"));
        let response = Client::new(admin, REQUEST_TIMEOUT).call(&call).await.ok();
        let report = response.and_then(|response| serde_json::from_slice(&response.body).ok());
        Self { admin, report }
    }

    /// Queries all entries concurrently; the results are in the order of `admins`.
    pub async fn fetch_all(admins: &[SocketAddr]) -> Vec<Self> {
        let tasks: Vec<_> = admins.iter().map(|admin| monoio::spawn(Self::fetch(*admin))).collect();
        let mut statuses = Vec::new();
        for task in tasks {
            statuses.push(task.await);
        }
        statuses
    }

    /// Number of the revision in force; 0 if there is none or the entry does not respond.
    pub fn revision(&self) -> u64 {
        self.report.as_ref().and_then(|report| report.revision).unwrap_or(0)
    }

    /// The first problem that needs an operator's attention; empty if the entry is healthy.
    pub fn remark(&self) -> String {
        let Some(report) = &self.report else { return "does not respond".into() };
        let configuration = &report.configuration;
        if let Some(format) = configuration.unknown_format {
            return format!("does not know format {format}");
        }
        if let Some(fault) = &configuration.log_fault {
            return format!("log: {fault}");
        }
        if !configuration.known {
            return "waits for a renewal".into();
        }
        if !report.ready {
            return "not ready".into();
        }
        String::new()
    }
}
