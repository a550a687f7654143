//! Model of the quotas in fleets of 16, 125 and 300 entries, in virtual time.

mod fixture;

use cornellink::prelude::*;
use cornellink::version::workspace_table::Quota;
use fixture::quota::{ms, Fleet, START, TERMS};
use rand::Rng;

/// Calls per second of all workspaces at usual load.
const USUAL_RATE: f64 = 924.0;
const WORKSPACES: usize = 81;
/// Quota of a workspace as a multiple of its usual rate.
const QUOTA_RATIO: f64 = 1.6;
/// Goals: share of the calls below the quota that may be refused.
const MAX_STEADY_REFUSALS: f64 = 0.01;
const MAX_SWING_REFUSALS: f64 = 0.05;
/// Time until all entries have handed over refill for the longest expiry.
const WARM_UP: Duration = Duration::from_secs(6);

/// Usual rates by a power law; the largest workspace has about a quarter of the calls.
fn usual_rates() -> Vec<f64> {
    let weights: Vec<f64> = (1..=WORKSPACES).map(|rank| (rank as f64).powf(-1.15)).collect();
    let sum: f64 = weights.iter().sum();
    weights.iter().map(|weight| weight / sum * USUAL_RATE).collect()
}

fn quotas() -> Vec<Quota> {
    let quota = |rate: &f64| Quota { rate: rate * QUOTA_RATIO, burst: rate * QUOTA_RATIO };
    usual_rates().iter().map(quota).collect()
}

/// Sends calls of all workspaces at a multiple of their usual rates, at random times and entries.
fn send_calls(fleet: &mut Fleet, entries: usize, ratio: f64, from: Duration, until: Duration) {
    for (workspace, rate) in usual_rates().into_iter().enumerate() {
        let mut time = from;
        loop {
            let chance: f64 = fleet.rng.random_range(f64::MIN_POSITIVE..1.0);
            time += Duration::from_secs_f64(-chance.ln() / (rate * ratio));
            if time >= until {
                break;
            }
            let entry = fleet.rng.random_range(0..entries);
            fleet.call(entry, workspace, time);
        }
    }
}

/// Runs usual load, then a swing to `ratio` times of it, with `before` times of it ahead of the swing;
/// returns the refused shares of both and prints the figures.
fn refused_shares(entries: usize, before: f64, ratio: f64) -> (f64, f64) {
    let mut fleet = Fleet::start(entries, &quotas(), 1);
    let swing = START + WARM_UP + Duration::from_secs(20);
    send_calls(&mut fleet, entries, before, START, swing);
    send_calls(&mut fleet, entries, ratio, swing, swing + Duration::from_secs(5));
    fleet.run_until(swing + Duration::from_secs(6));

    let share = |(below, refused): (usize, usize)| refused as f64 / below.max(1) as f64;
    let steady = fleet.refused_below_quota(START + WARM_UP, swing);
    let crest = fleet.refused_below_quota(swing, swing + Duration::from_secs(1));
    println!(
        "entries {entries}, load {before} to {ratio}: refused {steady:?} steady, {crest:?} in the \
         first second; {} messages, {} bytes, {} calls",
        fleet.messages,
        fleet.bytes,
        fleet.outcomes.len()
    );
    for workspace in 0..WORKSPACES {
        let most = fleet.max_in_window(workspace, TERMS.window, START);
        assert!(most as f64 <= TERMS.max_calls(quotas()[workspace]), "workspace {workspace}");
    }
    (share(steady), share(crest))
}

/// Guards against a quota that refuses calls which it should pass, since shares, messages and expiry
/// cost tokens.
fn check_goals(entries: usize) {
    for (before, ratio) in [(1.0, 1.6), (1.0, 2.5), (0.1, 1.5), (1.0, 4.0)] {
        let (steady, swing) = refused_shares(entries, before, ratio);

        assert!(steady < MAX_STEADY_REFUSALS, "steady load {before}: {steady}");
        assert!(swing < MAX_SWING_REFUSALS, "swing from {before} to {ratio}: {swing}");
    }
}

#[test]
fn few_calls_below_the_quota_are_refused_at_16_entries() {
    check_goals(16);
}

#[test]
fn few_calls_below_the_quota_are_refused_at_125_entries() {
    check_goals(125);
}

#[test]
fn few_calls_below_the_quota_are_refused_at_300_entries() {
    check_goals(300);
}

/// Guards against messages of a fleet whose configuration has no limits.
#[test]
fn entries_without_limits_send_nothing() {
    let mut fleet = Fleet::start(16, &[], 1);

    fleet.run_until(START + ms(5000));

    assert_eq!(fleet.messages, 0);
}
