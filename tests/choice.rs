//! Selection of the targets to probe, and the cost of a call at a target.

mod fixture;

use std::collections::HashSet;

use cornellink::prelude::*;
use cornellink::process::gateway::choice::{cost, select_probe_targets, Candidate};
use cornellink::process::gateway::load_sample::{Load, LoadSample};
use cornellink::process::gateway::locality::Reach;
use cornellink::process::gateway::registered_target::RegisteredTargetKey;
use cornellink::process::gateway::registry::TargetRegistry;
use fixture::registry::{any_target, apply_registration, eligible, key_of, registered_target};
use rand::rngs::SmallRng;
use rand::SeedableRng;

fn registry_of(local: usize, remote: usize) -> TargetRegistry {
    let mut registry = TargetRegistry::new(4, Rc::default());
    for number in 0..local + remote {
        let mut target = any_target(&format!("t{number}"));
        target.domain = if number < local { "a".into() } else { "b".into() };
        apply_registration(&mut registry, number as u64, &target);
    }
    registry
}

fn candidates(registry: &TargetRegistry, entry: &str) -> Vec<Candidate> {
    let now = Instant::now();
    let targets = registry.service("s");
    targets
        .map(|(key, registered_target)| Candidate::new(key, registered_target, entry, "a", now))
        .collect()
}

fn probed_targets(candidates: &[Candidate]) -> HashSet<RegisteredTargetKey> {
    let mut rng = SmallRng::seed_from_u64(7);
    let rounds =
        (0..500).flat_map(|_| select_probe_targets(candidates.to_vec(), Reach::All, &mut rng));
    rounds.collect()
}

fn sample(load: &str) -> LoadSample {
    LoadSample { taken: Instant::now(), load: Load::parse(load), healthy: true }
}

/// Guards against calls to remote targets while there are local ones.
#[test]
fn local_targets_are_probed_first() {
    let registry = registry_of(4, 8);
    let mut rng = SmallRng::seed_from_u64(1);

    let keys = select_probe_targets(candidates(&registry, "entry"), Reach::All, &mut rng);

    let local =
        |key: &&RegisteredTargetKey| &*registry.get(**key).unwrap().registration.domain == "a";
    assert_eq!((keys.len(), keys.iter().filter(local).count()), (5, 4));
    assert!(keys[..4].iter().all(|key| local(&key)));
}

/// Guards against calls that fail because the entry's failure domain has no targets.
#[test]
fn remote_targets_are_probed_if_there_are_no_local_ones() {
    let registry = registry_of(0, 8);
    let mut rng = SmallRng::seed_from_u64(1);

    assert_eq!(select_probe_targets(candidates(&registry, "entry"), Reach::All, &mut rng).len(), 5);
}

/// Guards against large responses from other failure domains while the own one has targets, also if
/// all of these were probed, and against calls without a target where there is no local one.
#[test]
fn local_reach_leaves_out_remote_targets_unless_there_are_no_others() {
    let (with_local, without) = (registry_of(3, 8), registry_of(0, 8));
    let mut rng = SmallRng::seed_from_u64(1);
    let probed = candidates(&with_local, "entry").into_iter();
    let probed = probed.map(|one| Candidate { excluded: one.local, ..one }).collect();

    let near = select_probe_targets(candidates(&with_local, "entry"), Reach::Local, &mut rng);
    let none = select_probe_targets(probed, Reach::Local, &mut rng);
    let far = select_probe_targets(candidates(&without, "entry"), Reach::Local, &mut rng);

    assert_eq!((near.len(), none.len(), far.len()), (3, 0, 5));
}

/// Guards against connections of every entry to every target of a large service.
#[test]
fn entry_probes_a_subset_of_a_large_service() {
    let registry = registry_of(40, 80);

    let subset = probed_targets(&candidates(&registry, "entry"));

    assert_eq!(subset.len(), 12);
}

/// Guards against the removal of one target that moves connections to many others.
#[test]
fn subset_changes_by_one_when_a_target_is_removed() {
    let registry = registry_of(40, 80);
    let all = candidates(&registry, "entry");
    let before = probed_targets(&all);
    let removed = key_of(&registry, "s", "t3");
    let rest: Vec<Candidate> = all.into_iter().filter(|one| one.key != removed).collect();

    let after = probed_targets(&rest);

    assert!(before.intersection(&after).count() >= 11);
    assert_eq!(eligible(&registry, "s").len(), 120);
}

/// Guards against all entries using the same few targets of a large service.
#[test]
fn subsets_of_many_entries_cover_the_targets() {
    let registry = registry_of(40, 0);

    let subset: HashSet<RegisteredTargetKey> = (0..16)
        .flat_map(|number| probed_targets(&candidates(&registry, &format!("entry-{number}"))))
        .collect();

    assert!(subset.len() >= 38, "{}", subset.len());
}

/// Guards against probes of targets with recent failures while others work.
#[test]
fn suspect_targets_are_probed_only_if_there_are_no_others() {
    let mut registry = registry_of(3, 0);
    let now = Instant::now();
    for id in ["t0", "t1"] {
        let key = key_of(&registry, "s", id);
        registry.get_mut(key).unwrap().failures.record_failure(now);
    }
    let without_failures = probed_targets(&candidates(&registry, "entry"));
    let last = key_of(&registry, "s", "t2");
    registry.get_mut(last).unwrap().failures.record_failure(now);
    let all = probed_targets(&candidates(&registry, "entry"));

    assert_eq!((without_failures, all.len()), ([last].into(), 3));
}

/// Guards against a choice by the number of calls alone while a third of the targets is five times
/// slower.
#[test]
fn slow_idle_target_costs_more_than_a_busier_fast_one() {
    let now = Instant::now();
    let (slow, fast) =
        (registered_target(any_target("slow")), registered_target(any_target("fast")));

    let slow = cost(&slow, &sample("0,0,6,500"), "a", now);
    let fast = cost(&fast, &sample("3,0,6,100"), "a", now);

    assert!(fast < slow);
}

/// Guards against calls that go to a remote target for a small gain, and ones that never do.
#[test]
fn remote_target_is_cheaper_only_if_much_faster() {
    let now = Instant::now();
    let local = registered_target(any_target("near"));
    let mut remote = any_target("far");
    remote.domain = "b".into();
    let remote = registered_target(remote);
    let at = |registered_target, load| cost(registered_target, &sample(load), "a", now);

    assert!(at(&local, "1,0,6,110") < at(&remote, "0,0,6,100"));
    assert!(at(&remote, "0,0,6,100") < at(&local, "0,0,6,300"));
}

/// Guards against the exclusion of targets whose health check is wrong.
#[test]
fn unhealthy_target_has_the_highest_finite_cost() {
    let now = Instant::now();
    let target = registered_target(any_target("one"));
    let mut unhealthy = sample("0,0,6,100");
    unhealthy.healthy = false;

    let (unhealthy, slow) =
        (cost(&target, &unhealthy, "a", now), cost(&target, &sample("6,0,6,500"), "a", now));

    assert!(unhealthy.is_finite() && unhealthy > slow);
}

/// Guards against wrong parsing of the load header.
#[test]
fn load_parses_with_and_without_a_slowdown() {
    let full = Load::parse("3, 1,8,250").unwrap();
    let short = Load::parse("3,1,8").unwrap();

    assert_eq!((full.running, full.waiting, full.slots, full.slowdown_percent), (3, 1, 8, 250));
    assert_eq!(short.slowdown_percent, 100);
    assert_eq!(Load::parse("3,x,8"), None);
    assert!(Load::parse("8,9,8,100").unwrap().queue_ratio() > 1.0);
    assert!(Load::parse("8,3,8,100").unwrap().queue_ratio() <= 1.0);
    assert_eq!(Load::parse("7,0,8,100").unwrap().queue_ratio(), 0.0);
}

/// Guards against further rounds of probes at a load peak that open connections from every entry to
/// all targets of a large service.
#[test]
fn further_rounds_stay_within_the_subset() {
    let registry = registry_of(40, 80);
    let mut candidates = candidates(&registry, "entry-1");
    let subset = probed_targets(&candidates);

    for candidate in &mut candidates {
        candidate.excluded = subset.contains(&candidate.key);
    }
    let next = probed_targets(&candidates);

    assert!(next.is_empty(), "{} further targets", next.len());
}

/// Guards against a call that probes the same targets twice while others of the subset are left.
#[test]
fn excluded_targets_are_not_probed_again() {
    let registry = registry_of(10, 0);
    let mut candidates = candidates(&registry, "entry-1");
    for candidate in candidates.iter_mut().take(8) {
        candidate.excluded = true;
    }

    let next = probed_targets(&candidates);

    assert_eq!(next, candidates[8..].iter().map(|candidate| candidate.key).collect());
}

/// Guards against a retry that finds no target although suspect ones are left.
#[test]
fn suspect_targets_are_probed_after_all_others_are_excluded() {
    let registry = registry_of(3, 0);
    let mut candidates = candidates(&registry, "entry-1");
    candidates[0].excluded = true;
    candidates[1].suspect = true;
    candidates[2].suspect = true;

    let next = probed_targets(&candidates);

    assert_eq!(next, candidates[1..].iter().map(|candidate| candidate.key).collect());
}

/// Guards against a second connection to a target while other targets have an idle one. Calls in
/// flight hold their connections, and probes beside them opened a third of all connections.
#[test]
fn targets_without_an_idle_connection_are_probed_last() {
    let registry = registry_of(8, 0);
    let mut candidates = candidates(&registry, "entry-1");
    for candidate in candidates.iter_mut().take(3) {
        candidate.exhausted = true;
    }

    let keys = probed_targets(&candidates);

    let free: HashSet<RegisteredTargetKey> =
        candidates[3..].iter().map(|candidate| candidate.key).collect();
    assert_eq!(keys, free);
}

/// Sets the sample of a target to one that was taken `age` milliseconds ago.
fn set_sample(registry: &mut TargetRegistry, id: &str, load: &str, age: u64) {
    let taken = Instant::now() - Duration::from_millis(age);
    let key = key_of(registry, "s", id);
    registry.get_mut(key).unwrap().sample = Some(LoadSample { taken, ..sample(load) });
}

/// Guards against probes of targets with a recent sample of high load while others may be free.
#[test]
fn targets_estimated_busy_are_not_probed() {
    let mut registry = registry_of(4, 0);
    set_sample(&mut registry, "t0", "6,2,6,100", 5);
    set_sample(&mut registry, "t1", "0,0,6,500", 5);
    set_sample(&mut registry, "t2", "6,2,6,100", 500);

    let keys = probed_targets(&candidates(&registry, "entry"));

    assert_eq!(keys, ["t2", "t3"].map(|id| key_of(&registry, "s", id)).into());
}

/// Guards against five probes for a call where two are enough to confirm the samples of another
/// entry.
#[test]
fn only_targets_estimated_free_are_probed_if_any() {
    let mut registry = registry_of(6, 2);
    for id in ["t1", "t3", "t5"] {
        set_sample(&mut registry, id, "0,0,6,100", 5);
    }
    let mut rng = SmallRng::seed_from_u64(3);

    let keys = select_probe_targets(candidates(&registry, "entry"), Reach::All, &mut rng);

    let free = ["t1", "t3", "t5"].map(|id| key_of(&registry, "s", id));
    assert_eq!(keys.len(), 2);
    assert!(keys.iter().all(|key| free.contains(key)));
}
