//! Admission of keyed calls and their duplicates, over a log in memory.

mod fixture;

use cornellink::prelude::*;
use cornellink::process::claims::admit::{Admission, Request};
use cornellink::process::runtime::block_on;
use fixture::claims::*;

/// Guards against a second run at another entry, both while the first runs and after it has ended.
#[test]
fn duplicate_at_another_entry_never_runs() {
    block_on(async {
        let log = memory_log();
        let (one, two) = (accepting_claims("one", &log).await, accepting_claims("two", &log).await);
        let grant = claim_until_granted(&one, request("k")).await;
        wait_until(|| is_held_by_peer(&two, "k")).await;

        let running = expect_response(&two, request("k")).await;
        grant.finish(target_response("booked"));
        wait_until(|| one.is_flushed()).await;
        let mut ended = expect_response(&two, request("k")).await;
        while code(&ended) == Code::RefusedDuplicate {
            ended = expect_response(&two, request("k")).await;
        }

        assert_eq!(code(&running), Code::RefusedDuplicate);
        assert_eq!((code(&ended), ended.status), (Code::AnsweredBefore, StatusCode::CREATED));
    })
    .unwrap();
}

/// Guards against two winners when duplicates reach two entries at once.
#[test]
fn at_most_one_of_two_simultaneous_claims_wins() {
    block_on(async {
        let log = memory_log();
        let (one, two) = (accepting_claims("one", &log).await, accepting_claims("two", &log).await);
        for number in 0..20 {
            let key = number.to_string();

            let (first, second) = monoio::join!(one.admit(request(&key)), two.admit(request(&key)));

            let runs = [&first, &second]
                .map(|admission| u32::from(matches!(admission, Admission::Run(_))));
            assert!(runs.iter().sum::<u32>() <= 1, "`{key}` would run twice");
        }
    })
    .unwrap();
}

/// Guards against a duplicate that runs in parallel to the first call, or gets a different
/// response.
#[test]
fn duplicate_at_the_same_entry_gets_the_same_response() {
    block_on(async {
        let log = memory_log();
        let claims = accepting_claims("one", &log).await;
        let grant = claim_until_granted(&claims, request("k")).await;
        let (waiting, other) = (claims.clone(), claims.clone());
        let waiting = monoio::spawn(async move { expect_response(&waiting, request("k")).await });

        let mismatch = expect_response(&other, Request { digest: 2, ..request("k") }).await;
        monoio::time::sleep(Duration::from_millis(5)).await;
        grant.finish(target_response("booked"));
        let waited = waiting.await;
        let cached = expect_response(&claims, request("k")).await;
        let late_mismatch = expect_response(&claims, Request { digest: 2, ..request("k") }).await;

        assert_eq!(code(&mismatch), Code::RefusedMismatch);
        assert_eq!((code(&waited), waited.body.as_ref()), (Code::Answered, &b"booked"[..]));
        assert_eq!((code(&cached), cached.body.as_ref()), (Code::Answered, &b"booked"[..]));
        assert_eq!(code(&late_mismatch), Code::RefusedMismatch);
    })
    .unwrap();
}

/// Guards against a second run after the caller has disconnected in the middle of the call.
#[test]
fn cancelled_call_has_an_unknown_outcome() {
    block_on(async {
        let log = memory_log();
        let claims = accepting_claims("one", &log).await;
        let grant = claim_until_granted(&claims, request("k")).await;

        drop(grant);
        let response = expect_response(&claims, request("k")).await;

        assert_eq!(code(&response), Code::UnknownCancelled);
    })
    .unwrap();
}

/// Guards against a key that stays claimed after a call that certainly did not run.
#[test]
fn call_that_was_not_run_frees_its_key() {
    block_on(async {
        let log = memory_log();
        let claims = accepting_claims("one", &log).await;
        let grant = claim_until_granted(&claims, request("k")).await;

        grant.finish(Answer::own(Code::NotRunConnect));
        let grant = claim_until_granted(&claims, request("k")).await;

        grant.finish(target_response("booked"));
    })
    .unwrap();
}

/// Guards against a second run while the holder is paused between its claim and the dispatch of
/// the call. The other entry sees the claim as held until the deadline, then as one without a
/// result.
#[test]
fn key_of_a_paused_holder_is_not_granted_again() {
    block_on(async {
        let log = memory_log();
        let (one, two) = (accepting_claims("one", &log).await, accepting_claims("two", &log).await);
        let grant = claim_until_granted(&one, short_request("k")).await;
        wait_until(|| is_held_by_peer(&two, "k")).await;
        wait_until(|| !is_held_by_peer(&two, "k")).await;

        let response = expect_response(&two, request("k")).await;

        assert_eq!(code(&response), Code::UnknownClaim);
        drop(grant);
    })
    .unwrap();
}

/// Guards against a second run after a restart under the same name, and against duplicates that
/// are refused as running until the deadline although the process that claimed the key has ended.
#[test]
fn claim_from_before_a_restart_has_an_unknown_outcome() {
    block_on(async {
        let log = memory_log();
        let before = accepting_claims("one", &log).await;
        let grant = claim_until_granted(&before, request("k")).await;

        let after = accepting_claims("one", &log).await;
        let mut response = expect_response(&after, request("k")).await;
        while code(&response) == Code::RefusedDuplicate {
            response = expect_response(&after, request("k")).await;
        }

        assert_eq!(code(&response), Code::UnknownClaim);
        drop(grant);
    })
    .unwrap();
}

/// Guards against a run of a key whose first claim may have expired.
#[test]
fn key_older_than_the_window_is_refused() {
    block_on(async {
        let log = memory_log();
        let claims = accepting_claims("one", &log).await;
        let window = limits().window.as_millis() as u64;

        let issued = Some(unix_millis() - window - 1000);
        let response = expect_response(&claims, Request { issued, ..request("k") }).await;

        assert_eq!(code(&response), Code::RefusedWindow);
    })
    .unwrap();
}
