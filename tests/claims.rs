//! Keyed calls and their duplicates over a log in memory.

mod fixture;

use cornellink::prelude::*;
use cornellink::process::claims::admit::{Admission, Request};
use cornellink::process::runtime::block_on;
use fixture::claims::*;

/// Guards against a second run at another entry, while the first runs and after it has ended.
#[test]
fn duplicate_at_another_entry_never_runs() {
    block_on(async {
        let log = memory_log();
        let (one, two) = (start("one", &log).await, start("two", &log).await);
        let grant = granted(&one, request("k")).await;
        until(|| is_held(&two, "k")).await;

        let running = refused(&two, request("k")).await;
        grant.finish(answered("booked"));
        until(|| one.is_flushed()).await;
        let mut ended = refused(&two, request("k")).await;
        while code(&ended) == Code::RefusedDuplicate {
            ended = refused(&two, request("k")).await;
        }

        assert_eq!(code(&running), Code::RefusedDuplicate);
        assert_eq!((code(&ended), ended.status), (Code::AnsweredBefore, StatusCode::CREATED));
    })
    .unwrap();
}

/// Guards against two winners when duplicates reach two entries at once.
#[test]
fn one_of_two_simultaneous_claims_wins() {
    block_on(async {
        let log = memory_log();
        let (one, two) = (start("one", &log).await, start("two", &log).await);
        for number in 0..20 {
            let key = number.to_string();

            let (first, second) = monoio::join!(one.admit(request(&key)), two.admit(request(&key)));

            let runs = [&first, &second].map(|a| u32::from(matches!(a, Admission::Run(_))));
            assert!(runs.iter().sum::<u32>() <= 1, "`{key}` would run twice");
        }
    })
    .unwrap();
}

/// Guards against a duplicate that runs, or gets a response of its own, beside the first call.
#[test]
fn duplicate_at_the_same_entry_gets_the_same_response() {
    block_on(async {
        let log = memory_log();
        let claims = start("one", &log).await;
        let grant = granted(&claims, request("k")).await;
        let (waiting, other) = (claims.clone(), claims.clone());
        let waiting = monoio::spawn(async move { refused(&waiting, request("k")).await });

        let mismatch = refused(&other, Request { digest: 2, ..request("k") }).await;
        monoio::time::sleep(Duration::from_millis(5)).await;
        grant.finish(answered("booked"));
        let waited = waiting.await;
        let kept = refused(&claims, request("k")).await;
        let late_mismatch = refused(&claims, Request { digest: 2, ..request("k") }).await;

        assert_eq!(code(&mismatch), Code::RefusedMismatch);
        assert_eq!((code(&waited), waited.body.as_ref()), (Code::Answered, &b"booked"[..]));
        assert_eq!((code(&kept), kept.body.as_ref()), (Code::Answered, &b"booked"[..]));
        assert_eq!(code(&late_mismatch), Code::RefusedMismatch);
    })
    .unwrap();
}

/// Guards against a second run after the caller has left in the middle of the call.
#[test]
fn cancelled_call_leaves_an_unknown_outcome() {
    block_on(async {
        let log = memory_log();
        let claims = start("one", &log).await;
        let grant = granted(&claims, request("k")).await;

        drop(grant);
        let answer = refused(&claims, request("k")).await;

        assert_eq!(code(&answer), Code::UnknownCancelled);
    })
    .unwrap();
}

/// Guards against a key that stays blocked after a call that provably did not run.
#[test]
fn call_that_was_not_run_frees_its_key() {
    block_on(async {
        let log = memory_log();
        let claims = start("one", &log).await;
        let grant = granted(&claims, request("k")).await;

        grant.finish(Answer::own(Code::NotRunConnect));
        let grant = granted(&claims, request("k")).await;

        grant.finish(answered("booked"));
    })
    .unwrap();
}

/// Guards against a second run while the holder is paused between its claim and its dispatch,
/// before and after the deadline of the call.
#[test]
fn paused_holder_keeps_its_key() {
    block_on(async {
        let log = memory_log();
        let (one, two) = (start("one", &log).await, start("two", &log).await);
        let grant = granted(&one, short("k")).await;
        until(|| is_held(&two, "k")).await;
        until(|| !is_held(&two, "k")).await;

        let answer = refused(&two, request("k")).await;

        assert_eq!(code(&answer), Code::UnknownClaim);
        drop(grant);
    })
    .unwrap();
}

/// Guards against a second run, or a wait for the deadline, after a restart under the same name.
#[test]
fn restarted_entry_knows_its_earlier_claims() {
    block_on(async {
        let log = memory_log();
        let before = start("one", &log).await;
        let grant = granted(&before, request("k")).await;

        let after = start("one", &log).await;
        let mut answer = refused(&after, request("k")).await;
        while code(&answer) == Code::RefusedDuplicate {
            answer = refused(&after, request("k")).await;
        }

        assert_eq!(code(&answer), Code::UnknownClaim);
        drop(grant);
    })
    .unwrap();
}

/// Guards against a run of a key whose first claim may have expired.
#[test]
fn key_older_than_the_window_is_refused() {
    block_on(async {
        let log = memory_log();
        let claims = start("one", &log).await;
        let window = limits().window.as_millis() as u64;

        let issued = Some(unix_millis() - window - 1000);
        let answer = refused(&claims, Request { issued, ..request("k") }).await;

        assert_eq!(code(&answer), Code::RefusedWindow);
    })
    .unwrap();
}
