//! All targets that an entry knows, and the choice among them.

use std::collections::HashMap;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use slotmap::SlotMap;

use super::pool::Pool;
use super::probes::result::ProbeResult;
use super::target::{LoadReport, Target, TargetKey};
use crate::prelude::*;
use crate::version::document::Document;
use crate::version::keys::ServiceKey;
use crate::version::policy::Policy;
use crate::version::service::Service;

/// The targets of all services.
pub struct Fleet {
    targets: SlotMap<TargetKey, Target>,
    addresses: HashMap<SocketAddr, TargetKey>,
    services: Vec<Vec<TargetKey>>,
    turn: usize,
    random: SmallRng,
}

impl Fleet {
    /// Creates an empty fleet.
    pub fn new(seed: u64) -> Self {
        Self {
            targets: SlotMap::with_key(),
            addresses: HashMap::new(),
            services: Vec::new(),
            turn: 0,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Takes over a document; targets that stay keep their state.
    pub fn apply(&mut self, document: &Document) {
        let mut kept = HashMap::new();
        let mut services = Vec::new();
        for service in &document.services {
            let limit = (service.connections / document.max_entries.max(1)).max(1);
            let keys = service.targets.iter().map(|spec| {
                let known = self.addresses.get(&spec.address).copied();
                let key = known.unwrap_or_else(|| {
                    self.targets.insert(Target {
                        address: spec.address,
                        domain: spec.domain.clone(),
                        slots: service.slots,
                        inflight: 0,
                        draining: false,
                        report: None,
                        reported: None,
                        pool: Rc::new(Pool::new(spec.address, limit)),
                    })
                });
                kept.insert(spec.address, key);
                key
            });
            services.push(keys.collect());
        }
        let gone = self.addresses.iter().filter(|(address, _)| !kept.contains_key(*address));
        for (_, key) in gone {
            self.targets.remove(*key);
        }
        self.addresses = kept;
        self.services = services;
    }

    /// Picks a target for a call and counts the call as under way.
    pub fn pick(
        &mut self,
        key: ServiceKey,
        service: &Service,
        avoid: &[TargetKey],
    ) -> Option<TargetKey> {
        let all = &self.services[usize::from(key.0)];
        let usable = |key: &TargetKey| !self.targets[*key].draining;
        let open: Vec<TargetKey> = all.iter().copied().filter(usable).collect();
        let fresh: Vec<TargetKey> =
            open.iter().copied().filter(|key| !avoid.contains(key)).collect();
        let candidates = if fresh.is_empty() { open } else { fresh };
        let chosen = self.choose(service.policy, &candidates)?;
        self.targets[chosen].inflight += 1;
        Some(chosen)
    }

    /// Ends a call on a target.
    pub fn finish(&mut self, key: TargetKey, report: Option<LoadReport>, draining: bool) {
        let Some(target) = self.targets.get_mut(key) else { return };
        target.inflight -= 1;
        target.draining |= draining;
        if report.is_some() {
            target.report = report;
            target.reported = Some(Instant::now());
        }
    }

    /// Takes the result of a probe.
    pub fn probed(&mut self, result: &ProbeResult) {
        let Some(key) = self.addresses.get(&result.address) else { return };
        let target = &mut self.targets[*key];
        target.draining |= result.draining;
        target.report = Some(result.report);
        target.reported = Some(result.at);
    }

    /// When a target last reported its load.
    pub fn heard(&self, address: SocketAddr) -> Option<Instant> {
        self.targets[*self.addresses.get(&address)?].reported
    }

    /// The connections to the target at an address.
    pub fn pool_at(&self, address: SocketAddr) -> Option<Rc<Pool>> {
        self.pool(*self.addresses.get(&address)?)
    }

    /// The connections to a target.
    pub fn pool(&self, key: TargetKey) -> Option<Rc<Pool>> {
        self.targets.get(key).map(|target| target.pool.clone())
    }

    fn choose(&mut self, policy: Policy, candidates: &[TargetKey]) -> Option<TargetKey> {
        if candidates.is_empty() {
            return None;
        }
        let any = |random: &mut SmallRng| candidates[random.random_range(0..candidates.len())];
        match policy {
            Policy::RoundRobin => {
                self.turn += 1;
                Some(candidates[self.turn % candidates.len()])
            }
            Policy::TwoChoices => {
                let (one, two) = (any(&mut self.random), any(&mut self.random));
                let inflight = |key: TargetKey| self.targets[key].inflight;
                Some(if inflight(two) < inflight(one) { two } else { one })
            }
            Policy::LeastLocal => self.least(candidates, |target| target.inflight),
            Policy::Adaptive => self.least(candidates, |target| {
                let reported = target.report.map_or(0, |report| report.running + report.queued);
                target.inflight.max(reported)
            }),
        }
    }

    fn least(&mut self, candidates: &[TargetKey], load: fn(&Target) -> u32) -> Option<TargetKey> {
        let offset = self.random.random_range(0..candidates.len());
        let rotated = candidates[offset..].iter().chain(&candidates[..offset]);
        rotated.copied().min_by_key(|key| load(&self.targets[*key]))
    }
}
