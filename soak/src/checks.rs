//! The promises, checked against what callers and back ends saw.

use std::collections::HashMap;
use std::time::Duration;

use crate::callers::Call;
use crate::faults::{Stage, CALM_BEFORE};

/// Time in which a draining back end may still get calls, while nothing else is out of order.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// The promises that were broken.
pub fn judge(calls: &[Call], stage: &Stage) -> Vec<String> {
    let mut runs: HashMap<String, u32> = HashMap::new();
    for back_end in &stage.back_ends {
        for (id, _) in back_end.runs() {
            *runs.entry(id).or_default() += 1;
        }
    }
    let mut findings: Vec<String> = runs
        .iter()
        .filter(|(_, count)| **count > 1)
        .map(|(id, count)| format!("`{id}` ran {count} times"))
        .collect();
    for call in calls {
        let ran = runs.contains_key(&call.id);
        match call.status {
            _ if call.foreign => findings.push(format!("`{}` got another call's answer", call.id)),
            Some(429 | 503) if ran => findings.push(format!("`{}` was refused and ran", call.id)),
            Some(200) if !ran => {
                findings.push(format!("`{}` was answered and did not run", call.id))
            }
            Some(404) => findings.push(format!(
                "`{}` was denied by `{}` with code {:?}",
                call.id, call.front, call.code
            )),
            None if ran && !was_disturbed(call, stage) => {
                findings.push(format!("`{}` ran and was cut without a kill", call.id));
            }
            _ => {}
        }
    }
    findings.extend(late_arrivals(stage));
    if calls.iter().filter(|call| call.status == Some(200)).count() * 2 < calls.len() {
        findings.push("less than half of the calls were served".into());
    }
    findings
}

fn was_disturbed(call: &Call, stage: &Stage) -> bool {
    let mut spans = stage.disturbed.iter().filter(|(front, _)| *front == call.front);
    spans.any(|(_, span)| span.overlaps(call.sent, call.ended))
}

/// Calls that reached a draining back end too late, in calm times.
fn late_arrivals(stage: &Stage) -> Vec<String> {
    let mut findings = Vec::new();
    for (number, since) in &stage.drained {
        let back_end = &stage.back_ends[*number];
        for (id, at) in back_end.runs() {
            let from = since.checked_sub(CALM_BEFORE).unwrap_or(*since);
            let disturbed = stage.disturbed.iter().map(|(_, span)| span);
            let is_calm = !disturbed.chain(&stage.away).any(|span| span.overlaps(from, at));
            if at > *since + DRAIN_TIME && is_calm {
                findings.push(format!("`{id}` reached `{}` after its drain", back_end.id));
            }
        }
    }
    findings
}
