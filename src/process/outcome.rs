//! Outcomes of attempts, and how they update a target's load, health and drain state.

use super::permit::AdmittedCall;
use super::scheduler::Scheduler;
use super::service::ServiceId;
use super::target::{LoadReport, TargetKey};
use crate::prelude::*;

/// A call that expires counts as a failure of its target only if it had at least this many times
/// its expected duration; otherwise callers with short deadlines could get targets ejected.
const MIN_DEADLINE_RATIO: u32 = 4;
/// At most one in this many targets of a service is ejected at a time.
const MAX_EJECTED_DIVISOR: usize = 3;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Outcome {
    /// The target responded without a server error.
    Answered(TargetFeedback),
    /// The attempt was cancelled, which does not affect the target's health.
    #[default]
    Cancelled,
    /// The deadline passed before the response.
    Expired,
    /// The target responded with a server error or could not be reached.
    Failed(TargetFeedback),
    /// The target refused the call before running it.
    Refused(TargetFeedback),
}

/// The state of a target as reported by a response or a probe result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetFeedback {
    pub report: Option<LoadReport>,
    pub draining: bool,
    /// Whether the duration is that of a call that ran successfully.
    pub duration_valid: bool,
}

impl Scheduler {
    /// Removes an ended call from its target and records its outcome.
    pub(super) fn finish_call(&mut self, admitted: AdmittedCall, outcome: Outcome, now: Instant) {
        let Some(target) = self.targets.get_mut(admitted.target) else { return };
        target.inflight.retain(|call| call.number != admitted.call.number);
        let duration = now.saturating_duration_since(admitted.call.start);
        match outcome {
            Outcome::Cancelled => return,
            Outcome::Expired if duration < admitted.call.expected * MIN_DEADLINE_RATIO => return,
            Outcome::Expired => target.health.record_outcome(true),
            Outcome::Answered(feedback) => {
                target.health.record_outcome(false);
                self.record_feedback(admitted.target, feedback, now);
                self.update_overflow(admitted, feedback);
                if feedback.duration_valid {
                    self.record_duration(admitted, duration, now);
                }
            }
            Outcome::Failed(feedback) => {
                target.health.record_outcome(true);
                self.record_feedback(admitted.target, feedback, now);
            }
            Outcome::Refused(feedback) => self.record_feedback(admitted.target, feedback, now),
        }
        self.eject_outlier(admitted.service, admitted.target, now);
    }

    /// Records what a target reports in a response or a probe result.
    pub fn record_feedback(&mut self, key: TargetKey, feedback: TargetFeedback, now: Instant) {
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

    /// Adapts the overflow limit of the service after an overflow call.
    fn update_overflow(&mut self, admitted: AdmittedCall, feedback: TargetFeedback) {
        let (Some(report), true) = (feedback.report, admitted.call.is_overflow) else { return };
        let slots = self.targets[admitted.target].slots;
        if let Some(state) = self.services.get_mut(admitted.service) {
            let overflow_calls =
                state.targets.iter().map(|key| self.targets[*key].overflow_calls()).sum::<u32>();
            state.adapt_overflow(report, slots, overflow_calls + 1);
        }
    }

    /// Records the duration of an answered call for its shape and its target.
    fn record_duration(&mut self, admitted: AdmittedCall, duration: Duration, now: Instant) {
        let Some(state) = self.services.get_mut(admitted.service) else { return };
        let expected = state.durations.expected(admitted.shape).as_secs_f64();
        state.durations.record(admitted.shape, admitted.declared, duration, now);
        self.targets[admitted.target]
            .health
            .record_duration(duration.as_secs_f64() / expected.max(1e-6));
    }

    /// Ejects a target that is an outlier, unless that would eject more than a third of the
    /// service's targets.
    fn eject_outlier(&mut self, service: ServiceId, key: TargetKey, now: Instant) {
        let Some(state) = self.services.get(service) else { return };
        let active = state.targets.iter().map(|key| &self.targets[*key]);
        let active = active.filter(|target| !target.drain.is_draining());
        let healths: Vec<_> = active.map(|target| target.health).collect();
        let ejected_count = healths.iter().filter(|health| health.is_ejected(now)).count();
        let health = &self.targets[key].health;
        if health.is_ejected(now) || (ejected_count + 1) * MAX_EJECTED_DIVISOR > healths.len() {
            return;
        }
        let mut slowness: Vec<f64> =
            healths.iter().filter_map(|health| health.slowness()).collect();
        slowness.sort_by(f64::total_cmp);
        if health.should_eject(slowness.get(slowness.len() / 2).copied(), now) {
            let target = &mut self.targets[key];
            let span = target.health.eject(now).as_millis() as u64;
            log::warn!(target = target.address.to_string(), span; "target ejected");
        }
    }
}
