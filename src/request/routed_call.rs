//! A call with its route, and the log records of its attempts.

use crate::prelude::*;
use crate::process::gateway::locality::Reach;
use crate::process::gateway::overload::CallRequirements;
use crate::process::gateway::search::{Choice, SearchStats};
use crate::process::gateway::Gateway;
use crate::process::suspension;
use crate::version::route::Route;
use crate::version::route_table::{RouteTable, ServicePlan};
use crate::version::workspace_table::WorkspacePlan;

/// Time limit of a call without a deadline header; the route's timeout applies if it is shorter.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(3600);

/// How a call ended.
#[derive(Clone, Copy, Debug)]
pub enum CallEnd {
    Answered(Code, StatusCode),
    /// The caller disconnected before it got a response.
    Cancelled,
    /// The entry's grace period ended before there was a response.
    Aborted,
}

/// A call with its route and the state of its attempts. Logs and counts the call when it ends or is
/// dropped.
pub struct RoutedCall {
    pub id: String,
    pub route: Rc<Route>,
    pub service: Rc<str>,
    pub plan: ServicePlan,
    /// Workspace whose key the call carries; `None` if the routes name no workspaces, and for a call
    /// of a public route that carries no known key.
    pub workspace: Option<Rc<WorkspacePlan>>,
    /// The key, which is marked as sensitive and sent to no target.
    key: Option<HeaderValue>,
    /// Whether the key was removed from the call, since routes have named workspaces.
    is_key_taken: bool,
    /// Version of the route table in which the workspace was last looked up.
    key_version: u64,
    /// Version of the route table in which the route was found.
    pub version: u64,
    pub arrived: Instant,
    /// Suspension of the VM up to the call's arrival.
    suspended: Duration,
    deadline: Deadline,
    /// Number of distinct priorities of the service's routes that are more urgent than this
    /// route's.
    pub rank: u32,
    /// Whether the call's workspace uses all of its quota. Where targets are short of room, it then
    /// leaves the end of a queue to the workspaces that do not.
    pub is_limited: bool,
    /// Number of attempts that may have sent a byte of the call.
    pub sent_attempts: u32,
    gateway: Rc<Gateway>,
    has_ended: bool,
}

impl RoutedCall {
    /// Finds a call's route and picks one of the route's services.
    ///
    /// Removes the key from the call.
    pub fn find(gateway: &Rc<Gateway>, call: &mut Call, now: Instant) -> Result<Self, Code> {
        let table =
            gateway.table().filter(|_| gateway.are_targets_loaded()).ok_or(Code::NotReady)?;
        let host = call.header("host").unwrap_or_default();
        let route = table.find(host, call.uri.path()).ok_or(Code::RefusedService)?.clone();
        let is_key_taken = gateway.takes_keys();
        let key = if is_key_taken { take_key(gateway, call) } else { None };
        let workspace = find_workspace(&table, &route, key.as_ref())?;
        let service = route.next_service().clone();
        let plan = table.service(&service).ok_or(Code::RefusedService)?.clone();
        let timeout =
            call.header(gateway.header_names.deadline).and_then(|text| text.trim().parse().ok());
        let timeout = timeout.map_or(DEFAULT_TIMEOUT, Duration::from_millis);
        Ok(Self {
            id: call.header(gateway.header_names.call_id).unwrap_or_default().to_owned(),
            plan,
            version: table.version,
            arrived: now,
            suspended: suspension::total(),
            deadline: Deadline::after(now, timeout.min(route.timeout)),
            rank: table.rank(&service, &route, workspace.as_deref()),
            is_limited: false,
            key_version: table.version,
            is_key_taken,
            workspace,
            key,
            sent_attempts: 0,
            gateway: gateway.clone(),
            has_ended: false,
            service,
            route,
        })
    }

    /// Looks the call's key up again if the routes have changed; returns whether the call now belongs
    /// to another workspace. Removes the key from a call that arrived before the routes named
    /// workspaces.
    ///
    /// # Errors
    ///
    /// The key was taken away, or the routes now name workspaces and the call carries no known key.
    pub fn refresh_workspace(&mut self, call: &mut Call) -> Result<bool, Code> {
        let key_version = self.key_version;
        let Some(table) = self.gateway.table().filter(|table| table.version != key_version) else {
            return Ok(false);
        };
        if self.gateway.takes_keys() && !self.is_key_taken {
            self.key = take_key(&self.gateway, call);
            self.is_key_taken = true;
        }
        let workspace = find_workspace(&table, &self.route, self.key.as_ref())?;
        self.key_version = table.version;
        let name = |plan: &Option<Rc<WorkspacePlan>>| plan.as_ref().map(|plan| plan.name.clone());
        let has_moved = name(&workspace) != name(&self.workspace);
        self.rank = table.rank(&self.service, &self.route, workspace.as_deref());
        self.workspace = workspace;
        Ok(has_moved)
    }

    /// Names the call's workspace to the target.
    pub fn set_workspace_header(&self, call: &mut Call) {
        if !self.is_key_taken {
            return;
        }
        let name = self.gateway.header_names.workspace;
        call.headers.remove(name);
        if let Some(workspace) = &self.workspace {
            call.set_header(name, &workspace.name);
        }
    }

    /// Returns the time until the deadline of the call's caller or route.
    pub fn left(&self, now: Instant) -> Duration {
        self.current_deadline().left(now)
    }

    /// The deadline by the steady clock, which has not counted a suspension since the arrival.
    pub fn current_deadline(&self) -> Deadline {
        self.deadline.earlier_by(suspension::between(self.suspended, suspension::total()))
    }

    /// Whether a shutdown of the entry, if there is one, leaves the call enough time.
    pub fn may_be_sent(&self) -> bool {
        let CallRequirements { deadline, typical, .. } = self.requirements();
        self.gateway.shutdown.may_send(deadline, typical.unwrap_or_default())
    }

    /// Returns the call's inputs to the admission decision.
    pub fn requirements(&self) -> CallRequirements {
        CallRequirements {
            arrived: self.arrived,
            objective: self.route.objective,
            deadline: self.current_deadline(),
            typical: self.gateway.durations.borrow().get(&self.route.name),
            rank: self.rank + u32::from(self.is_limited),
        }
    }

    /// Where the call may be sent at this time of its search.
    pub fn reach(&self, now: Instant) -> Reach {
        let bytes = self.gateway.response_sizes.borrow().get(&self.route.name);
        Reach::new(bytes, self.requirements().decision_input(None, now).search_ratio())
    }

    /// Logs the chosen target and the load by which it was chosen.
    pub fn log_choice(&self, choice: &Choice, target: &str) {
        let now = Instant::now();
        let load = choice.sample.load;
        let age = self.gateway.sharing.freshness.borrow().age(now).unwrap_or_default();
        log::info!(
            call = self.id.as_str(), route = &*self.route.name, service = &*self.service,
            version = self.version, attempt = self.sent_attempts + 1, target_id = target,
            running = load.map_or(0, |load| load.running),
            waiting = load.map_or(0, |load| load.waiting),
            pace = load.map_or(0, |load| load.slowdown_percent),
            healthy = choice.sample.healthy,
            reading_us = choice.sample.age_us(now), asked = choice.probed, heard = choice.responded,
            rounds = choice.stats.rounds, probes = choice.stats.probes, source = choice.source.name(),
            directory_ms = age.as_millis() as u64,
            left_ms = self.left(now).as_millis() as u64;
            "call routed"
        );
    }

    /// Logs a search that found no target.
    pub fn log_failed_search(&self, code: Code, tried: usize, stats: SearchStats) {
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

    /// Logs and counts a retry that the retry budget does not allow.
    pub fn record_refused_retry(&self) {
        self.gateway.metrics.count("cornellink_retries_refused_total");
        log::info!(
            call = self.id.as_str(), service = &*self.service, sends = self.sent_attempts;
            "retry budget spent"
        );
    }

    /// Logs how an attempt ended.
    pub fn log_attempt(&self, target: &str, outcome: &str, start: Instant) {
        log::info!(
            call = self.id.as_str(), target_id = target, attempt = self.sent_attempts, outcome,
            micros = start.elapsed().as_micros() as u64;
            "attempt ended"
        );
    }

    /// Logs a call that the entry aborts, with the time of its arrival after the termination signal;
    /// the field is null if it arrived before.
    pub fn log_abort(&self) {
        let period = self.gateway.shutdown.grace_period();
        let arrived = period.and_then(|period| self.arrived.checked_duration_since(period.start()));
        log::warn!(
            call = self.id.as_str(), route = &*self.route.name, attempts = self.sent_attempts,
            arrived_ms = arrived.map(|age| age.as_millis() as u64),
            left_ms = self.left(Instant::now()).as_millis() as u64;
            "call cut by the shutdown"
        );
    }

    /// Logs and counts the end of the call.
    pub fn end(&mut self, result: CallEnd) {
        self.has_ended = true;
        let (code, status) = match result {
            CallEnd::Answered(code, status) => (code, status.as_u16()),
            CallEnd::Aborted if self.sent_attempts > 0 => (Code::UnknownShutdown, 0),
            CallEnd::Cancelled if self.sent_attempts > 0 => (Code::UnknownCancelled, 0),
            CallEnd::Aborted | CallEnd::Cancelled => (Code::NotRunCancelled, 0),
        };
        let duration = self.arrived.elapsed();
        self.gateway.metrics.record_call(&self.route.host, &self.route.name, code, duration);
        if let Some(workspace) = &self.workspace {
            self.gateway.metrics.count_workspace_call(&workspace.name, code);
        }
        log::info!(
            call = self.id.as_str(), route = &*self.route.name, service = &*self.service,
            version = self.version, code = code.number(), status, attempts = self.sent_attempts,
            micros = duration.as_micros() as u64;
            "call ended"
        );
    }
}

/// Removes the key and the name of a workspace from a call; returns the key if there is just one.
fn take_key(gateway: &Gateway, call: &mut Call) -> Option<HeaderValue> {
    let names = &gateway.header_names;
    call.headers.remove(names.workspace);
    let keys: Vec<HeaderValue> = call.headers.get_all(names.key).iter().cloned().collect();
    call.headers.remove(names.key);
    let [key] = <[HeaderValue; 1]>::try_from(keys).ok()?;
    Some(sensitive(key))
}

/// Marks a value so that it is not logged.
fn sensitive(mut value: HeaderValue) -> HeaderValue {
    value.set_sensitive(true);
    value
}

/// Finds the workspace of a call by its key.
fn find_workspace(
    table: &RouteTable,
    route: &Route,
    key: Option<&HeaderValue>,
) -> Result<Option<Rc<WorkspacePlan>>, Code> {
    let Some(workspaces) = table.workspaces() else { return Ok(None) };
    match key.and_then(|key| workspaces.find(key.as_bytes())) {
        Some(plan) => Ok(Some(plan.clone())),
        None if route.public => Ok(None),
        None => Err(Code::RefusedKey),
    }
}

impl Drop for RoutedCall {
    /// A call that is dropped before it has ended was cancelled by its caller, or is aborted at the
    /// end of a shutdown.
    fn drop(&mut self) {
        if self.has_ended {
            return;
        }
        if self.gateway.shutdown.is_aborting() {
            self.log_abort();
            return self.end(CallEnd::Aborted);
        }
        self.end(CallEnd::Cancelled);
    }
}
