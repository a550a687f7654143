//! Tests of the age of an entry's cached directory, of the backoff of its reads, and of missing
//! targets after an outage.

use cornellink::edge::directory::Feed;
use cornellink::prelude::*;
use cornellink::process::gateway::back_off::BackOff;
use cornellink::process::gateway::directory_health::{DirectoryHealth, HealthChange};
use cornellink::process::gateway::read_timing::ReadTiming;
use cornellink::process::gateway::registry::AbsencePolicy;
use cornellink::process::gateway::sharing::freshness::{Freshness, START_TIMEOUT};
use cornellink::process::gateway::sharing::{
    Reader, Sharing, STALE_AGE, STANDBY_AGE, SWITCH_READER_AGE,
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against a subscriber that goes on with an old copy when its reader stops sending updates.
#[test]
fn copy_becomes_stale_without_updates() {
    let mut freshness = Freshness::default();
    let now = Instant::now() + ms(60_000);
    freshness.record_update(ms(200), now);

    let fresh = freshness.time_left(STALE_AGE, now + ms(500));
    let stale = freshness.time_left(STALE_AGE, now + STALE_AGE);

    assert_eq!((fresh, stale), (STALE_AGE - ms(700), Duration::ZERO));
}

/// Guards against a reader that fails and whose subscribers all read for themselves, because the
/// standbys to which they switch have no newer copy by then.
#[test]
fn standbys_read_before_subscribers_switch_to_them() {
    let (read, connect) = (ms(100), ms(50));
    let sharing = Sharing::default();
    let now = Instant::now() + ms(60_000);
    sharing.freshness.borrow_mut().record_update(ms(0), now);
    let time_left = |is_standby| {
        sharing.set_reader(Reader::Other { name: "reader".into(), is_standby });
        sharing.time_until_read(now)
    };

    let (standby, other) = (time_left(true), time_left(false));

    assert!(standby + read < SWITCH_READER_AGE, "{standby:?}");
    assert!(SWITCH_READER_AGE + connect < other, "{other:?}");
}

/// Guards against a standby whose first read waits for a change, while its subscribers wait for the
/// update which confirms that there is none.
#[test]
fn first_read_waits_100_ms_at_most() {
    assert!(ReadTiming::default().next_wait(None) <= ms(100));
}

/// Guards against updates that count as fresh although their reader has lost the directory.
#[test]
fn age_reported_in_an_update_counts() {
    let mut freshness = Freshness::default();
    let now = Instant::now() + ms(60_000);

    freshness.record_update(STALE_AGE + ms(1), now);

    assert_eq!(freshness.time_left(STALE_AGE, now), Duration::ZERO);
}

/// Guards against a copy that counts as fresh because of its targets, while reads of the routes
/// have failed for long.
#[test]
fn both_feeds_must_be_fresh() {
    let mut freshness = Freshness::default();
    let start = Instant::now();
    freshness.record_read(Feed::Routes, start);
    let later = start + ms(10_000);
    freshness.record_read(Feed::Targets, later);

    assert!(freshness.age(later).unwrap() > STALE_AGE);
}

/// Guards against an old update that makes the copy look older or newer than it is.
#[test]
fn older_update_does_not_change_the_age() {
    let mut freshness = Freshness::default();
    let now = Instant::now() + ms(60_000);
    freshness.record_update(ms(100), now);
    freshness.record_update(ms(900), now);

    assert_eq!(freshness.age(now), Some(ms(100)));
}

/// Guards against entries that all read at a common start instead of waiting for the reader.
#[test]
fn entry_without_a_copy_reads_after_the_start_timeout() {
    let mut freshness = Freshness::default();
    let now = Instant::now();
    freshness.set_start_deadline(now + START_TIMEOUT);

    assert!(freshness.time_left(STALE_AGE, now) > Duration::ZERO);
    assert_eq!(freshness.time_left(STALE_AGE, now + START_TIMEOUT), Duration::ZERO);
    assert!(START_TIMEOUT <= ms(900));
}

/// Guards against expired registrations that are removed before their targets could renew them, and
/// against ones that are used for longer than that.
#[test]
fn missing_target_is_gone_two_seconds_after_an_outage() {
    let mut directory_health = DirectoryHealth::default();
    let start = Instant::now();
    directory_health.record_success(start);
    assert_eq!(directory_health.record_failure(), HealthChange::Lost);
    assert_eq!(directory_health.record_failure(), HealthChange::None);
    let back = start + ms(5000);

    let turn = directory_health.record_success(back);

    assert_eq!(turn, HealthChange::Regained(ms(5000)));
    assert_eq!(directory_health.absence_policy(back), AbsencePolicy::KeepUntil(back + ms(2000)));
    assert_eq!(directory_health.absence_policy(back + ms(2000)), AbsencePolicy::Remove);
}

/// Guards against a short failure that delays the removal of targets.
#[test]
fn short_failure_does_not_delay_the_removal_of_targets() {
    let mut directory_health = DirectoryHealth::default();
    let start = Instant::now();
    directory_health.record_success(start);
    directory_health.record_failure();

    directory_health.record_success(start + ms(300));

    assert_eq!(directory_health.absence_policy(start + ms(300)), AbsencePolicy::Remove);
}

/// Guards against lost reads of one entry that delay the removal of targets for all that it reads
/// for, and against registrations that expired in an outage and are removed at its end.
#[test]
fn only_an_outage_in_which_registrations_expire_delays_their_removal() {
    let renewal = ms(1500);
    for outage in (100..8000).step_by(50).map(ms) {
        let mut directory_health = DirectoryHealth::new(renewal);
        let start = Instant::now();
        directory_health.record_success(start);
        directory_health.record_failure();

        let back = start + outage;
        directory_health.record_success(back);

        let policy = directory_health.absence_policy(back);
        // A registration expires three intervals after a renewal, of which the last one before the
        // outage is at most one and a quarter old.
        let may_expire = outage >= renewal * 3 - renewal * 5 / 4;
        let kept = AbsencePolicy::KeepUntil(back + ms(2000));
        assert_eq!(policy, if may_expire { kept } else { AbsencePolicy::Remove }, "{outage:?}");
    }
}

/// Guards against an entry that gets no updates and sleeps past the time by which changes must be
/// in force after the directory's return, and against reads that overload a directory which is
/// away.
#[test]
fn backoff_of_failed_reads_grows_and_stays_below_two_seconds() {
    for is_awaited in [true, false] {
        let mut back_off = BackOff::default();

        let backoffs: Vec<Duration> =
            (0..20).map(|_| back_off.record_failure(is_awaited)).collect();

        assert!(backoffs[1] > backoffs[0], "{backoffs:?}");
        // A read that is lost as the directory returns takes 700 ms, and the random spread adds
        // half of the backoff at most.
        assert!(
            backoffs.iter().all(|backoff| *backoff * 3 / 2 + ms(700) < ms(2000)),
            "{backoffs:?}"
        );
        assert!(back_off.record_success());
        assert!(back_off.record_failure(is_awaited) <= backoffs[0]);
    }
}

/// Guards against a reader whose copy becomes stale whenever no further change follows a change:
/// the pause after the change and the longest wait of the next read together took longer than its
/// subscribers wait, so that all of them read the directory.
#[test]
fn read_after_a_pause_ends_before_standbys_read() {
    let mut pace = ReadTiming::default();
    for (since, overhead) in [(0, 10), (400, 10), (400, 320), (5000, 10)] {
        pace.record(ms(900), ms(900 + overhead));

        let wait = pace.next_wait(Some(ms(since)));

        let age = ms(since + overhead) + wait;
        assert!(age < STANDBY_AGE || wait <= ms(100), "{since} ms, {overhead} ms: {wait:?}");
        assert!(wait >= ms(100), "{wait:?}");
    }
    assert_eq!(ReadTiming::default().next_wait(Some(ms(0))), Feed::Targets.max_wait());
}
