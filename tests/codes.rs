//! Result codes.

use cornellink::code::Code;

/// Guards against two codes with one number, which would make answers ambiguous.
#[test]
fn numbers_are_unique_and_ascending() {
    let numbers: Vec<u16> = Code::ALL.iter().map(|code| code.number()).collect();
    let mut sorted = numbers.clone();
    sorted.sort_unstable();
    sorted.dedup();
    assert_eq!(numbers, sorted);
}

/// Guards against the promise "not run" for a key whose first call may have run.
#[test]
fn refused_keys_are_not_promised_as_not_run() {
    let refused = [Code::RefusedDuplicate, Code::RefusedWindow];

    assert!(refused.iter().all(|code| !code.is_not_run()));
    assert!(Code::RefusedWorkspace.is_not_run() && Code::NotRunClaim.is_not_run());
    assert!(!Code::UnknownDeadline.is_not_run() && !Code::Answered.is_not_run());
}
