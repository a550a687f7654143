//! A route: which calls it takes, how they may be repeated, and which services run them.

use crate::prelude::*;

/// Fraction of the golden ratio, whose multiples spread evenly over the unit interval.
const GOLDEN: f64 = 0.618_033_988_749_895;

/// The calls of one host under one path prefix.
#[derive(Clone, Debug)]
pub struct Route {
    pub name: Rc<str>,
    pub host: String,
    /// Begins and ends with a slash.
    pub prefix: String,
    /// Whether a call may run more than once.
    pub idempotent: bool,
    /// Longest time for which a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which a response is of full use to the caller.
    pub objective: Duration,
    /// Most targets to which one call is sent.
    pub attempts: u32,
    /// Rank among the routes of a service; 0 is the most urgent.
    pub priority: u32,
    pub shares: Vec<Share>,
    /// Place of the next call in the sequence that splits calls among the services.
    pub assigned: Cell<u32>,
}

/// A service that runs a part of a route's calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    pub service: Rc<str>,
    pub weight: u32,
}

impl Route {
    /// The service of the next call; consecutive calls follow the weights closely.
    pub fn assign(&self) -> &Rc<str> {
        let count = self.assigned.get();
        self.assigned.set(count.wrapping_add(1));
        let total: f64 = self.shares.iter().map(|share| f64::from(share.weight)).sum();
        let mut rest = (f64::from(count) * GOLDEN).fract() * total;
        for share in &self.shares {
            rest -= f64::from(share.weight);
            if rest < 0.0 {
                return &share.service;
            }
        }
        &self.shares[self.shares.len() - 1].service
    }
}
