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
