//! The task that sends probes, one at a time.

use super::plan::{self, DueProbe};
use super::result::ProbeResult;
use crate::prelude::*;
use crate::process::entry::Entry;
use crate::process::suspension;

/// Path of the probe.
const PROBE_PATH: &str = "/cornellink/probe";
/// Delay when no probe is due or no connection is available.
const IDLE_DELAY: Duration = Duration::from_millis(20);
/// Longest wait for a response.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Probes the due targets in the held domains until the future is dropped.
pub async fn run(entry: &Entry) {
    loop {
        let due = entry.revision().and_then(|revision| {
            let scheduler = entry.scheduler.borrow();
            entry.probes.next_due(&revision.document, &scheduler, Instant::now())
        });
        match due {
            Some(due) => probe(entry, &due).await,
            None => {
                update_gauges(entry);
                monoio::time::sleep(IDLE_DELAY).await;
            }
        }
    }
}

async fn probe(entry: &Entry, due: &DueProbe) {
    let Some(pool) = entry.scheduler.borrow().pool_at(due.address) else { return };
    let Ok(mut connection) = pool.take().await else {
        entry.metrics.count_probe("unsent");
        return monoio::time::sleep(IDLE_DELAY).await;
    };
    let call = Call::new(Method::GET, Uri::from_static(PROBE_PATH));
    // There is no await between the check and the first write, so a process that pauses has at most
    // one probe that is checked but not sent.
    let sent = Instant::now();
    entry.probes.check_suspension(suspension::total(), sent);
    if !entry.probes.try_begin(due, sent) {
        return;
    }
    let exchange = connection.connection().exchange(&call);
    let response = monoio::time::timeout(PROBE_TIMEOUT, exchange).await;
    // After an error other than a timeout, the target has closed the connection, so that the probe
    // cannot arrive later.
    entry.probes.end(due, response.is_ok(), Instant::now());
    let Ok(Ok(response)) = response else { return entry.metrics.count_probe("unanswered") };
    entry.metrics.count_probe("answered");
    if let Some(result) = ProbeResult::parse(due.address, &response, sent) {
        entry.scheduler.borrow_mut().record_probe(&result);
    }
}

/// Sets the gauges of the probes in the last window, their budget and the held leases.
fn update_gauges(entry: &Entry) {
    let Some(revision) = entry.revision() else { return };
    let (held, now) = (entry.probes.held_domains(), Instant::now());
    let windows = entry.probes.windows.borrow();
    let recent: u32 = windows.values().map(|window| window.count(now)).sum();
    let services = revision.document.services.iter();
    let budgets = services.map(|service| {
        let targets = service.targets.iter().filter(|target| held.contains(&target.domain));
        targets.count() as u32 * plan::budget(service)
    });
    entry.metrics.set_gauge("cornellink_probes_last_second", f64::from(recent));
    entry.metrics.set_gauge("cornellink_probe_budget", f64::from(budgets.sum::<u32>()));
    entry.metrics.set_gauge("cornellink_probe_leases", held.len() as f64);
}
