//! Result codes and generated pages.

use cornellink::code::Code;
use cornellink::command::{codes, fields};

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

/// Guards against a page of codes that differs from what entries send.
#[test]
fn page_of_codes_is_generated() {
    let page = std::fs::read_to_string("docs/codes.md").unwrap();

    assert_eq!(page, codes::render(), "run `cornellink codes > docs/codes.md`");
}

/// Guards against a page of fields that differs from what the checks take.
#[test]
fn page_of_fields_is_generated() {
    let page = std::fs::read_to_string("docs/fields.md").unwrap();

    assert_eq!(page, fields::render(), "run `cornellink fields`");
}
