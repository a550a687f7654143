//! Whether a call is sent, waits or is refused.

use local_sync::oneshot;

use super::fleet::Fleet;
use super::grant::{Grant, Ticket};
use super::queue::FlowKey;
use super::routing::Choice;
use super::service::{Ask, ServiceId, Waiter};
use super::target::{Flight, TargetKey};
use crate::prelude::*;
use crate::version::class::Length;
use crate::version::policy::Policy;

/// What becomes of a call.
pub enum Verdict {
    /// It is sent now.
    Go(Ticket),
    /// It is refused.
    Refuse(Code),
    /// It waits.
    Wait(oneshot::Receiver<Result<Grant, Code>>),
}

impl Fleet {
    /// Decides on a call.
    pub fn admit(&mut self, ask: Ask, now: Instant) -> Verdict {
        let Some(state) = self.services.get(ask.service) else {
            return Verdict::Refuse(Code::NotRunNoTarget);
        };
        let length = state.durations.length(ask.shape, ask.declared);
        let cost = state.durations.expected(ask.shape).as_secs_f64();
        if length == Length::Short {
            let state = &mut self.services[ask.service];
            state.demand.add(ask.flow, ask.weight, cost, now);
        }
        // Calls that came first go first.
        let has_turn = self.next_flow(ask.service, Length::Short, now).is_none()
            && (length == Length::Short || self.services[ask.service].long.is_empty())
            && self.may_send(ask.service, ask.flow, length, now);
        if self.is_late(&ask, length, has_turn, now) {
            return Verdict::Refuse(Code::NotRunDeadline);
        }
        let choice = if has_turn { self.choose(&ask, length, now) } else { Choice::Full };
        match choice {
            Choice::Missing => Verdict::Refuse(Code::NotRunNoTarget),
            Choice::Target(key) => {
                let state = &mut self.services[ask.service];
                state.lane(length).pass(ask.flow, ask.weight, cost);
                Verdict::Go(self.send(key, &ask, length, now))
            }
            Choice::Full => self.enqueue(ask, length),
        }
    }

    /// The next waiting call that can be sent, counted as under way.
    pub(super) fn next(
        &mut self,
        service: ServiceId,
        now: Instant,
    ) -> Option<(oneshot::Sender<Result<Grant, Code>>, Ticket)> {
        [Length::Short, Length::Long].into_iter().find_map(|length| {
            let flow = self.next_live_flow(service, length, now)?;
            let ask = self.services[service].lane(length).peek(flow)?.ask.clone();
            let Choice::Target(key) = self.choose(&ask, length, now) else { return None };
            let waiter = self.services[service].lane(length).pop(flow)?;
            let ticket = self.send(key, &ask, length, now);
            Some((waiter.sender, ticket))
        })
    }

    /// Like `next_flow`, but first removes calls at the head that have been given up or cannot
    /// meet their deadline.
    fn next_live_flow(
        &mut self,
        service: ServiceId,
        length: Length,
        now: Instant,
    ) -> Option<FlowKey> {
        loop {
            let flow = self.next_flow(service, length, now)?;
            let state = &mut self.services[service];
            let waiter = state.lane(length).peek(flow)?;
            let (shape, deadline) = (waiter.ask.shape, waiter.ask.deadline);
            let is_gone = waiter.sender.is_closed();
            let expected = state.durations.recent(shape, now).unwrap_or_default();
            if !is_gone && deadline.left(now) > expected / 2 {
                return Some(flow);
            }
            let waiter = state.lane(length).pop(flow)?;
            let _ = waiter.sender.send(Err(Code::NotRunDeadline));
        }
    }

    /// The flow whose waiting call is to be sent next.
    fn next_flow(&self, service: ServiceId, length: Length, now: Instant) -> Option<FlowKey> {
        let state = self.services.get(service)?;
        let lane = if length == Length::Long { &state.long } else { &state.short };
        lane.next(|flow| self.may_send(service, flow, length, now))
    }

    /// Whether a flow may hold one more slot; only short calls are capped, as long ones have
    /// slots of their own.
    fn may_send(&self, service: ServiceId, flow: FlowKey, length: Length, now: Instant) -> bool {
        let state = &self.services[service];
        if length == Length::Long || state.policy != Policy::Adaptive {
            return true;
        }
        let targets = || state.targets.iter().map(|key| &self.targets[*key]);
        let home: u32 = targets().map(|target| target.home).sum();
        let flights = targets().flat_map(|target| &target.flights);
        let is_own = |flight: &&Flight| flight.flow == flow && flight.length == Length::Short;
        let own = flights.filter(is_own).count();
        own as f64 + 0.5 <= state.demand.cap(flow, f64::from(home) + state.free_spill(), now)
    }

    fn send(&mut self, key: TargetKey, ask: &Ask, length: Length, now: Instant) -> Ticket {
        self.flight += 1;
        let expected = self.services[ask.service].durations.expected(ask.shape);
        let target = &mut self.targets[key];
        let is_spilled = target.own() >= target.home;
        let flight = Flight {
            number: self.flight,
            flow: ask.flow,
            start: now,
            length,
            expected,
            is_spilled,
        };
        target.flights.push(flight);
        if is_spilled {
            self.services[ask.service].spilled = Some(now);
        }
        Ticket {
            service: ask.service,
            target: key,
            shape: ask.shape,
            declared: ask.declared,
            flight,
        }
    }

    fn enqueue(&mut self, ask: Ask, length: Length) -> Verdict {
        let state = &mut self.services[ask.service];
        if state.is_full(length) {
            let Some(evicted) = state.lane(length).evict(ask.flow, ask.weight) else {
                return Verdict::Refuse(Code::NotRunQueueFull);
            };
            let _ = evicted.sender.send(Err(Code::NotRunQueueFull));
        }
        let (sender, receiver) = oneshot::channel();
        let cost = state.durations.expected(ask.shape).as_secs_f64();
        let (flow, weight) = (ask.flow, ask.weight);
        state.lane(length).push(flow, weight, cost, Waiter { ask, sender });
        if let Some(idle) = self.idle.take() {
            let _ = idle.send(());
        }
        Verdict::Wait(receiver)
    }

    /// Whether a call cannot meet its deadline from its place in the queue.
    fn is_late(&self, ask: &Ask, length: Length, is_first: bool, now: Instant) -> bool {
        let state = &self.services[ask.service];
        let left = ask.deadline.left(now);
        if left.is_zero() {
            return true;
        }
        let Some(expected) = state.durations.recent(ask.shape, now) else { return false };
        if is_first {
            return left < expected / 2;
        }
        let lane = if length == Length::Long { &state.long } else { &state.short };
        let ahead = lane.flow_len(ask.flow) as f64 + 1.0;
        // The flow gets its weight's part of the slots; the whole lane bounds the wait.
        let shared = ahead * (lane.other_weight(ask.flow) + ask.weight) / ask.weight;
        let ahead = shared.min(lane.len() as f64 + 1.0);
        let wait = expected.mul_f64(ahead / self.parallel(ask.service, length));
        left < wait + expected / 2
    }

    /// Number of calls that this entry has under way at a time when it is busy.
    fn parallel(&self, service: ServiceId, length: Length) -> f64 {
        let targets = self.services[service].targets.iter().map(|key| &self.targets[*key]);
        let (mut home, mut own) = (0, 0);
        for target in targets {
            match length {
                Length::Long => {
                    home += target.long_home;
                    own += target.own_long();
                }
                Length::Short => {
                    home += target.home;
                    own += target.own();
                }
            }
        }
        f64::from(home.max(own).max(1))
    }
}
