//! Routes: which calls they match, how many attempts a call gets, and which services run it.

use crate::prelude::*;

/// Fractional part of the golden ratio; the fractional parts of its multiples are spread evenly
/// over the unit interval.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;

/// The calls of one host under one path prefix.
#[derive(Clone, Debug)]
pub struct Route {
    pub name: Rc<str>,
    pub host: String,
    /// Begins and ends with a slash.
    pub prefix: String,
    /// Whether a call may run more than once.
    pub idempotent: bool,
    /// Maximum time until the caller gets a response.
    pub timeout: Duration,
    /// Latency objective: a later response is of less use to the caller.
    pub objective: Duration,
    /// Maximum number of targets to which one call is sent.
    pub max_attempts: u32,
    /// Urgency among the routes of a service; 0 is the most urgent.
    pub priority: u32,
    pub shares: Vec<Share>,
    /// Whether calls need no key of a workspace.
    pub public: bool,
    /// Position of the next call in the sequence that splits the calls among the services.
    pub split_position: Cell<u32>,
}

/// A service that runs a share of a route's calls, in proportion to its weight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    pub service: Rc<str>,
    pub weight: u32,
}

impl Route {
    /// Selects the service of the next call; even a short sequence of calls matches the weights
    /// closely.
    pub fn next_service(&self) -> &Rc<str> {
        let position = self.split_position.get();
        self.split_position.set(position.wrapping_add(1));
        let total: f64 = self.shares.iter().map(|share| f64::from(share.weight)).sum();
        let mut remainder = (f64::from(position) * GOLDEN_RATIO_FRACTION).fract() * total;
        for share in &self.shares {
            remainder -= f64::from(share.weight);
            if remainder < 0.0 {
                return &share.service;
            }
        }
        &self.shares[self.shares.len() - 1].service
    }
}
