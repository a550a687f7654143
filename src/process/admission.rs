//! Admission: sends, queues or refuses a call.

use local_sync::oneshot;

use super::permit::{AdmittedCall, Permit};
use super::queue::FlowKey;
use super::routing::Choice;
use super::scheduler::Scheduler;
use super::service::{RouteRequest, ServiceId, Waiter};
use super::target::{InflightCall, TargetKey};
use crate::prelude::*;
use crate::version::class::Length;
use crate::version::policy::Policy;

/// The result of admitting a call.
pub enum Decision {
    /// The call is sent at once.
    Send(AdmittedCall),
    /// The call is refused with this code.
    Refuse(Code),
    /// The call is queued; the receiver gets its permit or the code of its refusal.
    Wait(oneshot::Receiver<Result<Permit, Code>>),
}

impl Scheduler {
    /// Sends a call at once if it is next in its queue and a target has room, and otherwise queues
    /// or refuses it.
    pub fn admit(&mut self, request: RouteRequest, now: Instant) -> Decision {
        let Some(state) = self.services.get(request.service) else {
            return Decision::Refuse(Code::NotRunNoTarget);
        };
        let length = state.durations.classify(request.shape, request.declared);
        let cost = state.durations.expected(request.shape).as_secs_f64();
        if length == Length::Short {
            let state = &mut self.services[request.service];
            state.demand.record_call(request.flow, request.weight, cost, now);
        }
        // A call must not overtake a waiting call that could be sent.
        let is_next = self.next_flow(request.service, Length::Short, now).is_none()
            && (length == Length::Short || self.services[request.service].long_queue.is_empty())
            && self.is_below_cap(request.service, request.flow, length, now);
        if self.misses_deadline(&request, length, is_next, now) {
            return Decision::Refuse(Code::NotRunDeadline);
        }
        let choice = if is_next { self.choose(&request, length, now) } else { Choice::Full };
        match choice {
            Choice::NoTarget => Decision::Refuse(Code::NotRunNoTarget),
            Choice::Target(key) => {
                let state = &mut self.services[request.service];
                state.queue(length).charge(request.flow, request.weight, cost);
                Decision::Send(self.start_call(key, &request, length, now))
            }
            Choice::Full => self.enqueue(request, length),
        }
    }

    /// Removes the next waiting call that can be sent from its queue and assigns it to a target.
    pub(super) fn dequeue(
        &mut self,
        service: ServiceId,
        now: Instant,
    ) -> Option<(oneshot::Sender<Result<Permit, Code>>, AdmittedCall)> {
        [Length::Short, Length::Long].into_iter().find_map(|length| {
            let flow = self.next_ready_flow(service, length, now)?;
            let request = self.services[service].queue(length).peek(flow)?.request.clone();
            let Choice::Target(key) = self.choose(&request, length, now) else { return None };
            let waiter = self.services[service].queue(length).pop(flow)?;
            let admitted = self.start_call(key, &request, length, now);
            Some((waiter.sender, admitted))
        })
    }

    /// Like `next_flow`, but first removes calls at the head that have been cancelled or have at
    /// most half of their expected duration left.
    fn next_ready_flow(
        &mut self,
        service: ServiceId,
        length: Length,
        now: Instant,
    ) -> Option<FlowKey> {
        loop {
            let flow = self.next_flow(service, length, now)?;
            let state = &mut self.services[service];
            let waiter = state.queue(length).peek(flow)?;
            let (shape, deadline) = (waiter.request.shape, waiter.request.deadline);
            let is_cancelled = waiter.sender.is_closed();
            let expected = state.durations.recent_mean(shape, now).unwrap_or_default();
            if !is_cancelled && deadline.left(now) > expected / 2 {
                return Some(flow);
            }
            let waiter = state.queue(length).pop(flow)?;
            let _ = waiter.sender.send(Err(Code::NotRunDeadline));
        }
    }

    /// The flow whose oldest waiting call is to be sent next.
    fn next_flow(&self, service: ServiceId, length: Length, now: Instant) -> Option<FlowKey> {
        let state = self.services.get(service)?;
        let queue = if length == Length::Long { &state.long_queue } else { &state.short_queue };
        queue.next_flow(|flow| self.is_below_cap(service, flow, length, now))
    }

    /// Whether a flow may use one more slot; only short calls are capped, since long ones have
    /// slots of their own.
    fn is_below_cap(
        &self,
        service: ServiceId,
        flow: FlowKey,
        length: Length,
        now: Instant,
    ) -> bool {
        let state = &self.services[service];
        if length == Length::Long || state.policy != Policy::Adaptive {
            return true;
        }
        let targets = || state.targets.iter().map(|key| &self.targets[*key]);
        let reserved: u32 = targets().map(|target| target.reserved).sum();
        let inflight = targets().flat_map(|target| &target.inflight);
        let is_of_flow = |call: &&InflightCall| call.flow == flow && call.length == Length::Short;
        let flow_calls = inflight.filter(is_of_flow).count();
        // The cap is rounded to the nearest whole slot.
        flow_calls as f64 + 0.5
            <= state.demand.slot_cap(flow, f64::from(reserved) + state.overflow_slots(), now)
    }

    /// Adds a call to the calls in flight of its target.
    fn start_call(
        &mut self,
        key: TargetKey,
        request: &RouteRequest,
        length: Length,
        now: Instant,
    ) -> AdmittedCall {
        self.call_number += 1;
        let expected = self.services[request.service].durations.expected(request.shape);
        let target = &mut self.targets[key];
        let is_overflow = target.own_calls() >= target.reserved;
        let call = InflightCall {
            number: self.call_number,
            flow: request.flow,
            start: now,
            length,
            expected,
            is_overflow,
        };
        target.inflight.push(call);
        if is_overflow {
            self.services[request.service].last_overflow = Some(now);
        }
        AdmittedCall {
            service: request.service,
            target: key,
            shape: request.shape,
            declared: request.declared,
            call,
        }
    }

    /// Queues a call; a full queue refuses it or evicts a call of the flow with the most waiting
    /// calls per weight.
    fn enqueue(&mut self, request: RouteRequest, length: Length) -> Decision {
        let state = &mut self.services[request.service];
        if state.is_full(length) {
            let Some(evicted) = state.queue(length).evict(request.flow, request.weight) else {
                return Decision::Refuse(Code::NotRunQueueFull);
            };
            let _ = evicted.sender.send(Err(Code::NotRunQueueFull));
        }
        let (sender, receiver) = oneshot::channel();
        let cost = state.durations.expected(request.shape).as_secs_f64();
        let (flow, weight) = (request.flow, request.weight);
        state.queue(length).push(flow, weight, cost, Waiter { request, sender });
        if let Some(queue_wakeup) = self.queue_wakeup.take() {
            let _ = queue_wakeup.send(());
        }
        Decision::Wait(receiver)
    }

    /// Whether a call is expected to miss its deadline, as less than half of its expected duration
    /// would be left when it is sent; `is_next` if it need not wait for other calls.
    fn misses_deadline(
        &self,
        request: &RouteRequest,
        length: Length,
        is_next: bool,
        now: Instant,
    ) -> bool {
        let state = &self.services[request.service];
        let time_left = request.deadline.left(now);
        if time_left.is_zero() {
            return true;
        }
        let Some(expected) = state.durations.recent_mean(request.shape, now) else { return false };
        if is_next {
            return time_left < expected / 2;
        }
        let queue = if length == Length::Long { &state.long_queue } else { &state.short_queue };
        let flow_position = queue.flow_len(request.flow) as f64 + 1.0;
        // The flow gets a share of the slots by its weight; the length of the queue is an upper
        // bound.
        let weighted_position =
            flow_position * (queue.other_weight(request.flow) + request.weight) / request.weight;
        let position = weighted_position.min(queue.len() as f64 + 1.0);
        let wait = expected.mul_f64(position / self.concurrency(request.service, length));
        time_left < wait + expected / 2
    }

    /// Number of calls that this entry runs concurrently under load: its reserved slots, or its
    /// calls in flight if they are more.
    fn concurrency(&self, service: ServiceId, length: Length) -> f64 {
        let targets = self.services[service].targets.iter().map(|key| &self.targets[*key]);
        let (mut reserved, mut own) = (0, 0);
        for target in targets {
            match length {
                Length::Long => {
                    reserved += target.long_reserved;
                    own += target.own_long_calls();
                }
                Length::Short => {
                    reserved += target.reserved;
                    own += target.own_calls();
                }
            }
        }
        f64::from(reserved.max(own).max(1))
    }
}
