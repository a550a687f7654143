//! Selection of the next target to probe, and the probe budget of a target.

use super::probe_window::BUDGET_WINDOW;
use super::Probes;
use crate::prelude::*;
use crate::process::scheduler::Scheduler;
use crate::version::document::Document;
use crate::version::service::Service;

/// Time without a load report after which a target is probed. It is short enough to detect a
/// draining target well within the 2 s after which it must get no more calls.
const MAX_REPORT_AGE: Duration = Duration::from_millis(250);

/// A probe that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueProbe {
    pub address: SocketAddr,
    pub domain: String,
    /// Most probes of the target by all entries in any window.
    pub budget: u32,
}

/// Most probes of one target of a service in any window.
pub fn budget(service: &Service) -> u32 {
    let probe_seconds =
        BUDGET_WINDOW.as_secs_f64() * f64::from(service.slots) * service.probe_percent / 100.0;
    // Without the small addition, a rounding error such as 4.999999 would lose a probe.
    (probe_seconds / service.probe_cost.as_secs_f64().max(1e-6) + 1e-6) as u32
}

impl Probes {
    /// The target that is due in a held domain and has not reported its load for the longest time.
    pub fn next_due(
        &self,
        document: &Document,
        scheduler: &Scheduler,
        now: Instant,
    ) -> Option<DueProbe> {
        let leases = self.leases.borrow();
        let mut oldest: Option<(Option<Instant>, DueProbe)> = None;
        for service in &document.services {
            let budget = budget(service);
            for target in &service.targets {
                let Some(lease) = leases.get(&target.domain) else { continue };
                let probe_limit = lease.probe_limit(budget, now);
                let last_report = scheduler.last_report_at(target.address);
                let is_quiet =
                    last_report.is_none_or(|at| now.duration_since(at) >= MAX_REPORT_AGE);
                if !is_quiet || !self.may_probe(target.address, last_report, probe_limit, now) {
                    continue;
                }
                if oldest.as_ref().is_none_or(|(oldest, _)| last_report < *oldest) {
                    let domain = target.domain.clone();
                    oldest =
                        Some((last_report, DueProbe { address: target.address, domain, budget }));
                }
            }
        }
        oldest.map(|(_, due)| due)
    }

    /// Starts a due probe at `now` if the lease and the budget still allow it.
    pub fn try_begin(&self, due: &DueProbe, now: Instant) -> bool {
        let leases = self.leases.borrow();
        let Some(lease) = leases.get(&due.domain) else { return false };
        let probe_limit = lease.probe_limit(due.budget, now);
        let mut windows = self.windows.borrow_mut();
        let has_begun = windows.entry(due.address).or_default().try_begin(probe_limit, now);
        if has_begun {
            self.probed_domain.replace(Some(due.domain.clone()));
        }
        has_begun
    }

    /// Ends the probe under way.
    pub fn end(&self, due: &DueProbe, is_answered: bool, now: Instant) {
        self.probed_domain.take();
        if let Some(window) = self.windows.borrow_mut().get_mut(&due.address) {
            window.end(is_answered, now);
        }
    }

    fn may_probe(
        &self,
        address: SocketAddr,
        last_report: Option<Instant>,
        probe_limit: u32,
        now: Instant,
    ) -> bool {
        let mut windows = self.windows.borrow_mut();
        let Some(window) = windows.get_mut(&address) else { return probe_limit > 0 };
        if let Some(last_report) = last_report {
            window.record_response(last_report);
        }
        window.may_begin(probe_limit, now)
    }
}
