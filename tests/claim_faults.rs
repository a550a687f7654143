//! Keyed calls during faults of the log, one test for each.

mod fixture;

use cornellink::edge::stand_in::log::{LogFaults, LogLimits};
use cornellink::prelude::*;
use cornellink::process::claims::admit::Request;
use cornellink::process::claims::record::ClaimRecord;
use cornellink::process::runtime::block_on;
use fixture::claims::*;

/// Guards against bookings that hang or run while the log is down, and against a late recovery.
#[test]
fn log_outage_refuses_bookings_until_it_ends() {
    block_on(async {
        let log = memory_log();
        let claims = start("one", &log).await;
        log.set_faults(LogFaults { down: true, ..Default::default() });

        let first = refused(&claims, request("k")).await;
        until(|| !claims.is_accepting()).await;
        let second = refused(&claims, request("k")).await;
        log.set_faults(LogFaults::default());
        until(|| claims.is_accepting()).await;
        let grant = granted(&claims, request("k")).await;

        assert_eq!([code(&first), code(&second)], [Code::NotRunClaim; 2]);
        grant.finish(answered("booked"));
    })
    .unwrap();
}

/// Guards against a lost response of the log that refuses a booking or runs it twice.
#[test]
fn lost_append_responses_are_settled_by_reading() {
    block_on(async {
        let log = memory_log();
        let (one, two) = (start("one", &log).await, start("two", &log).await);
        log.set_faults(LogFaults { lose_answers: true, ..Default::default() });

        let grant = granted(&one, request("k")).await;
        until(|| is_held(&two, "k")).await;
        let duplicate = refused(&two, request("k")).await;

        assert_eq!(code(&duplicate), Code::RefusedDuplicate);
        grant.finish(answered("booked"));
    })
    .unwrap();
}

/// Guards against a key that stays claimed for nobody after its claim was too slow.
#[test]
fn abandoned_claim_is_released() {
    block_on(async {
        let log = memory_log();
        let (one, two) = (start("one", &log).await, start("two", &log).await);
        log.set_faults(LogFaults { delay: Duration::from_millis(150), ..Default::default() });

        let late = refused(&one, request("k")).await;
        log.set_faults(LogFaults::default());
        let is_release = |record: &ClaimRecord| matches!(record, ClaimRecord::Release { .. });
        while !records(&log).await.iter().any(is_release) || is_held(&two, "k") {
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
        let grant = granted(&two, request("k")).await;

        assert_eq!(code(&late), Code::NotRunClaim);
        assert_eq!(records(&log).await.iter().filter(|record| is_release(record)).count(), 1);
        grant.finish(answered("booked"));
    })
    .unwrap();
}

/// Guards against claims that count as confirmed although nobody can read the log.
#[test]
fn reads_down_refuse_bookings() {
    block_on(async {
        let log = memory_log();
        let claims = start("one", &log).await;
        log.set_faults(LogFaults { reads_down: true, ..Default::default() });

        let answer = refused(&claims, request("k")).await;

        assert_eq!(code(&answer), Code::NotRunClaim);
    })
    .unwrap();
}

/// Guards against a second run when the log has dropped claims that are younger than the window.
#[test]
fn entry_that_missed_claims_refuses_old_keys() {
    block_on(async {
        let log = memory_log();
        let one = start("one", &log).await;
        granted(&one, request("k")).await.finish(answered("booked"));
        until(|| one.is_flushed()).await;
        log.set_limits(LogLimits { records: 1, ..Default::default() });
        let two = start_closed("two", &log);
        until(|| two.is_accepting()).await;

        let old = refused(&two, request("k")).await;
        let issued = Some(unix_millis() + 1000);
        let grant = granted(&two, Request { issued, ..request("new") }).await;

        assert_eq!(code(&old), Code::NotRunClaim);
        grant.finish(answered("booked"));
    })
    .unwrap();
}

/// Guards against a second run after the log has lost everything.
#[test]
fn log_reset_keeps_known_claims_and_warns_new_entries() {
    block_on(async {
        let log = memory_log();
        let one = start("one", &log).await;
        granted(&one, request("k")).await.finish(answered("booked"));
        until(|| one.is_flushed()).await;

        log.reset();
        let mut appended = Vec::new();
        while !appended.iter().any(|record| matches!(record, ClaimRecord::Mark(m) if m.reset)) {
            monoio::time::sleep(Duration::from_millis(1)).await;
            appended = records(&log).await;
        }
        let two = start_closed("two", &log);
        until(|| two.is_accepting()).await;
        let known = refused(&one, request("k")).await;
        let unknown = refused(&two, request("k")).await;

        assert_eq!(code(&known), Code::Answered);
        assert_eq!(code(&unknown), Code::NotRunClaim);
    })
    .unwrap();
}
