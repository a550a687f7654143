//! The registry of targets, under changes in any order.

mod fixture;

use std::rc::Rc;
use std::time::{Duration, Instant};

use cornellink::edge::directory::DecodedChange;
use cornellink::process::gateway::registry::{AbsencePolicy, Effect, TargetRegistry};
use cornellink::process::gateway::sharing::buckets::{self, Buckets};
use cornellink::version::registration::TargetState;
use fixture::registry::{any_target, apply_registration, apply_removal, change, eligible};
use quickcheck::quickcheck;

/// Guards against an older registration, written late, that makes a draining target ready again.
#[test]
fn late_registration_does_not_undo_draining() {
    let mut registry = TargetRegistry::new(4, Rc::default());
    let ready = any_target("one");
    let mut draining = ready.clone();
    (draining.state, draining.sequence) = (TargetState::Draining, 5);
    let mut late = ready.clone();
    late.sequence = 4;

    apply_registration(&mut registry, 0, &ready);
    let drained = apply_registration(&mut registry, 1, &draining);
    let effect = apply_registration(&mut registry, 2, &late);

    assert_eq!((drained, effect), (Effect::Drains, Effect::Unchanged));
    assert!(eligible(&registry, "s").is_empty());
}

/// Guards against a registration written after the removal that brings the target back.
#[test]
fn late_registration_does_not_undo_removal() {
    let mut registry = TargetRegistry::new(4, Rc::default());
    let mut target = any_target("one");
    target.sequence = 7;
    apply_registration(&mut registry, 0, &target);
    apply_removal(&mut registry, 1, "one", AbsencePolicy::Remove);

    target.sequence = 6;
    let late = apply_registration(&mut registry, 2, &target);
    target.sequence = 8;
    let renewed = apply_registration(&mut registry, 3, &target);

    assert_eq!((late, renewed), (Effect::Unchanged, Effect::Added));
}

/// Guards against a new incarnation that is taken for an outdated registration, since its sequence
/// numbers start anew.
#[test]
fn new_incarnation_replaces_the_old_one() {
    let mut registry = TargetRegistry::new(4, Rc::default());
    let mut target = any_target("one");
    target.sequence = 90;
    apply_registration(&mut registry, 0, &target);
    target.born += 1;
    target.sequence = 1;

    let effect = apply_registration(&mut registry, 1, &target);

    assert_eq!(effect, Effect::Reborn);
    assert_eq!(eligible(&registry, "s"), ["one"]);
}

/// Guards against a service without targets after an outage of the directory in which no target
/// could renew its registration.
#[test]
fn expired_target_is_eligible_until_its_renewal_grace_ends() {
    let mut registry = TargetRegistry::new(4, Rc::default());
    let (now, grace) = (Instant::now(), Duration::from_millis(2000));
    for (offset, id) in ["stays", "goes"].iter().enumerate() {
        apply_registration(&mut registry, offset as u64, &any_target(id));
    }
    let absence = AbsencePolicy::KeepUntil(now + grace);

    let expired = apply_removal(&mut registry, 2, "stays", absence);
    apply_removal(&mut registry, 3, "goes", absence);
    let during = eligible(&registry, "s");
    let mut renewed = any_target("stays");
    renewed.sequence = 2;
    let returned = apply_registration(&mut registry, 4, &renewed);
    let removed = registry.remove_expired(now + grace);

    assert_eq!((expired, returned), (Effect::Lapsed, Effect::Returned));
    assert_eq!(during, ["goes", "stays"]);
    assert_eq!(&*removed[0].key, "goes");
    assert_eq!(eligible(&registry, "s"), ["stays"]);
}

/// Guards against a draining target whose removal is taken for an expiry.
#[test]
fn draining_target_is_removed_without_grace() {
    let mut registry = TargetRegistry::new(4, Rc::default());
    let mut target = any_target("one");
    target.state = TargetState::Draining;
    apply_registration(&mut registry, 0, &target);

    let absence = AbsencePolicy::KeepUntil(Instant::now() + Duration::from_secs(2));
    let effect = apply_removal(&mut registry, 1, "one", absence);

    assert_eq!(effect, Effect::Removed);
}

/// Guards against an unreadable registration that removes other targets as well.
#[test]
fn invalid_registration_removes_only_its_own_target() {
    let mut registry = TargetRegistry::new(4, Rc::default());
    apply_registration(&mut registry, 0, &any_target("one"));
    apply_registration(&mut registry, 1, &any_target("two"));

    let decoded = DecodedChange::Unusable("missing field".into());
    let effect = registry.apply(&change(2, "one"), &decoded, AbsencePolicy::Remove, Instant::now());

    assert_eq!(effect, Effect::Unusable("missing field".into()));
    assert_eq!(eligible(&registry, "s"), ["two"]);
}

/// Guards against targets that stay although they were removed during a gap in the feed.
#[test]
fn target_missing_from_snapshot_is_removed() {
    let mut registry = TargetRegistry::new(4, Rc::default());
    apply_registration(&mut registry, 0, &any_target("held"));
    apply_registration(&mut registry, 1, &any_target("gone"));

    let effects =
        registry.expire_missing(&["held".into()].into(), Buckets::ALL, AbsencePolicy::Remove);

    let gone = effects.iter().map(|(last, effect)| (&*last.key, effect.clone()));
    assert_eq!(gone.collect::<Vec<_>>(), [("gone", Effect::Removed)]);
    assert_eq!(eligible(&registry, "s"), ["held"]);
}

/// Guards against a target that another entry's older list brings back after its removal was read:
/// the list may hold a report that this entry has not seen, with a later sequence number.
#[test]
fn registration_from_before_the_removal_does_not_bring_the_target_back() {
    let mut registry = TargetRegistry::new(4, Rc::default());
    let (first, mut second) = (any_target("one"), any_target("one"));
    second.sequence = first.sequence + 5;
    let mut third = second.clone();
    third.sequence += 1;
    apply_registration(&mut registry, 1, &first);
    apply_removal(&mut registry, 7, "one", AbsencePolicy::Remove);

    let older = apply_registration(&mut registry, 6, &second);
    let newer = apply_registration(&mut registry, 8, &third);

    assert_eq!((older, newer), (Effect::Unchanged, Effect::Added));
}

/// Guards against late registrations that bring back targets which were removed shortly before, as
/// many targets have been removed since the start.
#[test]
fn many_removals_do_not_forget_the_last_ones() {
    let mut registry = TargetRegistry::new(4, Rc::default());
    let removals = 8200;
    for number in 0..removals {
        let target = any_target(&format!("t{number}"));
        apply_registration(&mut registry, 2 * number, &target);
        apply_removal(&mut registry, 2 * number + 1, &target.id, AbsencePolicy::Remove);
    }

    for number in removals - 100..removals {
        let late = any_target(&format!("t{number}"));
        apply_registration(&mut registry, 2 * removals + number, &late);
    }

    assert!(eligible(&registry, "s").is_empty());
}

quickcheck! {
    /// The digests depend only on the registered targets, not on earlier changes.
    fn digests_match_targets_after_any_changes(steps: Vec<(u8, u8)>) -> bool {
        let mut registry = TargetRegistry::new(4, Rc::default());
        for (offset, (id, step)) in steps.iter().enumerate() {
            let id = format!("t{}", id % 8);
            let mut target = any_target(&id);
            target.sequence = offset as u64;
            target.born += u64::from(step / 64);
            match step % 4 {
                0 => apply_removal(&mut registry, offset as u64, &id, AbsencePolicy::Remove),
                1 => {
                    target.state = TargetState::Draining;
                    apply_registration(&mut registry, offset as u64, &target)
                }
                _ => apply_registration(&mut registry, offset as u64, &target),
            };
        }

        let mut expected = [0; buckets::COUNT];
        for (_, registered_target) in registry.service("s") {
            buckets::toggle(&mut expected, &registered_target.registration);
        }
        registry.digests() == expected
    }
}
