//! The retry budget of a workspace.

mod fixture;

use cornellink::code::Code;
use cornellink::process::budget::WorkspaceBudget;
use fixture::raw::{field, AfterReply, RawClient, RawServer};
use fixture::served::Published;
use quickcheck::{Gen, QuickCheck};

/// Guards against retries that exceed the configured percentage of first attempts at any time.
#[test]
fn retries_stay_within_their_percentage() {
    fn property(steps: Vec<bool>, percent: u8) -> bool {
        let percent = f64::from(percent % 101);
        let (mut budget, mut first, mut retries) = (WorkspaceBudget::default(), 0u32, 0u32);
        steps.into_iter().all(|is_retry| {
            if is_retry {
                retries += u32::from(budget.spend());
            } else {
                first += 1;
                budget.earn(percent);
            }
            f64::from(retries) <= f64::from(first) * percent / 100.0 + 1e-9
        })
    }
    let generator = Gen::from_size_and_seed(300, 3);
    QuickCheck::new().rng(generator).tests(300).quickcheck(property as fn(Vec<bool>, u8) -> bool);
}

fn call(entry: std::net::SocketAddr, method: &str, fields: &str) -> Code {
    let mut client = RawClient::connect(entry);
    let head = "HTTP/1.1\r\nhost: x\r\ncornellink-workspace: north\r\nconnection: close\r\n";
    client.send(format!("{method} /tickets/1 {head}{fields}\r\n").as_bytes());
    let (head, _) = client.read_response(false).expect("every call is answered");
    let number = field(&head, "cornellink-code").unwrap().parse().unwrap();
    Code::from_number(number).unwrap()
}

/// Guards against retries that multiply along a chain of services: a call whose header marks it as
/// a second attempt is not retried, and neither is a call that is not idempotent and whose outcome
/// is unknown.
#[test]
fn second_attempts_and_non_idempotent_calls_are_not_retried() {
    let target = RawServer::start("", AfterReply::Close);
    let published = Published::new(&[target.address]);
    let entry = published.entry("entry-0", serde_json::json!({}));
    let mut sent = 0;
    // The first calls earn budget for the ones that follow.
    for (method, fields, count) in [("POST", "", 30), ("GET", "cornellink-attempt: 2\r\n", 30)] {
        for _ in 0..count {
            let code = call(entry.listen, method, fields);
            sent += usize::from(code.is_unknown());
            assert!(!code.is_unknown() || target.requests().len() == sent, "{method} {code:?}");
        }
    }
    // The only target of a service is never ejected, so every call was sent to it.
    assert_eq!(sent, 60);
}
