//! The load tool: traces, reports and stated outcomes.

use std::time::Duration;

use cornellink::code::Code;
use cornellink::load::generate::{generate, Plan};
use cornellink::load::outcome::Outcome;
use cornellink::load::report::{Ended, Report};
use cornellink::load::scenario::Scenario;
use cornellink::load::trace::{self, TraceCall};

fn plan(scenario: Scenario, seed: u64) -> Plan {
    Plan { scenario, seconds: 2.0, rate: 200.0, seed }
}

fn ended(index: usize, code: Option<Code>) -> Ended {
    Ended {
        index,
        code,
        attempts: 1,
        latency: Duration::from_millis(5),
        late: Duration::ZERO,
        wrong: false,
        error: false,
    }
}

fn report(trace: &[TraceCall], codes: &[Option<Code>]) -> Report {
    let ended: Vec<Ended> =
        codes.iter().enumerate().map(|(index, code)| ended(index, *code)).collect();
    Report::new(trace, &ended)
}

/// Guards against traces that change from run to run, which no replay could judge.
#[test]
fn same_seed_gives_same_trace() {
    for (_, scenario) in Scenario::ALL {
        let one = generate(&plan(scenario, 7));
        let two = generate(&plan(scenario, 7));
        let other = generate(&plan(scenario, 8));

        assert_eq!(one, two);
        assert_ne!(one, other);
    }
}

/// Guards against a format that the tool writes but cannot read.
#[test]
fn formatted_trace_can_be_parsed() {
    let calls = generate(&plan(Scenario::MonthEnd, 1));

    let parsed = trace::parse(&trace::format(&calls)).unwrap();

    assert_eq!(parsed, calls);
}

/// Guards against a report of only the first bad line.
#[test]
fn every_bad_line_is_named() {
    let error = trace::parse("{}\nnot json\n").unwrap_err().to_string();

    assert!(error.contains("line 1") && error.contains("line 2"), "{error}");
}

/// Guards against outcomes that pass although calls failed.
#[test]
fn violations_name_the_calls() {
    let calls = generate(&plan(Scenario::Steady, 3));
    let report = report(
        &calls,
        &[Some(Code::Answered), Some(Code::UnknownConnection), None, Some(Code::Answered)],
    );
    let outcome = Outcome::parse(r#"{ "calls": 4, "answeredShare": 0.75, "codes": {} }"#).unwrap();

    let violations = outcome.violations(&report);

    assert_eq!(violations.len(), 3, "{violations:?}");
    assert!(violations.iter().any(|text| text.contains("`301`") && text.contains("[1]")));
    assert!(violations.iter().any(|text| text.contains("`missing`") && text.contains("[2]")));
}

/// Guards against a misspelt bound that is never checked.
#[test]
fn unknown_bounds_are_refused() {
    assert!(Outcome::parse(r#"{ "amplificaton": 1.1 }"#).is_err());
}
