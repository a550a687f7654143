//! What an attempt shows of its target.

use super::permit::AdmittedCall;
use super::scheduler::Scheduler;
use super::service::ServiceId;
use super::target::{LoadReport, TargetKey};
use crate::prelude::*;

/// A deadline that left fewer than this many times the expected duration says nothing against
/// the target; otherwise callers with short deadlines could have targets ejected.
const FAIR_FACTOR: u32 = 4;
/// Ejected targets are at most one in this many of a service's.
const EJECTED_PART: usize = 3;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Outcome {
    /// The target answered without an error of its own.
    Answered(TargetFeedback),
    /// The attempt was given up, which says nothing about the target.
    #[default]
    Cancelled,
    /// The deadline passed.
    Expired,
    /// The target answered with an error or could not be reached.
    Failed(TargetFeedback),
    /// The target refused the call before running it.
    Refused(TargetFeedback),
}

/// What an answer's headers say of the target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetFeedback {
    pub report: Option<LoadReport>,
    pub draining: bool,
    /// Whether the answer's duration is that of a call that ran.
    pub duration_valid: bool,
}

impl Scheduler {
    /// Ends a call at a target.
    pub(super) fn finish(&mut self, admitted: AdmittedCall, outcome: Outcome, now: Instant) {
        let Some(target) = self.targets.get_mut(admitted.target) else { return };
        target.inflight.retain(|call| call.number != admitted.call.number);
        let span = now.saturating_duration_since(admitted.call.start);
        match outcome {
            Outcome::Cancelled => return,
            Outcome::Expired if span < admitted.call.expected * FAIR_FACTOR => return,
            Outcome::Expired => target.health.count(true),
            Outcome::Answered(feedback) => {
                target.health.count(false);
                self.observe(admitted.target, feedback, now);
                self.adapt(admitted, feedback);
                if feedback.duration_valid {
                    self.time(admitted, span, now);
                }
            }
            Outcome::Failed(feedback) => {
                target.health.count(true);
                self.observe(admitted.target, feedback, now);
            }
            Outcome::Refused(feedback) => self.observe(admitted.target, feedback, now),
        }
        self.check(admitted.service, admitted.target, now);
    }

    /// Takes what a target says of itself, in an answer or in a probe's result.
    pub fn observe(&mut self, key: TargetKey, feedback: TargetFeedback, now: Instant) {
        let Some(target) = self.targets.get_mut(key) else { return };
        let address = target.address;
        if let Some(report) = feedback.report {
            target.peer_load.record(report.total(), target.inflight.len(), target.slots, now);
            self.updates.record_load(address, report);
        }
        if feedback.draining {
            self.mark_draining(address, now);
        }
    }

    fn adapt(&mut self, admitted: AdmittedCall, feedback: TargetFeedback) {
        let (Some(report), true) = (feedback.report, admitted.call.is_overflow) else { return };
        let slots = self.targets[admitted.target].slots;
        if let Some(state) = self.services.get_mut(admitted.service) {
            let overflowed =
                state.targets.iter().map(|key| self.targets[*key].overflowed()).sum::<u32>();
            state.adapt_overflow(report, slots, overflowed + 1);
        }
    }

    fn time(&mut self, admitted: AdmittedCall, span: Duration, now: Instant) {
        let Some(state) = self.services.get_mut(admitted.service) else { return };
        let expected = state.durations.expected(admitted.shape).as_secs_f64();
        state.durations.observe(admitted.shape, admitted.declared, span, now);
        self.targets[admitted.target].health.time(span.as_secs_f64() / expected.max(1e-6));
    }

    /// Ejects a target that is an outlier, unless a third of the service is ejected already.
    fn check(&mut self, service: ServiceId, key: TargetKey, now: Instant) {
        let Some(state) = self.services.get(service) else { return };
        let healths = state.targets.iter().map(|key| &self.targets[*key]);
        let healths = healths.filter(|target| !target.drain.is_draining());
        let healths: Vec<_> = healths.map(|target| target.health).collect();
        let ejected = healths.iter().filter(|health| health.is_ejected(now)).count();
        let health = &self.targets[key].health;
        if health.is_ejected(now) || (ejected + 1) * EJECTED_PART > healths.len() {
            return;
        }
        let mut slowness: Vec<f64> =
            healths.iter().filter_map(|health| health.slowness()).collect();
        slowness.sort_by(f64::total_cmp);
        if health.is_outlier(slowness.get(slowness.len() / 2).copied(), now) {
            let target = &mut self.targets[key];
            let span = target.health.eject(now).as_millis() as u64;
            log::warn!(target = target.address.to_string(), span; "target ejected");
        }
    }
}
