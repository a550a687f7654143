//! How old an entry's knowledge is, and what an absence means.

use cornellink::edge::directory::Feed;
use cornellink::prelude::*;
use cornellink::process::gateway::back_off::BackOff;
use cornellink::process::gateway::directory_health::{DirectoryHealth, HealthChange};
use cornellink::process::gateway::read_timing::ReadTiming;
use cornellink::process::gateway::registry::AbsencePolicy;
use cornellink::process::gateway::sharing::freshness::{Freshness, START_PATIENCE};
use cornellink::process::gateway::sharing::{Reader, Sharing, STALE_AGE, STANDBY_AGE, TURN_AGE};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against a subscriber that goes on with old knowledge when its reader falls silent.
#[test]
fn silence_makes_knowledge_stale() {
    let mut freshness = Freshness::default();
    let now = Instant::now() + ms(60_000);
    freshness.hear(ms(200), now);

    let fresh = freshness.rest(STALE_AGE, now + ms(500));
    let stale = freshness.rest(STALE_AGE, now + STALE_AGE);

    assert_eq!((fresh, stale), (STALE_AGE - ms(700), Duration::ZERO));
}

/// Guards against a reader that fails and whose subscribers all read for themselves, because those
/// to which they turn know no more by then.
#[test]
fn deputies_read_before_others_turn_to_them() {
    let (read, connect) = (ms(100), ms(50));
    let sharing = Sharing::default();
    let now = Instant::now() + ms(60_000);
    sharing.freshness.borrow_mut().hear(ms(0), now);
    let rest = |is_standby| {
        sharing.set_reader(Reader::Other { name: "reader".into(), is_standby });
        sharing.rest(now)
    };

    let (standby, other) = (rest(true), rest(false));

    assert!(standby + read < TURN_AGE, "{standby:?}");
    assert!(TURN_AGE + connect < other, "{other:?}");
}

/// Guards against a deputy whose first read waits for a change, while others wait for its proof
/// that there is none.
#[test]
fn first_read_proves_soon_that_nothing_has_changed() {
    assert!(ReadTiming::default().next_wait(None) <= ms(100));
}

/// Guards against a reader cut off from the directory whose updates pass as fresh.
#[test]
fn heard_age_counts() {
    let mut freshness = Freshness::default();
    let now = Instant::now() + ms(60_000);

    freshness.hear(STALE_AGE + ms(1), now);

    assert_eq!(freshness.rest(STALE_AGE, now), Duration::ZERO);
}

/// Guards against targets that look fresh while the routes' feed has failed for long.
#[test]
fn both_feeds_must_be_fresh() {
    let mut freshness = Freshness::default();
    let start = Instant::now();
    freshness.learn(Feed::Routes, start);
    let later = start + ms(10_000);
    freshness.learn(Feed::Targets, later);

    assert!(freshness.age(later).unwrap() > STALE_AGE);
}

/// Guards against an old update that makes knowledge look older or newer than it is.
#[test]
fn older_news_do_not_replace_newer_ones() {
    let mut freshness = Freshness::default();
    let now = Instant::now() + ms(60_000);
    freshness.hear(ms(100), now);
    freshness.hear(ms(900), now);

    assert_eq!(freshness.age(now), Some(ms(100)));
}

/// Guards against entries that read at once at a common start instead of waiting for the reader.
#[test]
fn start_waits_for_another_entry_for_a_short_time() {
    let mut freshness = Freshness::default();
    let now = Instant::now();
    freshness.wait_until(now + START_PATIENCE);

    assert!(freshness.rest(STALE_AGE, now) > Duration::ZERO);
    assert_eq!(freshness.rest(STALE_AGE, now + START_PATIENCE), Duration::ZERO);
    assert!(START_PATIENCE <= ms(900));
}

/// Guards against lapsed entries that count as gone before their targets could renew them, and
/// against ones that are believed for longer.
#[test]
fn absence_after_an_outage_waits_two_seconds() {
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
fn short_failure_changes_nothing() {
    let mut directory_health = DirectoryHealth::default();
    let start = Instant::now();
    directory_health.record_success(start);
    directory_health.record_failure();

    directory_health.record_success(start + ms(300));

    assert_eq!(directory_health.absence_policy(start + ms(300)), AbsencePolicy::Remove);
}

/// Guards against an entry that hears nothing and sleeps past the time by which changes must be in
/// force after the directory's return, and against reads that press on one that is away.
#[test]
fn pauses_between_failed_reads_grow_but_stay_below_two_seconds() {
    for is_awaited in [true, false] {
        let mut back_off = BackOff::default();

        let pauses: Vec<Duration> = (0..20).map(|_| back_off.record_failure(is_awaited)).collect();

        assert!(pauses[1] > pauses[0], "{pauses:?}");
        // A read that is lost with the directory's return takes 700 ms, and the spread adds half
        // of the pause at most.
        assert!(pauses.iter().all(|pause| *pause * 3 / 2 + ms(700) < ms(2000)), "{pauses:?}");
        assert!(back_off.record_success());
        assert!(back_off.record_failure(is_awaited) <= pauses[0]);
    }
}

/// Guards against a reader whose knowledge grows stale whenever a change is followed by silence:
/// the pause after the change and the longest wait together took longer than its subscribers wait,
/// so that all of them read the directory.
#[test]
fn read_after_a_pause_ends_before_knowledge_is_stale() {
    let mut pace = ReadTiming::default();
    for (since, overhead) in [(0, 10), (400, 10), (400, 320), (5000, 10)] {
        pace.record(ms(900), ms(900 + overhead));

        let wait = pace.next_wait(Some(ms(since)));

        let age = ms(since + overhead) + wait;
        assert!(age < STANDBY_AGE || wait <= ms(100), "{since} ms, {overhead} ms: {wait:?}");
        assert!(wait >= ms(100), "{wait:?}");
    }
    assert_eq!(ReadTiming::default().next_wait(Some(ms(0))), Feed::Targets.longest_wait());
}
