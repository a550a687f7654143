//! The load tool: traces, reports and expected outcomes.

use std::time::Duration;

use cornellink::code::Code;
use cornellink::load::generate::{generate, TraceParameters};
use cornellink::load::outcome::ExpectedOutcome;
use cornellink::load::report::{CallOutcome, Report};
use cornellink::load::scenario::Scenario;
use cornellink::load::trace::{self, TraceCall};

fn parameters(scenario: Scenario, seed: u64) -> TraceParameters {
    TraceParameters { scenario, seconds: 2.0, rate: 200.0, seed }
}

fn call_outcome(index: usize, code: Option<Code>) -> CallOutcome {
    CallOutcome {
        index,
        code,
        attempts: 1,
        latency: Duration::from_millis(5),
        send_delay: Duration::ZERO,
        is_wrong: false,
        is_server_error: false,
    }
}

fn report(trace: &[TraceCall], codes: &[Option<Code>]) -> Report {
    let outcomes: Vec<CallOutcome> =
        codes.iter().enumerate().map(|(index, code)| call_outcome(index, *code)).collect();
    Report::new(trace, &outcomes)
}

/// Guards against traces that differ between runs, so that their results could not be compared.
#[test]
fn trace_is_equal_for_equal_seed_and_differs_for_another() {
    for (_, scenario) in Scenario::ALL {
        let one = generate(&parameters(scenario, 7));
        let two = generate(&parameters(scenario, 7));
        let other = generate(&parameters(scenario, 8));

        assert_eq!(one, two);
        assert_ne!(one, other);
    }
}

/// Guards against a trace that the tool writes but cannot read.
#[test]
fn formatted_trace_parses_to_the_same_calls() {
    let calls = generate(&parameters(Scenario::MonthEnd, 1));

    let parsed = trace::parse(&trace::format(&calls)).unwrap();

    assert_eq!(parsed, calls);
}

/// Guards against an error that names only the first invalid line.
#[test]
fn parse_error_names_every_invalid_line() {
    let error = trace::parse("{}\nnot json\n").unwrap_err().to_string();

    assert!(error.contains("line 1") && error.contains("line 2"), "{error}");
}

/// Guards against an expected outcome that passes although calls failed.
#[test]
fn violations_contain_the_indices_of_failed_calls() {
    let calls = generate(&parameters(Scenario::Steady, 3));
    let report = report(
        &calls,
        &[Some(Code::Answered), Some(Code::UnknownConnection), None, Some(Code::Answered)],
    );
    let outcome =
        ExpectedOutcome::parse(r#"{ "calls": 4, "answeredShare": 0.75, "codes": {} }"#).unwrap();

    let violations = outcome.violations(&report);

    assert_eq!(violations.len(), 3, "{violations:?}");
    assert!(violations.iter().any(|text| text.contains("`301`") && text.contains("[1]")));
    assert!(violations.iter().any(|text| text.contains("`missing`") && text.contains("[2]")));
}

/// Guards against a misspelt bound that is never checked.
#[test]
fn outcome_with_unknown_bound_is_rejected() {
    assert!(ExpectedOutcome::parse(r#"{ "amplificaton": 1.1 }"#).is_err());
}
