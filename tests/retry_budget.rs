//! The retry budget, which holds for all entries together without coordination.

mod fixture;

use cornellink::prelude::*;
use cornellink::process::gateway::retry_budget::RetryBudget;
use cornellink::process::gateway::{reload, Gateway};
use fixture::gateway::{settings, HEADER_NAMES};
use quickcheck::quickcheck;

const RATIO: f64 = 0.2;
const WINDOW: Duration = Duration::from_secs(10);
/// Retries that all entries may make in a window beyond the ratio.
const SLACK: f64 = 58.0;
const ENTRIES: u32 = 16;

/// An event at one entry.
#[derive(Clone, Copy)]
enum Event {
    Call,
    Retry,
}

fn event(byte: u8) -> Event {
    match byte % 3 {
        0 => Event::Call,
        _ => Event::Retry,
    }
}

quickcheck! {
    /// No window holds more retries than its calls allow, however these are spread over entries.
    fn retries_in_any_window_stay_within_the_budget(events: Vec<(u8, u8, u8)>) -> bool {
        let start = Instant::now();
        let service: Rc<str> = "s".into();
        let mut entries: Vec<RetryBudget> =
            (0..ENTRIES).map(|_| RetryBudget::new(RATIO, SLACK, WINDOW)).collect();
        let (mut calls, mut retries) = (Vec::new(), Vec::new());
        let mut now = start;
        for (entry, kind, gap) in events {
            now += Duration::from_millis(u64::from(gap) * 4);
            let budget = &mut entries[usize::from(entry % 16)];
            match event(kind) {
                Event::Call => {
                    budget.record_call(&service, now);
                    calls.push(now);
                }
                Event::Retry if budget.take_retry(&service, ENTRIES, now) => retries.push(now),
                Event::Retry => {}
            }
        }
        retries.iter().all(|end| {
            let is_in = |time: &&Instant| **time <= *end && **time + WINDOW > *end;
            let (calls, retries) = (calls.iter().filter(is_in), retries.iter().filter(is_in));
            retries.count() as f64 <= RATIO * calls.count() as f64 + SLACK
        })
    }
}

/// Guards against a service that refuses most calls and gets all of them again as retries.
#[test]
fn retries_of_an_overloaded_service_stay_within_the_ratio() {
    let mut budget = RetryBudget::new(RATIO, SLACK, WINDOW);
    let service: Rc<str> = "s".into();
    let start = Instant::now();

    let mut retries = 0;
    for number in 0..1000 {
        let now = start + Duration::from_millis(number);
        budget.record_call(&service, now);
        retries += u32::from(budget.take_retry(&service, ENTRIES, now));
    }

    assert!((100..=200).contains(&retries), "{retries}");
}

/// Guards against retries of one service that use up the budget of another.
#[test]
fn each_service_has_its_own_budget() {
    let mut budget = RetryBudget::new(RATIO, SLACK, WINDOW);
    let (one, other): (Rc<str>, Rc<str>) = ("one".into(), "other".into());
    let now = Instant::now();

    let first = budget.take_retry(&one, ENTRIES, now);
    let second = budget.take_retry(&one, ENTRIES, now);
    let elsewhere = budget.take_retry(&other, ENTRIES, now);

    assert_eq!((first, second, elsewhere), (true, false, true));
}

/// Guards against one retry per entry whatever the limit of all entries together is (incident
/// SHORT, the same cause).
#[test]
fn entries_without_calls_stay_within_the_slack_together() {
    let service: Rc<str> = "s".into();
    let now = Instant::now();
    for (entries, slack) in [(16, 5.0), (16, 58.0), (94, 40.0), (146, 0.0), (300, 100.0)] {
        let mut budgets: Vec<RetryBudget> =
            (0..entries).map(|_| RetryBudget::new(RATIO, slack, WINDOW)).collect();

        // Each entry starts a second time within the window.
        let mut retries = 0;
        for budget in budgets.iter_mut() {
            retries += u32::from(budget.take_retry(&service, entries, now));
            *budget = RetryBudget::new(RATIO, slack, WINDOW);
            retries += u32::from(budget.take_retry(&service, entries, now));
        }

        assert!(f64::from(retries) <= slack, "{retries} of {slack} by {entries} entries");
    }
}

/// Guards against entries that may not retry at all because there are many of them.
#[test]
fn retries_without_slack_follow_the_ratio() {
    let service: Rc<str> = "s".into();
    let now = Instant::now();
    let mut budget = RetryBudget::new(RATIO, 0.0, WINDOW);

    let allowed = (0..20).filter(|_| {
        budget.record_call(&service, now);
        budget.take_retry(&service, 100, now)
    });

    assert_eq!(allowed.count(), 3);
}

/// Guards against repeated changes of the settings, each of which resets the retries already made.
#[test]
fn changed_settings_keep_the_retries_already_made() {
    let gateway = Gateway::new(settings("entry", None), HEADER_NAMES);
    let service: Rc<str> = "s".into();
    let mut retries = 0;

    for number in 0..20 {
        let mut new = settings("entry", None);
        new.retry_ratio = RATIO + f64::from(number) / 1000.0;
        reload::apply(&gateway, new);
        retries +=
            u32::from(gateway.retries.borrow_mut().take_retry(&service, ENTRIES, Instant::now()));
    }

    assert_eq!(retries, 1);
}
