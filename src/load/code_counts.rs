//! Counts of calls by result code.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Number of calls that ended with each result code.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct CodeCounts {
    pub codes: BTreeMap<u16, u64>,
    /// Calls that ended without a response, and so without a code.
    pub missing: u64,
}

impl CodeCounts {
    /// Counts one call; `None` is a call without a response.
    pub fn add(&mut self, code: Option<Code>) {
        match code {
            Some(code) => *self.codes.entry(code.number()).or_default() += 1,
            None => self.missing += 1,
        }
    }

    pub fn merge(&mut self, other: &Self) {
        for (code, count) in &other.codes {
            *self.codes.entry(*code).or_default() += count;
        }
        self.missing += other.missing;
    }

    /// Number of all calls, with and without a response.
    pub fn total(&self) -> u64 {
        self.codes.values().sum::<u64>() + self.missing
    }

    /// Number of calls answered by a target.
    pub fn answered(&self) -> u64 {
        self.with_code(Code::Answered)
    }

    /// Number of calls with the given code.
    pub fn with_code(&self, code: Code) -> u64 {
        self.codes.get(&code.number()).copied().unwrap_or(0)
    }

    /// Number of calls that the load balancer guarantees were not run.
    pub fn not_run(&self) -> u64 {
        self.sum_where(Code::is_not_run)
    }

    /// Number of calls with an unknown outcome: they may have run.
    pub fn unknown(&self) -> u64 {
        self.sum_where(Code::is_unknown)
    }

    fn sum_where(&self, matches: fn(Code) -> bool) -> u64 {
        let matching = self
            .codes
            .iter()
            .filter(|(number, _)| Code::from_number(**number).is_some_and(matches));
        matching.map(|(_, count)| count).sum()
    }
}
