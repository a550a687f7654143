//! Counts of results by code.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// How many calls ended with each code; calls without an answer have none.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct CodeCounts {
    pub codes: BTreeMap<u16, u64>,
    /// Calls whose connection ended without an answer.
    pub missing: u64,
}

impl CodeCounts {
    /// Adds one call.
    pub fn add(&mut self, code: Option<Code>) {
        match code {
            Some(code) => *self.codes.entry(code.number()).or_default() += 1,
            None => self.missing += 1,
        }
    }

    /// Adds the counts of another set of calls.
    pub fn merge(&mut self, other: &Self) {
        for (code, count) in &other.codes {
            *self.codes.entry(*code).or_default() += count;
        }
        self.missing += other.missing;
    }

    /// All calls.
    pub fn total(&self) -> u64 {
        self.codes.values().sum::<u64>() + self.missing
    }

    /// Calls answered by a target.
    pub fn answered(&self) -> u64 {
        self.of(Code::Answered)
    }

    /// Calls with one code.
    pub fn of(&self, code: Code) -> u64 {
        self.codes.get(&code.number()).copied().unwrap_or(0)
    }

    /// Calls that the balancer promises not to have run.
    pub fn not_run(&self) -> u64 {
        self.sum(Code::is_not_run)
    }

    /// Calls that may have run.
    pub fn unknown(&self) -> u64 {
        self.sum(Code::is_unknown)
    }

    fn sum(&self, matches: fn(Code) -> bool) -> u64 {
        let matching = self
            .codes
            .iter()
            .filter(|(number, _)| Code::from_number(**number).is_some_and(matches));
        matching.map(|(_, count)| count).sum()
    }
}
