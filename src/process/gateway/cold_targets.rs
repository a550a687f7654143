//! Limits the calls of this entry to targets that are warming up.

use rand::Rng;

use super::choice::subset_ratio;
use super::cold_share::{ColdLimit, ColdShare, ColdToken};
use super::registered_target::{RegisteredTarget, RegisteredTargetKey};
use super::registry::TargetRegistry;
use super::warmup::parse_warmup;
use super::Gateway;
use crate::prelude::*;

/// Whether a target's warm-up allows a call to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdAccess {
    /// The target is not cold, or its service has no warm-up rate.
    Unlimited,
    /// The target is cold and this entry has a token for it.
    Granted,
    /// The target is cold and this entry has no token for it.
    Deferred,
}

/// The permission for one call that is about to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdPermit {
    Unlimited,
    Token(ColdToken),
}

impl Gateway {
    /// Whether the warm-up of a target allows a call to it.
    pub fn cold_access(&self, key: RegisteredTargetKey, now: Instant) -> ColdAccess {
        if !self.prepare_cold_share(key, now) {
            return ColdAccess::Unlimited;
        }
        let mut registry = self.registry.borrow_mut();
        let share = registry.get_mut(key).and_then(|target| target.cold_share.as_mut());
        match share.is_some_and(|share| share.has_token(now)) {
            true => ColdAccess::Granted,
            false => ColdAccess::Deferred,
        }
    }

    /// Takes the permission for a call that is written now; `None` if the target is cold and there
    /// is no token.
    pub fn take_cold_permit(&self, key: RegisteredTargetKey, now: Instant) -> Option<ColdPermit> {
        if !self.prepare_cold_share(key, now) {
            return Some(ColdPermit::Unlimited);
        }
        let mut registry = self.registry.borrow_mut();
        let token = registry.get_mut(key)?.cold_share.as_mut()?.take(now);
        token.map(ColdPermit::Token)
    }

    /// Accounts for the permission of a call after its exchange: gives a token back if no byte of
    /// the call was sent.
    pub fn settle_cold_permit(&self, key: RegisteredTargetKey, permit: ColdPermit, is_sent: bool) {
        let ColdPermit::Token(token) = permit else { return };
        if is_sent {
            return self.metrics.count("cornellink_cold_calls_total");
        }
        let mut registry = self.registry.borrow_mut();
        if let Some(share) = registry.get_mut(key).and_then(|target| target.cold_share.as_mut()) {
            share.give_back(token);
        }
    }

    /// Counts a call that waits or goes elsewhere because it has no token for a cold target.
    pub fn count_cold_deferral(&self) {
        self.metrics.count("cornellink_cold_deferred_total");
    }

    /// Records the warm-up that a target states in a response to a request sent at `asked_at`, if
    /// its service has a warm-up rate.
    pub fn record_warmup(&self, key: RegisteredTargetKey, response: &Answer, asked_at: Instant) {
        if !response.headers.contains_key(self.header_names.warmup) {
            return;
        }
        let mut registry = self.registry.borrow_mut();
        let Some(target) = registry.get_mut(key) else { return };
        if self.warmup_rate(&target.registration.service).is_none() {
            return;
        }
        let (remaining, errors) = parse_warmup(&self.header_names, response);
        let id = &*target.registration.id;
        for error in errors {
            log::warn!(target_id = id, error:% = error; "warm-up of a target ignored");
        }
        let Some(remaining) = remaining else { return };
        let now = Instant::now();
        let was_cold = target.warmup.is_cold(now);
        target.warmup.report(remaining, asked_at, now);
        if target.warmup.is_cold(now) != was_cold {
            log::info!(target_id = id, remaining_ms = remaining.as_millis() as u64; "warm-up changed");
        }
    }

    /// Calls per second that a cold target of a service bears; `None` if there is no bound.
    fn warmup_rate(&self, service: &str) -> Option<f64> {
        self.table()?.service(service)?.warmup_rate
    }

    /// Creates or updates the share for a cold target; false if calls to the target are not
    /// limited.
    fn prepare_cold_share(&self, key: RegisteredTargetKey, now: Instant) -> bool {
        let mut registry = self.registry.borrow_mut();
        let Some(target) = registry.get_mut(key) else { return false };
        if !target.warmup.is_cold(now) {
            target.cold_share = None;
            return false;
        }
        let Some(rate) = self.warmup_rate(&target.registration.service) else {
            target.cold_share = None;
            return false;
        };
        if target.cold_share.as_ref().is_some_and(|share| !share.is_limit_due(now)) {
            return true;
        }
        let limit = self.cold_limit(&registry, key, rate, now);
        let Some(target) = registry.get_mut(key) else { return false };
        match &mut target.cold_share {
            Some(share) => share.set_limit(limit, now),
            None => {
                let phase = self.rng.borrow_mut().random_range(0.0..1.0);
                target.cold_share = Some(ColdShare::new(limit, phase, now));
            }
        }
        true
    }

    fn cold_limit(
        &self,
        registry: &TargetRegistry,
        key: RegisteredTargetKey,
        rate: f64,
        now: Instant,
    ) -> ColdLimit {
        let settings = self.settings.borrow();
        let subset_ratio = registry.get(key).map_or(1.0, |cold| {
            // Suspect targets are in no subset as long as there are others. Calls that may use the
            // target may not always use the domains of which fewer calls may use the targets.
            let share = self.domain_share(cold, now);
            let is_used = |(other, target): &(RegisteredTargetKey, &RegisteredTarget)| {
                let is_in_subsets = target.is_eligible(now) && !target.is_suspect(now);
                *other == key || (is_in_subsets && self.domain_share(target, now) >= share)
            };
            let used = registry.service(&cold.registration.service).filter(is_used);
            let domains = used.map(|(_, target)| &*target.registration.domain);
            subset_ratio(domains, &cold.registration.domain)
        });
        let max_calls = rate * settings.warmup_overage + settings.warmup_slack;
        ColdLimit { rate, max_calls, entries: self.entry_count(), subset_ratio }
    }
}
