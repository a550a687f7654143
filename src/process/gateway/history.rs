//! What an entry does when the directory returns from an older copy.
//!
//! What was in force and the copy lacks stays in force. Targets that the copy lacks get the time that
//! registrations get after an outage. Each entry writes its own record again.

use super::Gateway;
use crate::prelude::*;

/// Interval at which a wait for a return checks for one.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

impl Gateway {
    /// Records the newest history that the directory, or an entry that reads it, has named.
    pub fn observe_history(&self, history: u64) {
        let known = self.history.get();
        if known.is_some_and(|known| known >= history) {
            return;
        }
        self.history.set(Some(history));
        let Some(previous) = known else { return };
        self.returns.set(self.returns.get() + 1);
        self.directory_health.borrow_mut().record_return(Instant::now());
        self.metrics.count("cornellink_directory_returns_total");
        log::warn!(
            previous, history, targets = self.registry.borrow().len(),
            evacuated = self.evacuations.borrow().active_count(),
            version = self.table().map_or(0, |table| table.version);
            "directory returned from an older copy, keeping what is in force"
        );
    }

    /// Resolves once the directory has returned after this entry last registered.
    pub async fn wait_for_return(&self) {
        while self.returns.get() == self.registered_returns.get() {
            monoio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Whether the directory has returned from an older copy in the last `time`.
    pub fn has_returned_within(&self, time: Duration) -> bool {
        let returned = self.directory_health.borrow().returned_at();
        returned.is_some_and(|returned| returned.elapsed() < time)
    }
}
