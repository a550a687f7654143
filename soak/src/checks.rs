//! Checks the guarantees against the calls that callers sent and back ends ran.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use crate::call::Call;
use crate::deployment::Deployment;
use crate::faults::CALM_BEFORE_DRAIN;
use crate::fixture::back_end::BackEnd;
use crate::fixture::run::Run;
use crate::fixture::LASTING_KEY;
use crate::interval::stretched_end;
use crate::key_book::{COLD_SERVICE, COLD_SERVICE_PER_S, SMALL_KEY, WARMUP_PER_S};
use crate::trials::EVACUATION_BOUND;
use crate::workspace_checks;

/// How long a draining back end may still receive calls, if no other fault is in force.
const MAX_DRAIN_DELAY: Duration = Duration::from_secs(2);

/// Factor and addition by which the requests of a second may exceed what a cold back end bears.
const WARMUP_OVERAGE: f64 = 1.5;
const WARMUP_SLACK: f64 = 8.0;
const COLD_WINDOW: Duration = Duration::from_secs(1);

/// Returns a line for each violation of a guarantee.
pub fn find_violations(calls: &[Call], deployment: &Deployment) -> Vec<String> {
    let mut runs: HashMap<String, u32> = HashMap::new();
    for back_end in &deployment.back_ends {
        for run in back_end.runs() {
            *runs.entry(run.id).or_default() += 1;
        }
    }
    // Safe requests may run again after a lost response.
    let safe: HashSet<&str> =
        calls.iter().filter(|call| call.is_safe).map(|call| &*call.id).collect();
    let mut violations: Vec<String> = runs
        .iter()
        .filter(|(id, count)| **count > 1 && !safe.contains(&***id))
        .map(|(id, count)| format!("`{id}` ran {count} times"))
        .collect();
    for call in calls.iter().chain(&deployment.calls) {
        let ran = runs.contains_key(&call.id);
        match call.status {
            _ if call.misdirected => {
                violations.push(format!("`{}` got another call's answer", call.id))
            }
            Some(401) if [LASTING_KEY, SMALL_KEY].contains(&&*call.key) => {
                violations.push(format!("`{}` was denied its key by `{}`", call.id, call.gateway))
            }
            Some(401 | 429 | 503) if ran => {
                violations.push(format!("`{}` was refused and ran", call.id))
            }
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
    violations.extend(evacuated_arrivals(deployment));
    let all: HashMap<&str, &Call> =
        calls.iter().chain(&deployment.calls).map(|call| (&*call.id, call)).collect();
    violations.extend(cold_arrivals(&all, deployment));
    violations.extend(workspace_checks::find_violations(&all, deployment));
    // Calls with other keys are refused by design.
    let lasting = calls.iter().filter(|call| call.key == LASTING_KEY);
    let served = lasting.clone().filter(|call| call.status == Some(200)).count();
    if served * 2 < lasting.count() {
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
        for Run { id, at, .. } in back_end.runs() {
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

/// Requests that reached an evacuated zone too late, and zones to which none returned.
fn evacuated_arrivals(deployment: &Deployment) -> Vec<String> {
    let mut violations = Vec::new();
    for evacuation in &deployment.evacuations {
        let bound = stretched_end(evacuation.accepted, EVACUATION_BOUND, &deployment.store_outages);
        let in_zone = deployment.back_ends.iter().filter(|one| one.zone == evacuation.zone);
        for run in in_zone.flat_map(BackEnd::runs) {
            if run.at > bound && evacuation.ended.is_none_or(|ended| run.at < ended) {
                let late = run.at - bound;
                violations.push(format!("`{}` reached an evacuated zone {late:?} late", run.id));
            }
        }
        if !deployment.has_returned(evacuation) {
            violations.push(format!("no request returned to the zone `{}`", evacuation.zone));
        }
    }
    violations
}

/// Seconds in which a cold back end got too many requests.
fn cold_arrivals(calls: &HashMap<&str, &Call>, deployment: &Deployment) -> Vec<String> {
    let mut violations = Vec::new();
    for (number, warmup) in &deployment.cold_returns {
        let back_end = &deployment.back_ends[*number];
        let is_cold = |run: &Run| run.at >= warmup.from && run.at <= warmup.to;
        let runs: Vec<Run> = back_end.runs().into_iter().filter(is_cold).collect();
        let most = max_in_window(&runs, calls, COLD_WINDOW);
        let rate = match &*back_end.service {
            COLD_SERVICE => COLD_SERVICE_PER_S,
            _ => WARMUP_PER_S,
        };
        if most as f64 > rate * WARMUP_OVERAGE + WARMUP_SLACK {
            let id = &back_end.id;
            violations.push(format!("cold back end `{id}` got {most} requests in a second"));
        }
    }
    violations
}

/// Most requests that were sent and have arrived in the same window of a given length. A request of
/// which only the arrival is known counts as sent then.
pub fn max_in_window(runs: &[Run], calls: &HashMap<&str, &Call>, length: Duration) -> usize {
    let sent = |run: &Run| calls.get(&*run.id).map_or(run.at, |call| call.sent);
    let times: Vec<_> = runs.iter().map(|run| (sent(run), run.at)).collect();
    let count = |start| {
        let is_in = |(sent, at): &&(_, _)| *sent >= start && *at <= start + length;
        times.iter().filter(is_in).count()
    };
    times.iter().map(|(sent, _)| count(*sent)).max().unwrap_or(0)
}
