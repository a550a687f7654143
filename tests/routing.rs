//! Reserved slots, ejection and leaving targets.

mod fixture;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use cornellink::edge::vms::{Vm, VmRole};
use cornellink::prelude::*;
use cornellink::process::drain_state::DrainState;
use cornellink::process::durations::{Durations, ShapeKey};
use cornellink::process::health::Health;
use cornellink::process::outcome::{Outcome, TargetFeedback};
use cornellink::process::permit::acquire;
use cornellink::process::runtime::block_on;
use cornellink::process::share::{long_slots, EntryPosition};
use cornellink::process::target::LoadReport;
use cornellink::version::class::Length;
use fixture::schedulers::{address, document, fill, request, scheduler};
use quickcheck::{Gen, QuickCheck};

/// Guards against long work in the last slot of a target, whichever entries send it and whatever
/// they know of each other.
#[test]
fn entries_together_leave_a_slot_free_of_long_work() {
    for (targets, slots, entries) in [(12, 6, 16), (10, 3, 16), (6, 3, 5), (12, 6, 3)] {
        let document = document(targets, slots, 100, entries);
        let mut long = HashMap::new();
        for index in 0..entries as usize {
            let mut scheduler = scheduler(index, &document);
            for call in fill(&mut scheduler, Length::Long) {
                *long.entry(scheduler.get(call.target).unwrap().address).or_insert(0) += 1;
            }
        }
        assert!(long.values().all(|count| *count < slots), "{targets} {slots} {entries}");
        assert_eq!(long.values().sum::<u32>(), targets as u32 * (slots - 1));
    }
}

/// Guards against slots that belong to two entries or to none.
#[test]
fn every_slot_belongs_to_one_entry() {
    fn property(slots: Vec<u8>, count: u8) -> bool {
        let slots: Vec<u32> = slots.into_iter().map(|slots| u32::from(slots % 7 + 1)).collect();
        let count = u32::from(count % 20 + 1);
        let mut sum = vec![0; slots.len()];
        for rank in 0..count {
            for (sum, own) in
                sum.iter_mut().zip((EntryPosition { rank, count }).reserved_slots(&slots))
            {
                *sum += own;
            }
        }
        sum == slots
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, 9))
        .quickcheck(property as fn(Vec<u8>, u8) -> bool);
    assert_eq!(long_slots(1), 1);
}

/// Guards against a path that is declared short and takes the slots kept for short work.
#[test]
fn observed_durations_correct_the_class() {
    let mut durations = Durations::default();
    let now = Instant::now();
    let (check, pull) = (ShapeKey::new("any", "/yard/1"), ShapeKey::new("any", "/log/1"));
    for index in 0..400 {
        durations.record(check, Length::Short, Duration::from_millis(5), now);
        if index % 10 == 0 {
            durations.record(pull, Length::Short, Duration::from_millis(200), now);
        }
    }

    assert_eq!(durations.classify(pull, Length::Short), Length::Long);
    assert_eq!(durations.classify(check, Length::Long), Length::Short);
    assert_eq!(ShapeKey::new("any", "/log/77/x"), pull);
}

/// Guards against a fault of all targets that ejects more than a third of them, and against
/// errors that end an ejection.
#[test]
fn at_most_a_third_is_ejected() {
    for targets in [1, 2, 3, 10, 12] {
        let document = document(targets, 3, 100, 1);
        let scheduler = Rc::new(RefCell::new(scheduler(0, &document)));
        let shared = scheduler.clone();
        block_on(async move {
            for _ in 0..40 * targets {
                let now = Instant::now();
                let request = request(&shared.borrow(), 1, Length::Short, now);
                let permit = acquire(&shared, request).await.unwrap();
                permit.end(Outcome::Failed(TargetFeedback::default()));
            }
        })
        .unwrap();
        let now = Instant::now();
        let ejected = (0..targets).filter(|index| {
            let scheduler = scheduler.borrow();
            let target = scheduler.target_key(address(*index)).unwrap();
            scheduler.get(target).unwrap().health.is_ejected(now)
        });
        assert_eq!(ejected.count(), targets / 3);
    }
}

/// Guards against ejection times that do not grow for a target that flaps, or grow for ever.
#[test]
fn ejections_grow_to_a_bound() {
    let mut health = Health::default();
    let mut now = Instant::now();
    let mut spans = Vec::new();
    for _ in 0..9 {
        let span = health.eject(now);
        assert!(health.is_ejected(now));
        now += span;
        assert!(!health.is_ejected(now));
        assert!(health.traffic_share(now) < 0.1, "the return is ramped");
        health.record_outcome(true);
        assert!(health.is_outlier(None, now), "one failure after a return is enough");
        spans.push(span.as_secs());
    }
    assert_eq!(spans, [1, 2, 4, 8, 16, 32, 64, 64, 64]);
}

/// Guards against callers with short deadlines that have a target ejected.
#[test]
fn short_deadlines_say_nothing_against_a_target() {
    let document = document(3, 3, 100, 1);
    let scheduler = Rc::new(RefCell::new(scheduler(0, &document)));
    let shared = scheduler.clone();
    block_on(async move {
        for _ in 0..100 {
            let request = request(&shared.borrow(), 1, Length::Short, Instant::now());
            acquire(&shared, request).await.unwrap().end(Outcome::Expired);
        }
    })
    .unwrap();
    let scheduler = scheduler.borrow();
    for index in 0..3 {
        let target = scheduler.target_key(address(index)).unwrap();
        assert_eq!(scheduler.get(target).unwrap().health.failure_ratio(), 0.0);
    }
}

fn list(targets: &[(usize, bool)]) -> Vec<Vm> {
    let vm = |address, role, leaving| Vm { address, domain: "a".into(), role, leaving };
    let targets = targets.iter().map(|(index, leaving)| (address(*index), *leaving));
    let targets = targets.map(|(address, leaving)| vm(address, VmRole::Target, leaving));
    let entry = vm(address(900), VmRole::Entry, false);
    targets.chain([entry]).collect()
}

/// Guards against new work at a target that leaves, by any sign, and against stale signs of life
/// that bring it back.
#[test]
fn leaving_target_gets_no_new_work() {
    let document = document(3, 3, 100, 1);
    let mut scheduler = scheduler(0, &document);
    let now = Instant::now();
    let live = list(&[(0, false), (1, false), (2, false)]);
    let feedback = TargetFeedback { draining: true, ..TargetFeedback::default() };
    let idle = LoadReport { running: 0, queued: 0, slots: 3 };

    scheduler.apply_vms(&live, address(900), now);
    scheduler.apply_vms(&list(&[(0, true), (1, false), (2, false)]), address(900), now);
    let second = scheduler.target_key(address(1)).unwrap();
    scheduler.record_feedback(second, feedback, now);
    scheduler.apply_vms(&live, address(900), now);
    scheduler.record_feedback(
        second,
        TargetFeedback { report: Some(idle), ..TargetFeedback::default() },
        now,
    );

    let admitted = fill(&mut scheduler, Length::Short);
    let third = scheduler.target_key(address(2)).unwrap();
    assert!(!admitted.is_empty());
    assert!(admitted.iter().all(|call| call.target == third));
}

/// Guards against an empty list, a fault of the platform, that takes every target out of use.
#[test]
fn empty_list_changes_nothing() {
    let document = document(3, 3, 100, 1);
    let mut scheduler = scheduler(0, &document);
    let now = Instant::now();
    scheduler.apply_vms(&list(&[(0, false), (1, false), (2, false)]), address(900), now);

    scheduler.apply_vms(&[], address(900), now);

    assert_eq!(fill(&mut scheduler, Length::Short).len(), 9);
}

/// Guards against an address that can never be used again after a new VM has taken it.
#[test]
fn new_vm_at_an_old_address_is_used_after_a_minute() {
    let mut drain = DrainState::default();
    let now = Instant::now();
    drain.record_listed(now);
    drain.record_unlisted(now);
    assert!(!drain.record_listed(now + Duration::from_secs(59)));
    assert!(drain.is_draining());
    assert!(drain.record_listed(now + Duration::from_secs(61)));
    assert!(!drain.is_draining());
}
