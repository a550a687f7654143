//! What an attempt shows of its target.

use super::grant::Ticket;
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
    Answered(Signs),
    /// The attempt was given up, which says nothing about the target.
    #[default]
    Cancelled,
    /// The deadline passed.
    Expired,
    /// The target answered with an error or could not be reached.
    Failed(Signs),
    /// The target refused the call before running it.
    Refused(Signs),
}

/// What an answer's headers say of the target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Signs {
    pub report: Option<LoadReport>,
    pub draining: bool,
    /// Whether the answer's duration is that of a call that ran.
    pub timed: bool,
}

impl Scheduler {
    /// Ends a call at a target.
    pub(super) fn finish(&mut self, ticket: Ticket, outcome: Outcome, now: Instant) {
        let Some(target) = self.targets.get_mut(ticket.target) else { return };
        target.inflight.retain(|call| call.number != ticket.call.number);
        let span = now.saturating_duration_since(ticket.call.start);
        match outcome {
            Outcome::Cancelled => return,
            Outcome::Expired if span < ticket.call.expected * FAIR_FACTOR => return,
            Outcome::Expired => target.health.count(true),
            Outcome::Answered(signs) => {
                target.health.count(false);
                self.observe(ticket.target, signs, now);
                self.adapt(ticket, signs);
                if signs.timed {
                    self.time(ticket, span, now);
                }
            }
            Outcome::Failed(signs) => {
                target.health.count(true);
                self.observe(ticket.target, signs, now);
            }
            Outcome::Refused(signs) => self.observe(ticket.target, signs, now),
        }
        self.check(ticket.service, ticket.target, now);
    }

    /// Takes what a target says of itself, in an answer or in a probe's result.
    pub fn observe(&mut self, key: TargetKey, signs: Signs, now: Instant) {
        let Some(target) = self.targets.get_mut(key) else { return };
        let address = target.address;
        if let Some(report) = signs.report {
            target.peer_load.observe(report.total(), target.inflight.len(), target.slots, now);
            self.updates.load(address, report);
        }
        if signs.draining {
            self.leave(address, now);
        }
    }

    fn adapt(&mut self, ticket: Ticket, signs: Signs) {
        let (Some(report), true) = (signs.report, ticket.call.is_overflow) else { return };
        let slots = self.targets[ticket.target].slots;
        if let Some(state) = self.services.get_mut(ticket.service) {
            let overflowed =
                state.targets.iter().map(|key| self.targets[*key].overflowed()).sum::<u32>();
            state.adapt_overflow(report, slots, overflowed + 1);
        }
    }

    fn time(&mut self, ticket: Ticket, span: Duration, now: Instant) {
        let Some(state) = self.services.get_mut(ticket.service) else { return };
        let expected = state.durations.expected(ticket.shape).as_secs_f64();
        state.durations.observe(ticket.shape, ticket.declared, span, now);
        self.targets[ticket.target].health.time(span.as_secs_f64() / expected.max(1e-6));
    }

    /// Ejects a target that is an outlier, unless a third of the service is ejected already.
    fn check(&mut self, service: ServiceId, key: TargetKey, now: Instant) {
        let Some(state) = self.services.get(service) else { return };
        let healths = state.targets.iter().map(|key| &self.targets[*key]);
        let healths = healths.filter(|target| !target.drain.is_leaving());
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
