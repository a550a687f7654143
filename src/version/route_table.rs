//! A version of the routes, with its checks.

use std::collections::HashMap;

use rand::Rng;

use super::route::Route;
use super::Result;
use crate::prelude::*;

/// What the targets of a service have in common.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServicePlan {
    /// Path that answers with a target's health and load.
    pub probe_path: String,
    /// Most connections to one target, of all entries together.
    pub connections: u32,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerBounds {
    pub head_bytes: usize,
    pub body_bytes: usize,
    pub head_time: Duration,
    pub idle_time: Duration,
}

/// A version of the routes; it never changes.
#[derive(Debug)]
pub struct RouteTable {
    pub version: u64,
    pub bounds: CallerBounds,
    hosts: HashMap<String, Vec<Rc<Route>>>,
    services: HashMap<Rc<str>, ServicePlan>,
    /// The different priorities of each service's routes.
    priorities: HashMap<Rc<str>, Vec<u32>>,
}

impl RouteTable {
    /// Builds a table, unless a route cannot be followed.
    pub fn new(
        version: u64,
        bounds: CallerBounds,
        services: HashMap<Rc<str>, ServicePlan>,
        routes: Vec<Route>,
    ) -> Result<Self> {
        let mut hosts: HashMap<String, Vec<Rc<Route>>> = HashMap::new();
        let mut priorities: HashMap<Rc<str>, Vec<u32>> = HashMap::new();
        for route in routes {
            check(&route, &services)?;
            for share in route.shares.iter().filter(|share| share.weight > 0) {
                let known = priorities.entry(share.service.clone()).or_default();
                if !known.contains(&route.priority) {
                    known.push(route.priority);
                }
            }
            let host = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            if host.iter().any(|other| other.prefix == route.prefix) {
                return Err(refuse(&route, "has the host and the prefix of another route"));
            }
            host.push(Rc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Ok(Self { version, bounds, hosts, services, priorities })
    }

    /// Starts the split of every route at a place of its own.
    ///
    /// Entries that all started at the same place would send their first calls to the same
    /// service, and in a large fleet most entries get only a few calls of a route.
    pub fn scatter(&self, rng: &mut impl Rng) {
        self.hosts.values().flatten().for_each(|route| route.assigned.set(rng.random()));
    }

    /// The route with the longest prefix of the path among those of the host.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let routes = self.hosts.get(&host_name(host).to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// What the targets of a service have in common.
    pub fn service(&self, name: &str) -> Option<&ServicePlan> {
        self.services.get(name)
    }

    /// Whether there is a route of that name.
    pub fn has_route(&self, name: &str) -> bool {
        self.hosts.values().flatten().any(|route| &*route.name == name)
    }

    /// Number of priorities of a service's routes that are more urgent than `priority`.
    pub fn rank(&self, service: &str, priority: u32) -> u32 {
        let urgent = self.priorities.get(service).map_or(&[][..], Vec::as_slice);
        urgent.iter().filter(|other| **other < priority).count() as u32
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}

/// A host header without its port.
fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        Some(_) | None => host,
    }
}

fn check(route: &Route, services: &HashMap<Rc<str>, ServicePlan>) -> Result<()> {
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        return Err(refuse(route, "has a prefix that does not begin and end with `/`"));
    }
    if route.attempts == 0 || route.timeout.is_zero() {
        return Err(refuse(route, "allows no attempt"));
    }
    if route.shares.iter().all(|share| share.weight == 0) {
        return Err(refuse(route, "has no service with a weight"));
    }
    match route.shares.iter().find(|share| !services.contains_key(&share.service)) {
        Some(share) => {
            Err(refuse(route, &format!("names the unknown service `{}`", share.service)))
        }
        None => Ok(()),
    }
}

fn refuse(route: &Route, reason: &str) -> Error {
    Error::Platform { reason: format!("route `{}` {reason}", route.name) }
}
