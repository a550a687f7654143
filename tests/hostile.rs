//! Malformed, abusive and slow calls sent to an entry process.

mod fixture;

use std::time::Duration;

use cornellink::edge::stand_in::hosted::host_targets;
use fixture::hostile::cases;
use fixture::served::Published;

/// Guards against framing a call differently from the target, against calls that block the entry,
/// and against forwarding a rejected call.
#[test]
fn malformed_and_slow_calls_get_expected_codes() {
    let (targets, addresses) = host_targets(1, 64, Duration::ZERO).unwrap();
    let published = Published::new(&addresses);
    let limits = serde_json::json!({ "headMs": 200, "bodyMs": 200, "idleMs": 400 });
    let entry = published.entry("hostile", serde_json::json!({ "callers": limits }));
    let mut failures = Vec::new();
    let mut expected_calls = 0;

    for case in cases() {
        let outcome = case.run(entry.listen);
        if outcome != case.expected {
            failures.push(format!("{}: `{outcome}` instead of `{}`", case.name, case.expected));
        }
        expected_calls += case.expected_calls();
    }

    assert!(failures.is_empty(), "{}", failures.join("\n"));
    assert_eq!(targets.with(|targets| targets[0].calls()), expected_calls);
}
