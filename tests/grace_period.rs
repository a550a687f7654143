//! Which calls a stopping entry still sends to targets.

use cornellink::prelude::*;
use cornellink::process::grace_period::GracePeriod;
use quickcheck::{quickcheck, TestResult};

/// Longest time from the notice of a shutdown until its calls must end before the grace period does.
const MAX_NOTICE: Duration = Duration::from_secs(2);

fn millis(value: u16) -> Duration {
    Duration::from_millis(value.into())
}

quickcheck! {
    /// Guards against a call that arrives late in a planned stop and is sent although it may still
    /// run when the grace period ends.
    fn late_call_is_sent_only_if_it_ends_before_the_grace_period(
        length: u16,
        arrival: u16,
        timeout: u16,
        expected: u16
    ) -> TestResult {
        let start = Instant::now();
        let period = GracePeriod::new(start, Duration::ZERO, millis(length));
        let now = start + millis(arrival);
        let deadline = Deadline::after(now, millis(timeout));

        let is_sent = period.may_send(deadline, millis(expected), now);

        let ends_before = deadline.instant() < period.end();
        let is_late = now >= start + (millis(length) / 2).min(MAX_NOTICE);
        TestResult::from_bool(!is_sent || ends_before || !is_late)
    }

    /// Guards against a call that is sent early in a planned stop although it is expected to be cut.
    fn call_that_is_expected_to_be_cut_is_not_sent(length: u16, arrival: u16, expected: u16) -> bool {
        let start = Instant::now();
        let period = GracePeriod::new(start, Duration::ZERO, millis(length));
        let now = start + millis(arrival);
        let deadline = Deadline::after(now, Duration::from_secs(3600));

        !period.may_send(deadline, millis(expected), now) || now + millis(expected) <= period.end()
    }

    /// Guards against refusals of calls that end in time, which would make a planned stop visible to
    /// callers without need.
    fn call_that_ends_well_before_the_grace_period_is_sent(length: u16, arrival: u16) -> bool {
        let start = Instant::now();
        let period = GracePeriod::new(start, Duration::ZERO, millis(length) + MAX_NOTICE);
        let now = start + millis(arrival);
        let deadline = Deadline::after(now, Duration::from_secs(1));

        period.may_send(deadline, Duration::ZERO, now) || now + MAX_NOTICE > period.end()
    }
}
