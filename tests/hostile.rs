//! Malformed and abusive calls through an entry process.

mod fixture;

use std::time::Duration;

use cornellink::edge::stand_in::hosted::host_targets;
use fixture::hostile::cases;
use fixture::served::Published;

/// Guards against a call that is framed in another way than the target would frame it, that hangs
/// the entry, or that reaches a target although it was rejected.
#[test]
fn every_case_ends_as_expected() {
    let (targets, addresses) = host_targets(1, 64, Duration::ZERO).unwrap();
    let published = Published::new(&addresses);
    let limits = serde_json::json!({ "headMs": 200, "bodyMs": 200, "idleMs": 400 });
    let entry = published.entry("hostile", serde_json::json!({ "callers": limits }));
    let mut wrong = Vec::new();
    let mut runs = 0;

    for case in cases() {
        let outcome = case.run(entry.listen);
        if outcome != case.want {
            wrong.push(format!("{}: `{outcome}` instead of `{}`", case.name, case.want));
        }
        runs += case.runs();
    }

    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
    assert_eq!(targets.with(|targets| targets[0].calls()), runs);
}
