//! The attempts of a call.

use rand::Rng;

use super::attempt::{attempt, Attempt};
use super::header;
use super::matched::Matched;
use crate::prelude::*;
use crate::process::entry::Entry;

/// Most attempts of one call.
const MAX_ATTEMPTS: u32 = 3;
/// Longest mean pause before the first retry.
const MAX_PAUSE: Duration = Duration::from_millis(50);
/// Shortest range of the pause before the first retry.
const MIN_PAUSE: Duration = Duration::from_millis(2);

/// What the caller is told if no further attempt is made.
struct Last {
    answer: Answer,
    /// An attempt has run or may have run, so that the outcome is no longer "not run".
    has_run: bool,
}

impl Last {
    fn new() -> Self {
        Self { answer: Answer::own(Code::NotRunNoTarget), has_run: false }
    }

    fn answered(&mut self, answer: Answer) {
        self.answer = answer;
        self.has_run = true;
    }

    fn fail(&mut self, code: Code) {
        if code.is_unknown() || !self.has_run {
            self.answer = Answer::own(code);
        }
        self.has_run |= code.is_unknown();
    }
}

/// Makes attempts until one answers or no further one is allowed.
pub async fn run(entry: &Entry, matched: &Matched, mut call: Call) -> Answer {
    call.set(header::CLASS, &matched.class().name);
    entry.scheduler.borrow_mut().retry_budget(matched.flow).earn(matched.workspace().retry_percent);
    let (mut tried, mut last) = (Vec::new(), Last::new());
    let max_attempts = max_attempts(matched, &call);
    let mut number = matched.attempt;
    loop {
        call.set(header::ATTEMPT, &number.to_string());
        match attempt(entry, matched, &mut call, &mut tried).await {
            Attempt::Answered(mut answer) => {
                answer.set_code(Code::Answered);
                answer.set(header::ATTEMPT, &number.to_string());
                if !matched.class().idempotent || !is_transient(answer.status) {
                    return answer;
                }
                last.answered(answer);
            }
            // A refusal of the entry's own does not hide what an earlier attempt has shown.
            Attempt::NotSent(_) if number > matched.attempt => return last.answer,
            Attempt::NotSent(code) => return Answer::own(code),
            Attempt::Unknown(code) => {
                last.fail(code);
                if !matched.class().idempotent {
                    return last.answer;
                }
            }
            Attempt::NotRun(code) => last.fail(code),
        }
        let pause = jitter(number);
        if number >= max_attempts || matched.attempt > 1 || pause >= left(matched) {
            return last.answer;
        }
        if !entry.scheduler.borrow_mut().retry_budget(matched.flow).spend() {
            entry.metrics.count("cornellink_retries_refused_total");
            return last.answer;
        }
        entry.metrics.count("cornellink_retries_total");
        monoio::time::sleep(pause).await;
        number += 1;
    }
}

/// Most attempts; a non-idempotent call without a key gets one.
fn max_attempts(matched: &Matched, call: &Call) -> u32 {
    let has_key = call.headers.contains_key(header::IDEMPOTENCY_KEY);
    if matched.class().idempotent || has_key {
        MAX_ATTEMPTS
    } else {
        1
    }
}

/// Statuses that another target may not repeat.
fn is_transient(status: StatusCode) -> bool {
    matches!(status.as_u16(), 500 | 502..=504)
}

fn left(matched: &Matched) -> Duration {
    matched.deadline.left(Instant::now())
}

/// A pause anywhere between nothing and a bound that doubles with each attempt.
fn jitter(number: u32) -> Duration {
    let bound = (MIN_PAUSE * 2u32.saturating_pow(number)).min(MAX_PAUSE);
    bound.mul_f64(rand::rng().random())
}
