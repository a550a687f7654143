//! Reserved slots, ejection and draining of targets.

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
use fixture::schedulers::{address, admit_until_full, document, request, scheduler};
use quickcheck::{Gen, QuickCheck};

/// Guards against long calls in the last free slot of a target, which the entries must avoid
/// without any load reports from each other.
#[test]
fn long_calls_of_all_entries_leave_a_slot_free_on_each_target() {
    for (targets, slots, entries) in [(12, 6, 16), (10, 3, 16), (6, 3, 5), (12, 6, 3)] {
        let document = document(targets, slots, 100, entries);
        let mut long = HashMap::new();
        for index in 0..entries as usize {
            let mut scheduler = scheduler(index, &document);
            for call in admit_until_full(&mut scheduler, Length::Long) {
                *long.entry(scheduler.get(call.target).unwrap().address).or_insert(0) += 1;
            }
        }
        assert!(long.values().all(|count| *count < slots), "{targets} {slots} {entries}");
        assert_eq!(long.values().sum::<u32>(), targets as u32 * (slots - 1));
    }
}

/// Guards against slots that are reserved for two entries or for none.
#[test]
fn every_slot_is_reserved_for_one_entry() {
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

/// Guards against a path that the document declares short although its calls are long, which would
/// use the slots that are kept for short calls.
#[test]
fn observed_durations_override_the_declared_length() {
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
/// failures that end an ejection early.
#[test]
fn at_most_a_third_of_the_targets_is_ejected() {
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

/// Guards against ejections that do not get longer for a flapping target, or get longer without a
/// limit.
#[test]
fn repeated_ejections_double_up_to_64_seconds() {
    let mut health = Health::default();
    let mut now = Instant::now();
    let mut spans = Vec::new();
    for _ in 0..9 {
        let span = health.eject(now);
        assert!(health.is_ejected(now));
        now += span;
        assert!(!health.is_ejected(now));
        assert!(health.traffic_share(now) < 0.1, "traffic ramps up after an ejection");
        health.record_outcome(true);
        assert!(health.should_eject(None, now), "one failure after an ejection is enough");
        spans.push(span.as_secs());
    }
    assert_eq!(spans, [1, 2, 4, 8, 16, 32, 64, 64, 64]);
}

/// Guards against callers that get a target ejected by setting short deadlines.
#[test]
fn expired_calls_with_short_deadlines_are_not_failures() {
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

fn vm_list(targets: &[(usize, bool)]) -> Vec<Vm> {
    let vm = |address, role, draining| Vm { address, domain: "a".into(), role, draining };
    let targets = targets.iter().map(|(index, leaving)| (address(*index), *leaving));
    let targets = targets.map(|(address, leaving)| vm(address, VmRole::Target, leaving));
    let entry = vm(address(900), VmRole::Entry, false);
    targets.chain([entry]).collect()
}

/// Guards against new calls at a target after a drain signal, from the list of VMs or the target
/// itself, and against a stale list or load report that would end the draining.
#[test]
fn draining_target_gets_no_new_calls() {
    let document = document(3, 3, 100, 1);
    let mut scheduler = scheduler(0, &document);
    let now = Instant::now();
    let live = vm_list(&[(0, false), (1, false), (2, false)]);
    let feedback = TargetFeedback { draining: true, ..TargetFeedback::default() };
    let idle = LoadReport { running: 0, queued: 0, slots: 3 };

    scheduler.apply_vms(&live, address(900), now);
    scheduler.apply_vms(&vm_list(&[(0, true), (1, false), (2, false)]), address(900), now);
    let feedback_target = scheduler.target_key(address(1)).unwrap();
    scheduler.record_feedback(feedback_target, feedback, now);
    scheduler.apply_vms(&live, address(900), now);
    scheduler.record_feedback(
        feedback_target,
        TargetFeedback { report: Some(idle), ..TargetFeedback::default() },
        now,
    );

    let admitted = admit_until_full(&mut scheduler, Length::Short);
    let live_target = scheduler.target_key(address(2)).unwrap();
    assert!(!admitted.is_empty());
    assert!(admitted.iter().all(|call| call.target == live_target));
}

/// Guards against an empty list of VMs, a fault of the platform, that drains every target.
#[test]
fn empty_vm_list_is_ignored() {
    let document = document(3, 3, 100, 1);
    let mut scheduler = scheduler(0, &document);
    let now = Instant::now();
    scheduler.apply_vms(&vm_list(&[(0, false), (1, false), (2, false)]), address(900), now);

    scheduler.apply_vms(&[], address(900), now);

    assert_eq!(admit_until_full(&mut scheduler, Length::Short).len(), 9);
}

/// Guards against an address that stays draining for ever although a new VM uses it.
#[test]
fn new_vm_at_a_drained_address_is_used_after_a_minute() {
    let mut drain = DrainState::default();
    let now = Instant::now();
    drain.record_listed(now);
    drain.record_unlisted(now);
    assert!(!drain.record_listed(now + Duration::from_secs(59)));
    assert!(drain.is_draining());
    assert!(drain.record_listed(now + Duration::from_secs(61)));
    assert!(!drain.is_draining());
}
