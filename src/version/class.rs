//! Classes of calls.

use std::time::Duration;

use http::Method;
use serde::{Deserialize, Serialize};

/// Expected duration of the calls of a class.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Length {
    /// Many times longer than a short call, such as a log pull.
    Long,
    #[default]
    Short,
}

/// A class of calls, matched by method and path, with its deadline and retry safety.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Class {
    pub name: String,
    pub methods: Vec<Method>,
    /// Prefix of the full path, matched by whole segments.
    pub prefix: String,
    pub deadline: Duration,
    /// Whether a call may run more than once.
    pub idempotent: bool,
    pub length: Length,
}
