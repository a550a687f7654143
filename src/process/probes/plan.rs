//! Which target to probe next.

use super::spend::WINDOW;
use super::Probes;
use crate::prelude::*;
use crate::process::scheduler::Scheduler;
use crate::version::document::Document;
use crate::version::service::Service;

/// A target is probed when it has not reported its load for this long, short enough to see a
/// target drain well within the 2 s in which it must stop to get work.
const QUIET_TIME: Duration = Duration::from_millis(250);

/// A probe that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Due {
    pub address: SocketAddr,
    pub domain: String,
    /// Probes that the target takes from all entries in any window.
    pub budget: u32,
}

/// Probes that one target of a service takes in any window.
pub fn budget(service: &Service) -> u32 {
    let share = WINDOW.as_secs_f64() * f64::from(service.slots) * service.probe_percent / 100.0;
    // The small addition keeps a quotient such as 4.999999 from losing a probe.
    (share / service.probe_cost.as_secs_f64().max(1e-6) + 1e-6) as u32
}

impl Probes {
    /// The target in a held domain that has been silent for longest.
    pub fn next(&self, document: &Document, scheduler: &Scheduler, now: Instant) -> Option<Due> {
        let leases = self.leases.borrow();
        let mut oldest: Option<(Option<Instant>, Due)> = None;
        for service in &document.services {
            let budget = budget(service);
            for target in &service.targets {
                let Some(lease) = leases.get(&target.domain) else { continue };
                let allowance = lease.allowance(budget, now);
                let heard = scheduler.last_report_at(target.address);
                let is_quiet = heard.is_none_or(|at| now.duration_since(at) >= QUIET_TIME);
                if !is_quiet || !self.may_probe(target.address, heard, allowance, now) {
                    continue;
                }
                if oldest.as_ref().is_none_or(|(oldest, _)| heard < *oldest) {
                    let domain = target.domain.clone();
                    oldest = Some((heard, Due { address: target.address, domain, budget }));
                }
            }
        }
        oldest.map(|(_, due)| due)
    }

    /// Takes the right to send a due probe at `now`; the lease is checked once more.
    pub fn begin(&self, due: &Due, now: Instant) -> bool {
        let leases = self.leases.borrow();
        let Some(lease) = leases.get(&due.domain) else { return false };
        let allowance = lease.allowance(due.budget, now);
        let mut spends = self.spends.borrow_mut();
        let has_begun = spends.entry(due.address).or_default().begin(allowance, now);
        if has_begun {
            self.running.replace(Some(due.domain.clone()));
        }
        has_begun
    }

    /// Ends the probe under way.
    pub fn end(&self, due: &Due, is_answered: bool, now: Instant) {
        self.running.take();
        if let Some(spend) = self.spends.borrow_mut().get_mut(&due.address) {
            spend.end(is_answered, now);
        }
    }

    fn may_probe(
        &self,
        address: SocketAddr,
        heard: Option<Instant>,
        allowance: u32,
        now: Instant,
    ) -> bool {
        let mut spends = self.spends.borrow_mut();
        let Some(spend) = spends.get_mut(&address) else { return allowance > 0 };
        if let Some(heard) = heard {
            spend.heard(heard);
        }
        spend.may_begin(allowance, now)
    }
}
