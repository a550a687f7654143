//! Replays recorded traces against a deployment on loopback and checks their expected outcomes.

use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use cornellink::demo::deployment::{Deployment, EBRO, HUNGARY};
use cornellink::edge::stand_in::target::TargetFaults;
use cornellink::load::outcome::ExpectedOutcome;
use cornellink::load::report::Report;
use cornellink::load::send::{send, SendOptions};
use cornellink::load::trace;
use cornellink::process::runtime::block_on;

fn path(name: &str) -> String {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("traces");
    folder.join(name).display().to_string()
}

/// Replays a trace while `inject_faults` runs, and checks its expected outcome.
fn replay(example: &str, name: &str, inject_faults: impl FnOnce(&Deployment) + Send) {
    let deployment = Deployment::start(example).unwrap();
    let calls = trace::load(&path(&format!("{name}.jsonl"))).unwrap();
    let outcome = ExpectedOutcome::load(&path(&format!("{name}.outcome.jsonc"))).unwrap();
    let options = SendOptions { entries: deployment.entries.clone(), speed: 1.0 };

    let outcomes = thread::scope(|scope| {
        scope.spawn(|| inject_faults(&deployment));
        block_on(send(&calls, options)).unwrap().unwrap()
    });

    let report = Report::new(&calls, &outcomes);
    assert_eq!(outcome.violations(&report), Vec::<String>::new(), "{}", report.to_table());
    assert_eq!(deployment.duplicate_runs(), 0);
}

/// Guards against lost, duplicated or refused calls in the load spike when the counters open.
#[test]
fn opening_trace_meets_its_outcome() {
    replay(HUNGARY, "opening", |_| {});
}

/// Guards against lost, duplicated or refused calls while the load rises to its peak at dawn.
#[test]
fn dawn_rush_trace_meets_its_outcome() {
    replay(EBRO, "dawn-rush", |_| {});
}

/// Guards against short checks that fail while they queue behind long log pulls, and against log
/// pulls that are never run.
#[test]
fn month_end_trace_meets_its_outcome() {
    replay(EBRO, "month-end", |_| {});
}

/// Guards against failed lookups while a target fails at the load peak, and against retries beyond
/// their budget.
#[test]
fn target_failure_trace_meets_its_outcome() {
    replay(HUNGARY, "target-failure", |deployment| {
        thread::sleep(Duration::from_millis(1600));
        let failing = TargetFaults { failing: true, ..TargetFaults::default() };
        deployment.set_faults(0, 0, failing);
        thread::sleep(Duration::from_millis(800));
        deployment.set_faults(0, 0, TargetFaults::default());
    });
}
