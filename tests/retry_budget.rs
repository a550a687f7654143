//! The budget of repeats, which entries keep together without agreement.

mod fixture;

use cornellink::prelude::*;
use cornellink::process::gateway::retry_budget::RetryBudget;
use cornellink::process::gateway::{reload, Gateway};
use fixture::gateway::{settings, HEADER_NAMES};
use quickcheck::quickcheck;

const RATIO: f64 = 0.2;
const WINDOW: Duration = Duration::from_secs(10);
/// Repeats that the entries have together beside the ratio.
const SLACK: f64 = 58.0;
const ENTRIES: u32 = 16;

/// What an entry does at one moment.
#[derive(Clone, Copy)]
enum Event {
    Call,
    Repeat,
}

fn event(byte: u8) -> Event {
    match byte % 3 {
        0 => Event::Call,
        _ => Event::Repeat,
    }
}

quickcheck! {
    /// No window holds more repeats than its calls allow, however the calls spread over entries.
    fn any_window_keeps_the_ratio(events: Vec<(u8, u8, u8)>) -> bool {
        let start = Instant::now();
        let service: Rc<str> = "s".into();
        let mut entries: Vec<RetryBudget> =
            (0..ENTRIES).map(|_| RetryBudget::new(RATIO, SLACK, WINDOW)).collect();
        let (mut calls, mut repeats) = (Vec::new(), Vec::new());
        let mut now = start;
        for (entry, kind, gap) in events {
            now += Duration::from_millis(u64::from(gap) * 4);
            let budget = &mut entries[usize::from(entry % 16)];
            match event(kind) {
                Event::Call => {
                    budget.call(&service, now);
                    calls.push(now);
                }
                Event::Repeat if budget.spend(&service, ENTRIES, now) => repeats.push(now),
                Event::Repeat => {}
            }
        }
        repeats.iter().all(|end| {
            let is_in = |time: &&Instant| **time <= *end && **time + WINDOW > *end;
            let (calls, repeats) = (calls.iter().filter(is_in), repeats.iter().filter(is_in));
            repeats.count() as f64 <= RATIO * calls.count() as f64 + SLACK
        })
    }
}

/// Guards against a flood of refused calls that are all sent again.
#[test]
fn shedding_service_gets_few_repeats() {
    let mut budget = RetryBudget::new(RATIO, SLACK, WINDOW);
    let service: Rc<str> = "s".into();
    let start = Instant::now();

    let mut spent = 0;
    for number in 0..1000 {
        let now = start + Duration::from_millis(number);
        budget.call(&service, now);
        spent += u32::from(budget.spend(&service, ENTRIES, now));
    }

    assert!((100..=200).contains(&spent), "{spent}");
}

/// Guards against repeats of one service that use up those of another.
#[test]
fn services_have_budgets_of_their_own() {
    let mut budget = RetryBudget::new(RATIO, SLACK, WINDOW);
    let (one, other): (Rc<str>, Rc<str>) = ("one".into(), "other".into());
    let now = Instant::now();

    let first = budget.spend(&one, ENTRIES, now);
    let second = budget.spend(&one, ENTRIES, now);
    let elsewhere = budget.spend(&other, ENTRIES, now);

    assert_eq!((first, second, elsewhere), (true, false, true));
}

/// Guards against one repeat for each entry, whatever all entries may repeat together (incident
/// SHORT, the same cause).
#[test]
fn entries_without_calls_keep_the_slack_together() {
    let service: Rc<str> = "s".into();
    let now = Instant::now();
    for (entries, slack) in [(16, 5.0), (16, 58.0), (94, 40.0), (146, 0.0), (300, 100.0)] {
        let mut budgets: Vec<RetryBudget> =
            (0..entries).map(|_| RetryBudget::new(RATIO, slack, WINDOW)).collect();

        // Each entry starts a second time within the window.
        let mut repeats = 0;
        for budget in budgets.iter_mut() {
            repeats += u32::from(budget.spend(&service, entries, now));
            *budget = RetryBudget::new(RATIO, slack, WINDOW);
            repeats += u32::from(budget.spend(&service, entries, now));
        }

        assert!(f64::from(repeats) <= slack, "{repeats} of {slack} by {entries} entries");
    }
}

/// Guards against entries that may not repeat at all, since there are many.
#[test]
fn repeats_follow_the_calls_where_the_slack_is_small() {
    let service: Rc<str> = "s".into();
    let now = Instant::now();
    let mut budget = RetryBudget::new(RATIO, 0.0, WINDOW);

    let allowed = (0..20).filter(|_| {
        budget.call(&service, now);
        budget.spend(&service, 100, now)
    });

    assert_eq!(allowed.count(), 3);
}

/// Guards against settings that change in series and forget each time what was spent.
#[test]
fn changed_settings_keep_what_was_spent() {
    let gateway = Gateway::new(settings("entry", None), HEADER_NAMES);
    let service: Rc<str> = "s".into();
    let mut spent = 0;

    for number in 0..20 {
        let mut new = settings("entry", None);
        new.retry_ratio = RATIO + f64::from(number) / 1000.0;
        reload::apply(&gateway, new);
        spent += u32::from(gateway.retries.borrow_mut().spend(&service, ENTRIES, Instant::now()));
    }

    assert_eq!(spent, 1);
}
