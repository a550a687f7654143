//! What the entries report of themselves.

use serde::{Deserialize, Serialize};

use super::timeline::TIMEOUT;
use crate::connection::client::Client;
use crate::prelude::*;

/// The status of one entry.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct EntryStatus {
    pub admin: SocketAddr,
    /// Absent if the entry does not respond.
    pub report: Option<EntryReport>,
}

/// The parts of `/status` that commands use; an older entry may lack some.
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
    pub formats: Vec<u32>,
    pub unknown_format: Option<u32>,
    pub known: bool,
    pub lag: u64,
    pub log_fault: Option<String>,
}

impl EntryStatus {
    /// Asks an entry.
    pub async fn ask(admin: SocketAddr) -> Self {
        let call = Call::new(Method::GET, Uri::from_static("/status"));
        let answer = Client::new(admin, TIMEOUT).call(&call).await.ok();
        let report = answer.and_then(|answer| serde_json::from_slice(&answer.body).ok());
        Self { admin, report }
    }

    /// Asks all entries at once.
    pub async fn ask_all(admins: &[SocketAddr]) -> Vec<Self> {
        let tasks: Vec<_> = admins.iter().map(|admin| monoio::spawn(Self::ask(*admin))).collect();
        let mut all = Vec::new();
        for task in tasks {
            all.push(task.await);
        }
        all
    }

    /// Number of the revision in force; 0 if there is none or the entry does not respond.
    pub fn revision(&self) -> u64 {
        self.report.as_ref().and_then(|report| report.revision).unwrap_or(0)
    }

    /// What an operator should look at; empty if the entry is well.
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
