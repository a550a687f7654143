//! Result codes, and the pages of the documentation that are generated from the code.

use cornellink::code::Code;
use cornellink::command::{codes, fields};

/// Guards against two codes with the same number, which would make responses ambiguous.
#[test]
fn numbers_are_unique_and_ascending() {
    let numbers: Vec<u16> = Code::ALL.iter().map(|code| code.number()).collect();
    let mut sorted = numbers.clone();
    sorted.sort_unstable();
    sorted.dedup();
    assert_eq!(numbers, sorted);
}

/// Guards against a "not run" guarantee for a refused key whose first call may have run.
#[test]
fn refused_keys_do_not_guarantee_not_run() {
    let refused = [Code::RefusedDuplicate, Code::RefusedWindow];

    assert!(refused.iter().all(|code| !code.is_not_run()));
    assert!(Code::RefusedWorkspace.is_not_run() && Code::NotRunClaim.is_not_run());
    assert!(!Code::UnknownDeadline.is_not_run() && !Code::Answered.is_not_run());
}

/// Guards against a page of codes that differs from the codes that entries send.
#[test]
fn codes_page_matches_the_generated_text() {
    let page = std::fs::read_to_string("docs/codes.md").unwrap();

    assert_eq!(page, codes::render(), "run `cornellink codes > docs/codes.md`");
}

/// Guards against a page of fields that differs from the fields that the checks accept.
#[test]
fn fields_page_matches_the_generated_text() {
    let page = std::fs::read_to_string("docs/fields.md").unwrap();

    assert_eq!(page, fields::render(), "run `cornellink fields`");
}
