//! Time from the acceptance of a published document until it is in force on every entry.
//!
//! 16 entry processes follow a log with a retention of 4 s. Four publishers race, entries are
//! killed and restarted, and the log goes down for 2 s right after some appends, before any reader
//! has received the record. The revision of each entry is polled every few milliseconds. Times are
//! measured from the timestamp of the record in the log; for an entry that is down, the time ends
//! when its successor has the document.

#[path = "../tests/fixture/mod.rs"]
mod fixture;

use std::collections::BTreeMap;
use std::time::{SystemTime, UNIX_EPOCH};

use cornellink::command::publication::{Publication, PublishOutcome};
use cornellink::command::timeline::Timeline;
use cornellink::connection::client::Client;
use cornellink::edge::stand_in::host::Host;
use cornellink::edge::stand_in::hosted::host_platform;
use cornellink::edge::stand_in::log::LogFaults;
use cornellink::edge::stand_in::service::PlatformService;
use cornellink::prelude::*;
use cornellink::process::runtime::block_on;
use cornellink::version::parse::parse;
use fixture::entry_process::EntryProcess;
use fixture::stream::document;
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SEED: u64 = 8;
const ENTRIES: usize = 16;
const PUBLISHERS: u64 = 4;
const RETENTION: Duration = Duration::from_secs(4);
const OUTAGE_DURATION: Duration = Duration::from_secs(2);
const OUTAGE_INTERVAL: Duration = Duration::from_secs(5);
const RESTART_INTERVAL: Duration = Duration::from_millis(1500);
const POLL_INTERVAL: Duration = Duration::from_millis(8);
const RUN_DURATION: Duration = Duration::from_secs(36);
/// Time from the last publication to the end of the run; longer than `MAX_DELAY_MS`.
const SETTLE_DURATION: Duration = Duration::from_secs(8);
const TIMEOUT: Duration = Duration::from_secs(5);
/// Bound on the time until a document is in force on every entry.
const MAX_DELAY_MS: u64 = 6000;
/// Goal for the same time, which is reported without being a bound.
const DELAY_GOAL_MS: u64 = 1000;

/// Observations of the pollers and the publishers.
#[derive(Default)]
struct Observations {
    /// Nonce of each revision, as the first entry or publisher reported it.
    nonces: BTreeMap<u64, u64>,
    /// Time of each accepted publication in the log, in milliseconds.
    accepted: BTreeMap<u64, u64>,
    /// For each entry, the time at which each revision was first seen in force, in milliseconds.
    in_force: Vec<BTreeMap<u64, u64>>,
    outcomes: BTreeMap<&'static str, u64>,
    restarts: u64,
    outages: u64,
    /// Polls in which the revision of a process was lower than before.
    reverts: u64,
    /// Reports of a revision with another nonce than the first one.
    disagreements: u64,
    stopped: bool,
}

impl Observations {
    fn record_nonce(&mut self, revision: u64, nonce: u64) {
        if *self.nonces.entry(revision).or_insert(nonce) != nonce {
            self.disagreements += 1;
        }
    }
}

struct Bench {
    platform: SocketAddr,
    host: Host<Rc<PlatformService>>,
    entries: Vec<RefCell<EntryProcess>>,
    observations: RefCell<Observations>,
}

/// The system time in milliseconds, for comparison with the times of the log.
fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

fn start_entry(index: usize, generation: u64, platform: SocketAddr) -> EntryProcess {
    let retention = RETENTION.as_millis() as u64;
    let extra_settings = serde_json::json!({ "retentionMs": retention, "log": "error" });
    EntryProcess::start_with(&format!("config-{index}-{generation}"), "a", platform, extra_settings)
}

fn main() {
    println!("seed {SEED}");
    let (host, platform) = host_platform(RETENTION).expect("the platform starts");
    let entries = (0..ENTRIES).map(|index| RefCell::new(start_entry(index, 0, platform))).collect();
    let observations =
        Observations { in_force: vec![BTreeMap::new(); ENTRIES], ..Observations::default() };
    let bench =
        Rc::new(Bench { platform, host, entries, observations: RefCell::new(observations) });
    block_on(run(bench.clone())).expect("the runtime starts");
    report(&bench.observations.borrow());
}

async fn run(bench: Rc<Bench>) {
    let mut tasks = Vec::new();
    for index in 0..ENTRIES {
        tasks.push(monoio::spawn(poll_revision(bench.clone(), index)));
    }
    let end = Instant::now() + RUN_DURATION;
    for publisher in 0..PUBLISHERS {
        tasks.push(monoio::spawn(publish(bench.clone(), publisher, end)));
    }
    tasks.push(monoio::spawn(restart_entries(bench.clone(), end)));
    tasks.push(monoio::spawn(inject_outages(bench.clone(), end)));
    monoio::time::sleep(RUN_DURATION + SETTLE_DURATION).await;
    bench.observations.borrow_mut().stopped = true;
    for task in tasks {
        task.await;
    }
}

/// Polls the revision of one entry, across restarts of its process.
async fn poll_revision(bench: Rc<Bench>, index: usize) {
    let call = Call::new(Method::GET, Uri::from_static("/status"));
    let mut client: Option<(SocketAddr, Client)> = None;
    let mut newest = 0;
    while !bench.observations.borrow().stopped {
        monoio::time::sleep(POLL_INTERVAL).await;
        let admin = bench.entries[index].borrow().admin;
        if client.as_ref().is_none_or(|(address, _)| *address != admin) {
            // A new process starts without a document.
            client = Some((admin, Client::new(admin, TIMEOUT)));
            newest = 0;
        }
        let Some((_, client)) = &client else { continue };
        let Ok(response) = client.call(&call).await else { continue };
        let Ok(status) = serde_json::from_slice::<serde_json::Value>(&response.body) else {
            continue;
        };
        let revision = status["revision"].as_u64().unwrap_or(0);
        let mut observations = bench.observations.borrow_mut();
        observations.reverts += u64::from(revision < newest);
        newest = newest.max(revision);
        if revision > 0 && status["configuration"]["revision"] == revision {
            observations
                .record_nonce(revision, status["configuration"]["nonce"].as_u64().unwrap_or(0));
            observations.in_force[index].entry(revision).or_insert_with(now_ms);
        }
    }
}

/// Publishes documents with increasing queue lengths, which differ between the publishers.
async fn publish(bench: Rc<Bench>, publisher: u64, end: Instant) {
    let mut rng = SmallRng::seed_from_u64(SEED + publisher);
    let mut queue = publisher;
    while Instant::now() < end {
        let delay_ms = rng.random_range(50..600);
        monoio::time::sleep(Duration::from_millis(delay_ms)).await;
        let admins = [bench.entries[rng.random_range(0..ENTRIES)].borrow().admin];
        let Ok(mut timeline) = Timeline::read(bench.platform, &admins).await else { continue };
        queue += PUBLISHERS;
        // Simulates an operator who reviews the difference, so that publishers do race.
        monoio::time::sleep(Duration::from_millis(rng.random_range(0..200))).await;
        let text = document("trial", queue);
        let parsed = parse(&text).expect("the document is valid");
        let replaces = timeline.history.number();
        let publication = Publication::new(&parsed, text, "bench", replaces);
        let outcome = publication.send(&mut timeline, TIMEOUT).await;
        let name = match outcome {
            PublishOutcome::Accepted { revision, offset, .. } => {
                record_accepted(&bench, &timeline, revision, offset);
                "accepted"
            }
            PublishOutcome::Conflict { .. } => "conflict",
            PublishOutcome::Refused { .. } => "refused",
            PublishOutcome::Unknown { .. } => "unknown",
        };
        *bench.observations.borrow_mut().outcomes.entry(name).or_default() += 1;
    }
}

/// Records the log time of an accepted publication.
fn record_accepted(bench: &Bench, timeline: &Timeline, revision: u64, offset: u64) {
    let row = timeline.records.iter().find(|row| row.offset == offset);
    let row = row.expect("an accepted publication is in the timeline");
    let mut observations = bench.observations.borrow_mut();
    observations.record_nonce(revision, row.nonce);
    observations.accepted.insert(revision, row.time);
}

/// Repeatedly takes the log down right after an append.
async fn inject_outages(bench: Rc<Bench>, end: Instant) {
    while Instant::now() + OUTAGE_INTERVAL + OUTAGE_DURATION < end {
        monoio::time::sleep(OUTAGE_INTERVAL).await;
        set_faults(&bench, LogFaults { down_after_append: true, ..LogFaults::default() });
        while !bench.host.with(|service| service.log.faults().down) {
            monoio::time::sleep(POLL_INTERVAL).await;
        }
        monoio::time::sleep(OUTAGE_DURATION).await;
        set_faults(&bench, LogFaults::default());
        bench.observations.borrow_mut().outages += 1;
    }
}

fn set_faults(bench: &Bench, faults: LogFaults) {
    bench.host.with(move |service| service.log.set_faults(faults));
}

/// Kills a random entry at regular intervals and starts a new process in its place.
async fn restart_entries(bench: Rc<Bench>, end: Instant) {
    let mut rng = SmallRng::seed_from_u64(SEED);
    while Instant::now() < end {
        monoio::time::sleep(RESTART_INTERVAL).await;
        let index = rng.random_range(0..ENTRIES);
        bench.entries[index].borrow_mut().kill();
        let generation = bench.observations.borrow().restarts + 1;
        let entry = start_entry(index, generation, bench.platform);
        bench.entries[index].replace(entry);
        bench.observations.borrow_mut().restarts = generation;
    }
}

fn report(observations: &Observations) {
    let mut delays_ms = Histogram::<u64>::new(3).expect("three digits are a valid precision");
    let mut missing = 0;
    for (revision, accepted_ms) in &observations.accepted {
        let first_time =
            |times: &BTreeMap<u64, u64>| times.range(revision..).map(|(_, time)| *time).min();
        let times: Option<Vec<u64>> = observations.in_force.iter().map(first_time).collect();
        match times.and_then(|times| times.into_iter().max()) {
            Some(last) => delays_ms.record(last.saturating_sub(*accepted_ms)).expect("it resizes"),
            None => missing += 1,
        }
    }
    let within_goal = delays_ms.count_between(0, DELAY_GOAL_MS);
    let holds = !delays_ms.is_empty()
        && missing == 0
        && delays_ms.max() <= MAX_DELAY_MS
        && observations.reverts == 0
        && observations.disagreements == 0;
    let json = serde_json::json!({
        "bench": "config",
        "holds": holds,
        "seed": SEED,
        "entries": ENTRIES,
        "publishers": PUBLISHERS,
        "outcomes": observations.outcomes,
        "restarts": observations.restarts,
        "outages": observations.outages,
        "p50Ms": delays_ms.value_at_quantile(0.5),
        "p99Ms": delays_ms.value_at_quantile(0.99),
        "maxMs": delays_ms.max(),
        "withinGoal": within_goal,
        "measured": delays_ms.len(),
        "missing": missing,
        "reverts": observations.reverts,
        "disagreements": observations.disagreements,
        "limitMs": MAX_DELAY_MS,
        "goalMs": DELAY_GOAL_MS,
    });
    println!("{json}");
}
