//! Immutable table of the routes of one version.

use std::collections::HashMap;

use rand::Rng;

use super::route::Route;
use super::workspace_table::{WorkspacePlan, WorkspaceTable};
use super::Result;
use crate::prelude::*;

/// Longest time of a route or a limit, 365 days. A configuration may state times beyond the range of
/// the clock.
const MAX_TIME: Duration = Duration::from_secs(365 * 24 * 3600);

/// Settings that all targets of a service share.
#[derive(Clone, Debug, PartialEq)]
pub struct ServicePlan {
    /// Path that returns a target's health and load.
    pub probe_path: String,
    /// Maximum number of connections to one target, from all entries together.
    pub connections: u32,
    /// Calls per second that a cold target bears, from all entries together; no bound if absent.
    pub warmup_rate: Option<f64>,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerBounds {
    pub head_bytes: usize,
    pub body_bytes: usize,
    pub head_timeout: Duration,
    pub idle_timeout: Duration,
}

impl CallerBounds {
    /// The same with times that the clock can measure.
    fn bounded(self) -> Self {
        Self {
            head_timeout: self.head_timeout.min(MAX_TIME),
            idle_timeout: self.idle_timeout.min(MAX_TIME),
            ..self
        }
    }
}

/// The routes of one version, indexed by host.
#[derive(Debug)]
pub struct RouteTable {
    pub version: u64,
    pub bounds: CallerBounds,
    /// Routes by host in lower case, longest prefix first.
    hosts: HashMap<String, Vec<Rc<Route>>>,
    services: HashMap<Rc<str>, ServicePlan>,
    /// Distinct priorities of each service's routes.
    priorities: HashMap<Rc<str>, Vec<u32>>,
    /// `None` if calls carry no keys.
    workspaces: Option<WorkspaceTable>,
}

impl RouteTable {
    /// Checks the routes and builds the table.
    pub fn new(
        version: u64,
        bounds: CallerBounds,
        services: HashMap<Rc<str>, ServicePlan>,
        routes: Vec<Route>,
    ) -> Result<Self> {
        let mut hosts: HashMap<String, Vec<Rc<Route>>> = HashMap::new();
        let mut priorities: HashMap<Rc<str>, Vec<u32>> = HashMap::new();
        let bounds = bounds.bounded();
        for mut route in routes {
            check_route(&route, &services)?;
            route.timeout = route.timeout.min(MAX_TIME);
            route.objective = route.objective.min(MAX_TIME);
            for share in route.shares.iter().filter(|share| share.weight > 0) {
                let distinct = priorities.entry(share.service.clone()).or_default();
                if !distinct.contains(&route.priority) {
                    distinct.push(route.priority);
                }
            }
            let host = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            if host.iter().any(|other| other.prefix == route.prefix) {
                return Err(route_error(&route, "has the host and the prefix of another route"));
            }
            host.push(Rc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Ok(Self { version, bounds, hosts, services, priorities, workspaces: None })
    }

    /// Adds the workspaces, whose keys the calls must carry.
    pub fn with_workspaces(self, workspaces: WorkspaceTable) -> Self {
        Self { workspaces: Some(workspaces), ..self }
    }

    /// The workspaces; `None` if calls carry no keys.
    pub fn workspaces(&self) -> Option<&WorkspaceTable> {
        self.workspaces.as_ref()
    }

    /// Starts the split of every route at a random position.
    ///
    /// If all entries started at the same position, they would send their first calls to the same
    /// service. In a large fleet most entries get only a few calls of a route, so the split of all
    /// calls would not match the weights.
    pub fn randomize_splits(&self, rng: &mut impl Rng) {
        self.hosts.values().flatten().for_each(|route| route.split_position.set(rng.random()));
    }

    /// Finds the route of the host with the longest prefix that matches the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let routes = self.hosts.get(&host_name(host).to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// The shared settings of a service's targets.
    pub fn service(&self, name: &str) -> Option<&ServicePlan> {
        self.services.get(name)
    }

    pub fn has_route(&self, name: &str) -> bool {
        self.hosts.values().flatten().any(|route| &*route.name == name)
    }

    /// Number of distinct priorities among a service's routes that are more urgent than the
    /// route's, and before these among the workspaces.
    pub fn rank(&self, service: &str, route: &Route, workspace: Option<&WorkspacePlan>) -> u32 {
        let priorities = self.priorities.get(service).map_or(&[][..], Vec::as_slice);
        let by_route = priorities.iter().filter(|other| **other < route.priority).count() as u32;
        let priority = workspace.and_then(|workspace| workspace.priority);
        let by_workspace =
            priority.zip(self.workspaces()).map_or(0, |(priority, table)| table.rank(priority));
        by_route + by_workspace
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}

/// The value of a `host` header without the port.
fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        Some(_) | None => host,
    }
}

fn check_route(route: &Route, services: &HashMap<Rc<str>, ServicePlan>) -> Result<()> {
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        return Err(route_error(route, "has a prefix that does not begin and end with `/`"));
    }
    if route.max_attempts == 0 || route.timeout.is_zero() {
        return Err(route_error(route, "allows no attempt"));
    }
    if route.shares.iter().all(|share| share.weight == 0) {
        return Err(route_error(route, "has no service with a weight"));
    }
    match route.shares.iter().find(|share| !services.contains_key(&share.service)) {
        Some(share) => {
            Err(route_error(route, &format!("names the unknown service `{}`", share.service)))
        }
        None => Ok(()),
    }
}

fn route_error(route: &Route, reason: &str) -> Error {
    Error::Platform { reason: format!("route `{}` {reason}", route.name) }
}
