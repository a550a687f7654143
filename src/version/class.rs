//! A class of calls.

use std::time::Duration;

use http::Method;
use serde::{Deserialize, Serialize};

/// Whether calls of a class are expected to be short or long.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Length {
    /// Many times longer than short work, such as a log pull.
    Long,
    #[default]
    Short,
}

/// Calls with a common deadline and the same answer to whether they may be repeated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Class {
    pub name: String,
    /// Methods of the class.
    pub methods: Vec<Method>,
    /// Prefix of the whole path, matched segment by segment.
    pub prefix: String,
    pub deadline: Duration,
    pub idempotent: bool,
    pub length: Length,
}
