//! The task that sends probes, one at a time.

use super::plan::{self, Due};
use super::result::ProbeResult;
use crate::prelude::*;
use crate::process::entry::Entry;

/// Path of the probe.
const PATH: &str = "/cornellink/probe";
/// Pause when no probe is due.
const PAUSE: Duration = Duration::from_millis(20);
/// Longest wait for a response.
const TIMEOUT: Duration = Duration::from_millis(250);

/// Probes silent targets in the held domains until the future is dropped.
pub async fn run(entry: &Entry) {
    loop {
        let due = entry.revision().and_then(|revision| {
            let scheduler = entry.scheduler.borrow();
            entry.probes.next(&revision.document, &scheduler, Instant::now())
        });
        match due {
            Some(due) => probe(entry, &due).await,
            None => {
                observe(entry);
                monoio::time::sleep(PAUSE).await;
            }
        }
    }
}

async fn probe(entry: &Entry, due: &Due) {
    let Some(pool) = entry.scheduler.borrow().pool_at(due.address) else { return };
    let Ok(mut connection) = pool.take().await else {
        entry.metrics.count_probe("unsent");
        return monoio::time::sleep(PAUSE).await;
    };
    let call = Call::new(Method::GET, Uri::from_static(PATH));
    // The check and the first write follow each other without an await between them, so a
    // process is past the check of at most one probe when it pauses.
    let sent = Instant::now();
    if !entry.probes.begin(due, sent) {
        return;
    }
    let exchange = connection.connection().exchange(&call);
    let answer = monoio::time::timeout(TIMEOUT, exchange).await;
    // A probe on a connection that the target has closed cannot arrive later.
    entry.probes.end(due, answer.is_ok(), Instant::now());
    let Ok(Ok(answer)) = answer else { return entry.metrics.count_probe("unanswered") };
    entry.metrics.count_probe("answered");
    if let Some(result) = ProbeResult::parse(due.address, &answer, sent) {
        entry.scheduler.borrow_mut().probed(&result);
    }
}

/// Sets the gauges of the spend and of its bound in the held domains.
fn observe(entry: &Entry) {
    let Some(revision) = entry.revision() else { return };
    let (held, now) = (entry.probes.held(), Instant::now());
    let spends = entry.probes.spends.borrow();
    let spent: u32 = spends.values().map(|spend| spend.count(now)).sum();
    let services = revision.document.services.iter();
    let bound = services.map(|service| {
        let targets = service.targets.iter().filter(|target| held.contains(&target.domain));
        targets.count() as u32 * plan::budget(service)
    });
    entry.metrics.set_gauge("cornellink_probes_last_second", f64::from(spent));
    entry.metrics.set_gauge("cornellink_probe_budget", f64::from(bound.sum::<u32>()));
    entry.metrics.set_gauge("cornellink_probe_leases", held.len() as f64);
}
