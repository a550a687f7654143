//! Checks the promises about keys and quotas.

use std::collections::HashMap;
use std::time::Duration;

use crate::call::Call;
use crate::checks::max_in_window;
use crate::deployment::Deployment;
use crate::fixture::back_end::BackEnd;
use crate::fixture::run::Run;
use crate::fixture::LASTING_KEY;
use crate::interval::stretched_end;
use crate::key_book::{Holding, SMALL_BURST, SMALL_RATE_PER_S, SMALL_WORKSPACE};

/// Later than this after the store has accepted a version, the one before it has no effect.
const VERSION_BOUND: Duration = Duration::from_millis(2500);

const QUOTA_WINDOW: Duration = Duration::from_secs(5);
/// Factor and addition by which a workspace may exceed its quota.
const QUOTA_OVERAGE: f64 = 1.1;
const QUOTA_SLACK: f64 = 20.0;

/// Returns a line for each violation.
pub fn find_violations(calls: &HashMap<&str, &Call>, deployment: &Deployment) -> Vec<String> {
    let holdings = deployment.keys.lock().expect("holders of the keys do not panic").holdings();
    let runs: Vec<Run> = deployment.back_ends.iter().flat_map(BackEnd::runs).collect();
    let mut violations = Vec::new();
    for run in &runs {
        if run.has_key {
            violations.push(format!("`{}` reached a back end with its key", run.id));
        }
        // The first calls of the connections that are kept for a stop have no record.
        let key = calls.get(&*run.id).map_or(LASTING_KEY, |call| &call.key);
        if !holdings.iter().any(|holding| allows(holding, key, run, deployment)) {
            let (id, workspace) = (&run.id, &run.workspace);
            violations.push(format!("`{id}` with `{key}` ran for the workspace {workspace:?}"));
        }
    }
    let is_small = |run: &&Run| run.workspace.as_deref() == Some(SMALL_WORKSPACE);
    let small: Vec<Run> = runs.iter().filter(is_small).cloned().collect();
    let most = max_in_window(&small, calls, QUOTA_WINDOW);
    let quota = SMALL_RATE_PER_S * QUOTA_WINDOW.as_secs_f64() + SMALL_BURST;
    let limit = quota * QUOTA_OVERAGE + QUOTA_SLACK;
    if most as f64 > limit {
        violations.push(format!("{most} calls ran in a window of the quota, limit {limit}"));
    }
    violations
}

/// Whether a key's holding allows a run for the workspace that the run names.
fn allows(holding: &Holding, key: &str, run: &Run, deployment: &Deployment) -> bool {
    let end = |to| stretched_end(to, VERSION_BOUND, &deployment.store_outages);
    holding.key == key
        && run.workspace.as_deref() == Some(holding.workspace)
        && holding.from <= run.at
        && holding.to.is_none_or(|to| run.at <= end(to))
}
