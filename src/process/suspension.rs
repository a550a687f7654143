//! Suspension of the VM, during which the steady clock stands still.
//!
//! Terms that are counted by the steady clock, such as a lease or a caller's deadline, end later
//! than all others expect if the VM was suspended meanwhile.

use rustix::time::{clock_gettime, ClockId, Timespec};

use crate::prelude::*;

/// Shortest suspension that counts. Below it, the difference of the clocks is their reading time.
const MIN_SUSPENSION: Duration = Duration::from_millis(20);

/// Returns for how long the VM has been suspended since it was booted.
pub fn total() -> Duration {
    let steady = as_duration(clock_gettime(ClockId::Monotonic));
    as_duration(clock_gettime(ClockId::Boottime)).saturating_sub(steady)
}

/// Time since the VM was booted, which includes its suspensions.
pub fn since_boot() -> Duration {
    as_duration(clock_gettime(ClockId::Boottime))
}

/// The suspension between two totals; zero if it is too short to be one.
pub fn between(earlier: Duration, later: Duration) -> Duration {
    let suspended = later.saturating_sub(earlier);
    if suspended < MIN_SUSPENSION {
        return Duration::ZERO;
    }
    suspended
}

fn as_duration(time: Timespec) -> Duration {
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or_default())
}
