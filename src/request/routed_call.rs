//! A call on its way along a route.

use crate::prelude::*;
use crate::process::gateway::overload::CallRequirements;
use crate::process::gateway::search::{Choice, SearchStats};
use crate::process::gateway::Gateway;
use crate::version::route::Route;
use crate::version::route_table::ServicePlan;

/// Deadline of a call that names none beyond its route's timeout.
const MAX_DEADLINE: Duration = Duration::from_secs(3600);

/// How a call ended.
#[derive(Clone, Copy, Debug)]
pub enum Ended {
    Answered(Code, StatusCode),
    /// The caller left before its answer.
    Left,
}

/// A call with its route, and what became of it so far.
pub struct RoutedCall {
    pub id: String,
    pub route: Rc<Route>,
    pub service: Rc<str>,
    pub plan: ServicePlan,
    /// Version of the routes that decided.
    pub version: u64,
    pub arrived: Instant,
    pub deadline: Deadline,
    /// Priorities among the service's routes that are more urgent.
    pub rank: u32,
    /// Attempts in which a byte of the call may have left.
    pub sends: u32,
    gateway: Rc<Gateway>,
    has_ended: bool,
}

impl RoutedCall {
    /// Finds a call's route.
    pub fn find(gateway: &Rc<Gateway>, call: &Call, now: Instant) -> Result<Self, Code> {
        let table =
            gateway.table().filter(|_| gateway.are_targets_loaded()).ok_or(Code::NotReady)?;
        let host = call.header("host").unwrap_or_default();
        let route = table.find(host, call.uri.path()).ok_or(Code::RefusedService)?.clone();
        let service = route.next_service().clone();
        let plan = table.service(&service).ok_or(Code::RefusedService)?.clone();
        let left =
            call.header(gateway.header_names.deadline).and_then(|text| text.trim().parse().ok());
        let left = left.map_or(MAX_DEADLINE, Duration::from_millis);
        Ok(Self {
            id: call.header(gateway.header_names.call_id).unwrap_or_default().to_owned(),
            plan,
            version: table.version,
            arrived: now,
            deadline: Deadline::after(now, left.min(route.timeout)),
            rank: table.rank(&service, route.priority),
            sends: 0,
            gateway: gateway.clone(),
            has_ended: false,
            service,
            route,
        })
    }

    /// What the call asks of a target.
    pub fn requirements(&self) -> CallRequirements {
        CallRequirements {
            arrived: self.arrived,
            objective: self.route.objective,
            deadline: self.deadline,
            typical: self.gateway.durations.borrow().get(&self.route.name),
            rank: self.rank,
        }
    }

    /// Logs the choice of a target.
    pub fn note_choice(&self, choice: &Choice, target: &str) {
        let now = Instant::now();
        let load = choice.sample.load;
        let age = self.gateway.sharing.freshness.borrow().age(now).unwrap_or_default();
        log::info!(
            call = self.id.as_str(), route = &*self.route.name, service = &*self.service,
            version = self.version, attempt = self.sends + 1, target_id = target,
            running = load.map_or(0, |load| load.running),
            waiting = load.map_or(0, |load| load.waiting),
            pace = load.map_or(0, |load| load.slowdown_percent),
            healthy = choice.sample.healthy,
            reading_us = choice.sample.age_us(now), asked = choice.probed, heard = choice.responded,
            rounds = choice.stats.rounds, probes = choice.stats.probes, source = choice.source.name(),
            directory_ms = age.as_millis() as u64,
            left_ms = self.deadline.left(now).as_millis() as u64;
            "call routed"
        );
    }

    /// Logs a search that found no target.
    pub fn note_search(&self, code: Code, tried: usize, stats: SearchStats) {
        let now = Instant::now();
        let gateway = &self.gateway;
        let age = gateway.sharing.freshness.borrow().age(now).unwrap_or_default();
        log::info!(
            call = self.id.as_str(), service = &*self.service, version = self.version,
            code = code.number(), tried, registered = gateway.registry.borrow().service(&self.service).count(),
            rounds = stats.rounds, probes = stats.probes, directory_ms = age.as_millis() as u64;
            "no target found"
        );
    }

    /// Logs that the budget allows no repeat.
    pub fn note_budget(&self) {
        self.gateway.metrics.count("cornellink_retries_refused_total");
        log::info!(
            call = self.id.as_str(), service = &*self.service, sends = self.sends;
            "retry budget spent"
        );
    }

    /// Logs how an attempt ended.
    pub fn note_attempt(&self, target: &str, outcome: &str, start: Instant) {
        log::info!(
            call = self.id.as_str(), target_id = target, attempt = self.sends, outcome,
            micros = start.elapsed().as_micros() as u64;
            "attempt ended"
        );
    }

    /// Logs and counts the end of the call.
    pub fn end(&mut self, ended: Ended) {
        self.has_ended = true;
        let (code, status) = match ended {
            Ended::Answered(code, status) => (code, status.as_u16()),
            Ended::Left if self.sends > 0 => (Code::UnknownCancelled, 0),
            Ended::Left => (Code::NotRunCancelled, 0),
        };
        let whole = self.arrived.elapsed();
        self.gateway.metrics.record_call(&self.route.host, &self.route.name, code, whole);
        log::info!(
            call = self.id.as_str(), route = &*self.route.name, service = &*self.service,
            version = self.version, code = code.number(), status, attempts = self.sends,
            micros = whole.as_micros() as u64;
            "call ended"
        );
    }
}

impl Drop for RoutedCall {
    /// A call that is dropped before its end is one whose caller has left.
    fn drop(&mut self) {
        if !self.has_ended {
            self.end(Ended::Left);
        }
    }
}
