//! Checks the guarantees against the calls that callers sent and back ends ran.

use std::collections::HashMap;
use std::time::Duration;

use crate::callers::Call;
use crate::faults::{Deployment, CALM_BEFORE_DRAIN};

/// How long a draining back end may still receive calls, if no other fault is in force.
const MAX_DRAIN_DELAY: Duration = Duration::from_secs(2);

/// Returns a line for each violation of a guarantee.
pub fn find_violations(calls: &[Call], deployment: &Deployment) -> Vec<String> {
    let mut runs: HashMap<String, u32> = HashMap::new();
    for back_end in &deployment.back_ends {
        for (id, _) in back_end.runs() {
            *runs.entry(id).or_default() += 1;
        }
    }
    let mut violations: Vec<String> = runs
        .iter()
        .filter(|(_, count)| **count > 1)
        .map(|(id, count)| format!("`{id}` ran {count} times"))
        .collect();
    for call in calls.iter().chain(&deployment.calls) {
        let ran = runs.contains_key(&call.id);
        match call.status {
            _ if call.misdirected => {
                violations.push(format!("`{}` got another call's answer", call.id))
            }
            Some(429 | 503) if ran => violations.push(format!("`{}` was refused and ran", call.id)),
            Some(200) if !ran => {
                violations.push(format!("`{}` was answered and did not run", call.id))
            }
            Some(404) => violations.push(format!(
                "`{}` was denied by `{}` with code {:?}",
                call.id, call.gateway, call.code
            )),
            None if ran && !hit_outage(call, deployment) => {
                violations.push(format!("`{}` ran and was cut without a kill", call.id));
            }
            _ => {}
        }
    }
    violations.extend(late_arrivals(deployment));
    if calls.iter().filter(|call| call.status == Some(200)).count() * 2 < calls.len() {
        violations.push("less than half of the calls were served".into());
    }
    violations
}

/// Whether the call's gateway was killed or paused while the call ran.
fn hit_outage(call: &Call, deployment: &Deployment) -> bool {
    let mut outages =
        deployment.gateway_outages.iter().filter(|(gateway, _)| *gateway == call.gateway);
    outages.any(|(_, interval)| interval.overlaps(call.sent, call.ended))
}

/// Calls that reached a draining back end too late, without another fault since shortly before the
/// drain.
fn late_arrivals(deployment: &Deployment) -> Vec<String> {
    let mut violations = Vec::new();
    for (number, since) in &deployment.drains {
        let back_end = &deployment.back_ends[*number];
        for (id, at) in back_end.runs() {
            let from = since.checked_sub(CALM_BEFORE_DRAIN).unwrap_or(*since);
            let gateway_outages = deployment.gateway_outages.iter().map(|(_, interval)| interval);
            let is_calm = !gateway_outages
                .chain(&deployment.store_outages)
                .any(|interval| interval.overlaps(from, at));
            if at > *since + MAX_DRAIN_DELAY && is_calm {
                violations.push(format!("`{id}` reached `{}` after its drain", back_end.id));
            }
        }
    }
    violations
}
