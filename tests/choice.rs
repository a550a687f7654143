//! Which targets are asked, and which answer wins.

mod fixture;

use std::collections::HashSet;

use cornellink::prelude::*;
use cornellink::process::gateway::choice::{cost, to_ask, Candidate};
use cornellink::process::gateway::load_sample::{Load, LoadSample};
use cornellink::process::gateway::registered_target::RegisteredTargetKey;
use cornellink::process::gateway::registry::TargetRegistry;
use fixture::registry::{any_target, apply_registration, eligible, key_of, registered_target};
use rand::rngs::SmallRng;
use rand::SeedableRng;

fn fleet(near: usize, far: usize) -> TargetRegistry {
    let mut registry = TargetRegistry::new(4, Rc::default());
    for number in 0..near + far {
        let mut target = any_target(&format!("t{number}"));
        target.domain = if number < near { "a".into() } else { "b".into() };
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

fn asked(candidates: &[Candidate]) -> HashSet<RegisteredTargetKey> {
    let mut rng = SmallRng::seed_from_u64(7);
    let rounds = (0..500).flat_map(|_| to_ask(candidates.to_vec(), &mut rng));
    rounds.collect()
}

fn sample(load: &str) -> LoadSample {
    LoadSample { taken: Instant::now(), load: Load::parse(load), healthy: true }
}

/// Guards against calls across failure domains while the own one has targets.
#[test]
fn near_targets_are_asked_first() {
    let registry = fleet(4, 8);
    let mut rng = SmallRng::seed_from_u64(1);

    let keys = to_ask(candidates(&registry, "entry"), &mut rng);

    let near =
        |key: &&RegisteredTargetKey| &*registry.get(**key).unwrap().registration.domain == "a";
    assert_eq!((keys.len(), keys.iter().filter(near).count()), (5, 4));
    assert!(keys[..4].iter().all(|key| near(&key)));
}

/// Guards against a domain without targets that gets no service.
#[test]
fn far_targets_stand_in_for_missing_near_ones() {
    let registry = fleet(0, 8);
    let mut rng = SmallRng::seed_from_u64(1);

    assert_eq!(to_ask(candidates(&registry, "entry"), &mut rng).len(), 5);
}

/// Guards against connections of every entry to every target in a large fleet.
#[test]
fn entry_uses_few_targets_of_a_large_service() {
    let registry = fleet(40, 80);

    let used = asked(&candidates(&registry, "entry"));

    assert_eq!(used.len(), 12);
}

/// Guards against a change of one target that moves the connections to many others.
#[test]
fn used_targets_stay_when_another_one_leaves() {
    let registry = fleet(40, 80);
    let all = candidates(&registry, "entry");
    let before = asked(&all);
    let left = key_of(&registry, "s", "t3");
    let rest: Vec<Candidate> = all.into_iter().filter(|one| one.key != left).collect();

    let after = asked(&rest);

    assert!(before.intersection(&after).count() >= 11);
    assert_eq!(eligible(&registry, "s").len(), 120);
}

/// Guards against all entries of a large fleet that use the same few targets.
#[test]
fn entries_spread_over_the_targets() {
    let registry = fleet(40, 0);

    let used: HashSet<RegisteredTargetKey> = (0..16)
        .flat_map(|number| asked(&candidates(&registry, &format!("entry-{number}"))))
        .collect();

    assert!(used.len() >= 38, "{}", used.len());
}

/// Guards against targets that failed lately and are asked beside sound ones.
#[test]
fn doubtful_targets_are_asked_only_for_want_of_others() {
    let mut registry = fleet(3, 0);
    let now = Instant::now();
    for id in ["t0", "t1"] {
        let key = key_of(&registry, "s", id);
        registry.get_mut(key).unwrap().failures.record_failure(now);
    }
    let sound = asked(&candidates(&registry, "entry"));
    let last = key_of(&registry, "s", "t2");
    registry.get_mut(last).unwrap().failures.record_failure(now);
    let all = asked(&candidates(&registry, "entry"));

    assert_eq!((sound, all.len()), ([last].into(), 3));
}

/// Guards against a choice by counts alone while a third of the targets works five times slower.
#[test]
fn slow_target_loses_to_a_busier_fast_one() {
    let now = Instant::now();
    let (slow, fast) =
        (registered_target(any_target("slow")), registered_target(any_target("fast")));

    let slow = cost(&slow, &sample("0,0,6,500"), "a", now);
    let fast = cost(&fast, &sample("3,0,6,100"), "a", now);

    assert!(fast < slow);
}

/// Guards against calls that cross domains for a small gain, and against ones that never do.
#[test]
fn far_target_must_be_clearly_better() {
    let now = Instant::now();
    let near = registered_target(any_target("near"));
    let mut far = any_target("far");
    far.domain = "b".into();
    let far = registered_target(far);
    let at = |registered_target, load| cost(registered_target, &sample(load), "a", now);

    assert!(at(&near, "1,0,6,110") < at(&far, "0,0,6,100"));
    assert!(at(&far, "0,0,6,100") < at(&near, "0,0,6,300"));
}

/// Guards against the exclusion of targets whose health check is wrong.
#[test]
fn target_that_calls_itself_unhealthy_is_the_last_choice() {
    let now = Instant::now();
    let target = registered_target(any_target("one"));
    let mut ill = sample("0,0,6,100");
    ill.healthy = false;

    let (ill, slow) =
        (cost(&target, &ill, "a", now), cost(&target, &sample("6,0,6,500"), "a", now));

    assert!(ill.is_finite() && ill > slow);
}

/// Guards against load headers that are misread.
#[test]
fn load_is_read_with_and_without_a_pace() {
    let whole = Load::parse("3, 1,8,250").unwrap();
    let short = Load::parse("3,1,8").unwrap();

    assert_eq!((whole.running, whole.waiting, whole.slots, whole.pace), (3, 1, 8, 250));
    assert_eq!(short.pace, 100);
    assert_eq!(Load::parse("3,x,8"), None);
    assert!(Load::parse("8,9,8,100").unwrap().queue() > 1.0);
    assert!(Load::parse("8,3,8,100").unwrap().queue() <= 1.0);
    assert_eq!(Load::parse("7,0,8,100").unwrap().queue(), 0.0);
}

/// Guards against calls that look again at a crest and open connections to all targets of a large
/// service, from every entry.
#[test]
fn calls_that_look_again_stay_among_the_used_targets() {
    let registry = fleet(40, 80);
    let mut candidates = candidates(&registry, "entry-1");
    let used = asked(&candidates);

    for candidate in &mut candidates {
        candidate.asked = used.contains(&candidate.key);
    }
    let next = asked(&candidates);

    assert!(next.is_empty(), "{} further targets", next.len());
}

/// Guards against a call that asks the same targets twice while others of its own are left.
#[test]
fn targets_that_were_asked_are_passed_over() {
    let registry = fleet(10, 0);
    let mut candidates = candidates(&registry, "entry-1");
    for candidate in candidates.iter_mut().take(8) {
        candidate.asked = true;
    }

    let next = asked(&candidates);

    assert_eq!(next, candidates[8..].iter().map(|candidate| candidate.key).collect());
}

/// Guards against a call that finds no target for its repeat, though doubtful ones are left.
#[test]
fn doubtful_targets_are_asked_once_all_others_were() {
    let registry = fleet(3, 0);
    let mut candidates = candidates(&registry, "entry-1");
    candidates[0].asked = true;
    candidates[1].doubtful = true;
    candidates[2].doubtful = true;

    let next = asked(&candidates);

    assert_eq!(next, candidates[1..].iter().map(|candidate| candidate.key).collect());
}

/// Guards against a second connection to a target while others have one that is idle: calls in
/// flight hold theirs, and probes beside them opened a third of all connections.
#[test]
fn targets_without_an_idle_connection_are_asked_last() {
    let registry = fleet(8, 0);
    let mut candidates = candidates(&registry, "entry-1");
    for candidate in candidates.iter_mut().take(3) {
        candidate.exhausted = true;
    }

    let keys = asked(&candidates);

    let free: HashSet<RegisteredTargetKey> =
        candidates[3..].iter().map(|candidate| candidate.key).collect();
    assert_eq!(keys, free);
}

/// Tells what a target of `registry` said `age` ago.
fn tell(registry: &mut TargetRegistry, id: &str, load: &str, age: u64) {
    let taken = Instant::now() - Duration::from_millis(age);
    let key = key_of(registry, "s", id);
    registry.get_mut(key).unwrap().sample = Some(LoadSample { taken, ..sample(load) });
}

/// Guards against probes of targets that were busy a moment ago, while others may be free.
#[test]
fn targets_known_to_be_busy_are_not_asked() {
    let mut registry = fleet(4, 0);
    tell(&mut registry, "t0", "6,2,6,100", 5);
    tell(&mut registry, "t1", "0,0,6,500", 5);
    tell(&mut registry, "t2", "6,2,6,100", 500);

    let keys = asked(&candidates(&registry, "entry"));

    assert_eq!(keys, ["t2", "t3"].map(|id| key_of(&registry, "s", id)).into());
}

/// Guards against five probes for a call where two confirm what another entry has heard.
#[test]
fn targets_known_to_be_free_are_asked_alone() {
    let mut registry = fleet(6, 2);
    for id in ["t1", "t3", "t5"] {
        tell(&mut registry, id, "0,0,6,100", 5);
    }
    let mut rng = SmallRng::seed_from_u64(3);

    let keys = to_ask(candidates(&registry, "entry"), &mut rng);

    let free = ["t1", "t3", "t5"].map(|id| key_of(&registry, "s", id));
    assert_eq!(keys.len(), 2);
    assert!(keys.iter().all(|key| free.contains(key)));
}
