//! Records what targets say about themselves in their responses, whatever the directory says.

use super::registered_target::RegisteredTargetKey;
use super::response_notice::ResponseNotice;
use super::Gateway;
use crate::prelude::*;

impl Gateway {
    /// Records the notice in a response of a target, and logs what it changes.
    pub fn record_notice(&self, key: RegisteredTargetKey, response: &Answer) {
        let (notice, errors) = ResponseNotice::parse(&self.header_names, response);
        if notice == ResponseNotice::default() && errors.is_empty() {
            return;
        }
        let now = Instant::now();
        let mut registry = self.registry.borrow_mut();
        let Some(target) = registry.get(key) else { return };
        let (id, was_leaving) = (target.registration.id.clone(), target.availability.is_leaving());
        let born = target.registration.born;
        for error in errors {
            log::warn!(target_id = &*id, error:% = error; "notice of a target ignored");
        }
        registry.record_notice(key, notice, now);
        if notice.leaving && !was_leaving {
            self.metrics.count("cornellink_targets_leaving_total");
            log::info!(target_id = &*id, born, status = response.status.as_u16(); "target is leaving");
            self.sharing.loads.enqueue_leaving(&id, born, now);
        }
        if let Some(delay) = notice.retry_delay {
            self.metrics.count("cornellink_targets_turned_away_total");
            log::info!(target_id = &*id, delay_ms = delay.as_millis() as u64; "target turned this entry away");
        }
    }

    /// Returns a `retry-after` for a call to a service that was not run: when the first target takes
    /// calls again, if all of them turn calls away, and a random delay around `spread` that keeps
    /// callers from returning together.
    pub fn retry_after(&self, service: &str, spread: Duration) -> Duration {
        let now = Instant::now();
        let retry_at = self.retry_at(service, now);
        let wait = retry_at.map_or(Duration::ZERO, |at| at.saturating_duration_since(now));
        wait + self.jitter(spread)
    }
}
