//! The settings of one entry.

use serde::Deserialize;

use super::claims::limits::ClaimLimits;
use super::Result;
use crate::prelude::*;

/// What an entry learns from its settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
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
    /// Bounds of the claims for keyed calls.
    #[serde(default)]
    pub claims: ClaimLimits,
    /// Log filter.
    #[serde(default = "default_log")]
    pub log: String,
}

fn default_log() -> String {
    "info".into()
}

impl Settings {
    /// Reads the settings from JSON with comments.
    pub fn load(path: &str) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| Error::File { path: path.into(), source })?;
        Self::parse(&text)
    }

    /// Parses settings.
    pub fn parse(text: &str) -> Result<Self> {
        let problem = |text: String| Error::Document { problems: vec![text] };
        let value = jsonc_parser::parse_to_serde_value(text, &Default::default())
            .map_err(|error| problem(error.to_string()))?
            .ok_or_else(|| problem("the settings are empty".into()))?;
        serde_json::from_value(value).map_err(|error| problem(error.to_string()))
    }
}
