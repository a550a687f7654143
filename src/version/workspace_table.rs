//! The workspaces of one version of the routes, found by the keys of their callers.

use std::collections::hash_map::Entry;
use std::collections::{HashMap, HashSet};
use std::fmt;

use super::registration::check_id;
use crate::prelude::*;

/// Longest key, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// Quota of a workspace whose rate or burst is unusable, in calls per second and calls. A rate of 0
/// would mean no limit.
const FALLBACK_RATE: f64 = 1.0;
const FALLBACK_BURST: f64 = 1.0;

/// A workspace as the configuration names it.
#[derive(Clone, Default)]
pub struct WorkspaceRow {
    pub name: String,
    /// Secret; they are never logged.
    pub keys: Vec<String>,
    /// Urgency of the workspace's calls, before that of their routes; 0 is the most urgent.
    pub priority: Option<u32>,
    /// Calls per second; no limit if absent or 0.
    pub rate: Option<f64>,
    /// Calls beyond the rate.
    pub burst: Option<f64>,
}

/// Calls that a workspace may have run, by all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Calls per second.
    pub rate: f64,
    /// Calls beyond the rate.
    pub burst: f64,
}

/// What an entry knows of a workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkspacePlan {
    pub name: Rc<str>,
    pub priority: Option<u32>,
    /// `None` if the workspace has no limit.
    pub quota: Option<Quota>,
}

/// Position of a workspace in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct WorkspaceIndex(usize);

/// The workspaces of one version.
#[derive(Default)]
pub struct WorkspaceTable {
    plans: Vec<Rc<WorkspacePlan>>,
    keys: HashMap<Bytes, WorkspaceIndex>,
    /// Distinct priorities, the most urgent first.
    priorities: Vec<u32>,
}

impl fmt::Debug for WorkspaceTable {
    /// Leaves out the keys, which are secret.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("WorkspaceTable").field("plans", &self.plans).finish_non_exhaustive()
    }
}

impl WorkspaceTable {
    /// Builds the table. Unusable names, keys and quotas are left out or replaced, and reported to
    /// `report` without the keys.
    pub fn new(rows: Vec<WorkspaceRow>, report: &mut impl FnMut(String)) -> Self {
        let mut table = Self::default();
        let mut names = HashSet::new();
        let mut shared_keys = HashSet::new();
        for (row, workspace) in rows.into_iter().enumerate() {
            if let Err(error) = check_id("name", &workspace.name) {
                report(format!("workspace in row `{row}`: {error}"));
                continue;
            }
            if !names.insert(workspace.name.clone()) {
                report(format!("workspace `{}` stands twice", workspace.name));
                continue;
            }
            let index = WorkspaceIndex(table.plans.len());
            for key in &workspace.keys {
                if !is_usable_key(key) {
                    report(format!("workspace `{}` has an unusable key", workspace.name));
                    continue;
                }
                match table.keys.entry(Bytes::copy_from_slice(key.as_bytes())) {
                    Entry::Vacant(entry) => {
                        entry.insert(index);
                    }
                    Entry::Occupied(entry) if *entry.get() != index => {
                        report(format!("workspace `{}` has another one's key", workspace.name));
                        shared_keys.insert(entry.key().clone());
                    }
                    Entry::Occupied(_) => {}
                }
            }
            let quota = quota(&workspace).unwrap_or_else(|| {
                report(format!("workspace `{}` has an unusable quota", workspace.name));
                Some(Quota { rate: FALLBACK_RATE, burst: FALLBACK_BURST })
            });
            let (name, priority) = (workspace.name.into(), workspace.priority);
            table.priorities.extend(priority);
            table.plans.push(Rc::new(WorkspacePlan { name, priority, quota }));
        }
        // A key that two workspaces hold says nothing about its caller.
        table.keys.retain(|key, _| !shared_keys.contains(key));
        table.priorities.sort_unstable();
        table.priorities.dedup();
        table
    }

    /// Finds the workspace that holds a key.
    pub fn find(&self, key: &[u8]) -> Option<&Rc<WorkspacePlan>> {
        self.keys.get(key).map(|index| &self.plans[index.0])
    }

    /// All workspaces.
    pub fn plans(&self) -> &[Rc<WorkspacePlan>] {
        &self.plans
    }

    /// Number of distinct priorities that are more urgent than `priority`.
    pub fn rank(&self, priority: u32) -> u32 {
        self.priorities.partition_point(|other| *other < priority) as u32
    }
}

fn is_usable_key(key: &str) -> bool {
    (1..=MAX_KEY_BYTES).contains(&key.len()) && key.bytes().all(|byte| byte.is_ascii_graphic())
}

/// The quota of a workspace, `Some(None)` if it has no limit; `None` if the values are unusable.
fn quota(row: &WorkspaceRow) -> Option<Option<Quota>> {
    let (rate, burst) = (row.rate.unwrap_or_default(), row.burst.unwrap_or_default());
    if [rate, burst].iter().any(|value| !value.is_finite() || *value < 0.0) {
        return None;
    }
    Some((rate > 0.0).then_some(Quota { rate, burst }))
}
