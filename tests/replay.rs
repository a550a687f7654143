//! Recorded traces, replayed against their stated outcomes.

use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use cornellink::demo::deployment::{Deployment, EBRO, HUNGARY};
use cornellink::edge::stand_in::target::TargetFaults;
use cornellink::load::outcome::Outcome;
use cornellink::load::report::Report;
use cornellink::load::send::{send, Aim};
use cornellink::load::trace;
use cornellink::process::runtime::block_on;

fn path(name: &str) -> String {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("traces");
    folder.join(name).display().to_string()
}

/// Replays a trace while `meddle` runs, and checks its outcome.
fn replay(example: &str, name: &str, meddle: impl FnOnce(&Deployment) + Send) {
    let deployment = Deployment::start(example).unwrap();
    let calls = trace::load(&path(&format!("{name}.jsonl"))).unwrap();
    let outcome = Outcome::load(&path(&format!("{name}.outcome.jsonc"))).unwrap();
    let aim = Aim { entries: deployment.entries.clone(), speed: 1.0 };

    let ended = thread::scope(|scope| {
        scope.spawn(|| meddle(&deployment));
        block_on(send(&calls, aim)).unwrap().unwrap()
    });

    let report = Report::new(&calls, &ended);
    assert_eq!(outcome.violations(&report), Vec::<String>::new(), "{}", report.to_table());
    assert_eq!(deployment.doubled(), 0);
}

/// Guards against lost, doubled or refused work when the counters open.
#[test]
fn counters_open() {
    replay(HUNGARY, "opening", |_| {});
}

/// Guards against lost, doubled or refused work in the dawn rush.
#[test]
fn dawn_rush() {
    replay(EBRO, "dawn-rush", |_| {});
}

/// Guards against checks that fail behind log pulls, and pulls that are never run.
#[test]
fn month_end() {
    replay(EBRO, "month-end", |_| {});
}

/// Guards against lookups harmed by a target that fails at the crest, and against retries beyond
/// their budget.
#[test]
fn target_fails_at_the_crest() {
    replay(HUNGARY, "target-failure", |deployment| {
        thread::sleep(Duration::from_millis(1600));
        let failing = TargetFaults { failing: true, ..TargetFaults::default() };
        deployment.set_faults(0, 0, failing);
        thread::sleep(Duration::from_millis(800));
        deployment.set_faults(0, 0, TargetFaults::default());
    });
}
