//! Keyed calls during faults of the log, with one test for each fault.

mod fixture;

use cornellink::edge::stand_in::log::{LogFaults, LogLimits};
use cornellink::prelude::*;
use cornellink::process::claims::admit::Request;
use cornellink::process::claims::record::ClaimRecord;
use cornellink::process::runtime::block_on;
use fixture::claims::*;

/// Guards against bookings that hang or run while the log is down, and against claims that are
/// still refused after it has recovered.
#[test]
fn bookings_are_refused_until_a_log_outage_ends() {
    block_on(async {
        let log = memory_log();
        let claims = accepting_claims("one", &log).await;
        log.set_faults(LogFaults { down: true, ..Default::default() });

        let first = expect_response(&claims, request("k")).await;
        wait_until(|| !claims.is_accepting()).await;
        let second = expect_response(&claims, request("k")).await;
        log.set_faults(LogFaults::default());
        wait_until(|| claims.is_accepting()).await;
        let grant = claim_until_granted(&claims, request("k")).await;

        assert_eq!([code(&first), code(&second)], [Code::NotRunClaim; 2]);
        grant.finish(target_response("booked"));
    })
    .unwrap();
}

/// Guards against a booking that is refused, or runs twice, when the response to an append is
/// lost.
#[test]
fn claim_with_a_lost_append_response_is_confirmed_by_reading() {
    block_on(async {
        let log = memory_log();
        let (one, two) = (accepting_claims("one", &log).await, accepting_claims("two", &log).await);
        log.set_faults(LogFaults { lose_responses: true, ..Default::default() });

        let grant = claim_until_granted(&one, request("k")).await;
        wait_until(|| is_held_by_peer(&two, "k")).await;
        let duplicate = expect_response(&two, request("k")).await;

        assert_eq!(code(&duplicate), Code::RefusedDuplicate);
        grant.finish(target_response("booked"));
    })
    .unwrap();
}

/// Guards against a key that stays claimed, although no call runs, after its claim was confirmed
/// too late.
#[test]
fn abandoned_claim_is_released_once() {
    block_on(async {
        let log = memory_log();
        let (one, two) = (accepting_claims("one", &log).await, accepting_claims("two", &log).await);
        log.set_faults(LogFaults { delay: Duration::from_millis(150), ..Default::default() });

        let late = expect_response(&one, request("k")).await;
        log.set_faults(LogFaults::default());
        let is_release = |record: &ClaimRecord| matches!(record, ClaimRecord::Release { .. });
        while !stream_records(&log).await.iter().any(is_release) || is_held_by_peer(&two, "k") {
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
        let grant = claim_until_granted(&two, request("k")).await;

        assert_eq!(code(&late), Code::NotRunClaim);
        assert_eq!(
            stream_records(&log).await.iter().filter(|record| is_release(record)).count(),
            1
        );
        grant.finish(target_response("booked"));
    })
    .unwrap();
}

/// Guards against a claim that counts as confirmed by its append although the stream cannot be
/// read.
#[test]
fn booking_is_refused_while_reads_fail() {
    block_on(async {
        let log = memory_log();
        let claims = accepting_claims("one", &log).await;
        log.set_faults(LogFaults { reads_down: true, ..Default::default() });

        let response = expect_response(&claims, request("k")).await;

        assert_eq!(code(&response), Code::NotRunClaim);
    })
    .unwrap();
}

/// Guards against a second run when the log has dropped claims that are younger than the window. A
/// key that was issued later than any missing claim is still accepted.
#[test]
fn entry_that_missed_claims_refuses_old_keys() {
    block_on(async {
        let log = memory_log();
        let one = accepting_claims("one", &log).await;
        claim_until_granted(&one, request("k")).await.finish(target_response("booked"));
        wait_until(|| one.is_flushed()).await;
        log.set_limits(LogLimits { stream_records: 1, ..Default::default() });
        let two = start_claims("two", &log);
        wait_until(|| two.is_accepting()).await;

        let old = expect_response(&two, request("k")).await;
        let issued = Some(unix_millis() + 1000);
        let grant = claim_until_granted(&two, Request { issued, ..request("new") }).await;

        assert_eq!(code(&old), Code::NotRunClaim);
        grant.finish(target_response("booked"));
    })
    .unwrap();
}

/// Guards against a second run after the log has lost all records. The old entry still has the
/// claim and reports the loss by a mark, so that a new entry refuses keys that it cannot check.
#[test]
fn after_a_log_reset_old_entries_keep_claims_and_new_entries_refuse() {
    block_on(async {
        let log = memory_log();
        let one = accepting_claims("one", &log).await;
        claim_until_granted(&one, request("k")).await.finish(target_response("booked"));
        wait_until(|| one.is_flushed()).await;

        log.reset();
        let mut appended = Vec::new();
        while !appended.iter().any(|record| matches!(record, ClaimRecord::Mark(m) if m.reset)) {
            monoio::time::sleep(Duration::from_millis(1)).await;
            appended = stream_records(&log).await;
        }
        let two = start_claims("two", &log);
        wait_until(|| two.is_accepting()).await;
        let known = expect_response(&one, request("k")).await;
        let unknown = expect_response(&two, request("k")).await;

        assert_eq!(code(&known), Code::Answered);
        assert_eq!(code(&unknown), Code::NotRunClaim);
    })
    .unwrap();
}
