//! Time from an accepted publication to its document in force on every entry.
//!
//! 16 entry processes follow a log with a retention of 4 s. Four publishers race, entries are
//! killed and started again, and the log goes down for 2 s right after some appends, before any
//! reader has seen the record. Each entry is asked for its revision every few milliseconds. Times count from the log's own time
//! of the record; an entry that is down at the time counts until its successor has the document.

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
const OUTAGE: Duration = Duration::from_secs(2);
const OUTAGE_PAUSE: Duration = Duration::from_secs(5);
const RESTART_PAUSE: Duration = Duration::from_millis(1500);
const POLL_PAUSE: Duration = Duration::from_millis(8);
const RUN: Duration = Duration::from_secs(36);
/// Time after the last publication; longer than the limit.
const SETTLE: Duration = Duration::from_secs(8);
const TIMEOUT: Duration = Duration::from_secs(5);
const LIMIT_MS: u64 = 6000;
const GOAL_MS: u64 = 1000;

/// What the pollers and the publishers saw.
#[derive(Default)]
struct Seen {
    /// Nonce of each revision, as the first entry or publisher reported it.
    nonces: BTreeMap<u64, u64>,
    /// Log time of each accepted publication.
    accepted: BTreeMap<u64, u64>,
    /// For each entry, the time at which it first had at least a revision.
    in_force: Vec<BTreeMap<u64, u64>>,
    outcomes: BTreeMap<&'static str, u64>,
    restarts: u64,
    outages: u64,
    reverts: u64,
    disagreements: u64,
    stopped: bool,
}

impl Seen {
    fn note(&mut self, number: u64, nonce: u64) {
        if *self.nonces.entry(number).or_insert(nonce) != nonce {
            self.disagreements += 1;
        }
    }
}

struct Bench {
    platform: SocketAddr,
    host: Host<Rc<PlatformService>>,
    entries: Vec<RefCell<EntryProcess>>,
    seen: RefCell<Seen>,
}

fn now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

fn start(index: usize, generation: u64, platform: SocketAddr) -> EntryProcess {
    let retention = RETENTION.as_millis() as u64;
    let further = serde_json::json!({ "retentionMs": retention, "log": "error" });
    EntryProcess::start_with(&format!("config-{index}-{generation}"), "a", platform, further)
}

fn main() {
    println!("seed {SEED}");
    let (host, platform) = host_platform(RETENTION).expect("the platform starts");
    let entries = (0..ENTRIES).map(|index| RefCell::new(start(index, 0, platform))).collect();
    let seen = Seen { in_force: vec![BTreeMap::new(); ENTRIES], ..Seen::default() };
    let bench = Rc::new(Bench { platform, host, entries, seen: RefCell::new(seen) });
    block_on(run(bench.clone())).expect("the runtime starts");
    report(&bench.seen.borrow());
}

async fn run(bench: Rc<Bench>) {
    let mut tasks = Vec::new();
    for index in 0..ENTRIES {
        tasks.push(monoio::spawn(poll(bench.clone(), index)));
    }
    let end = Instant::now() + RUN;
    for number in 0..PUBLISHERS {
        tasks.push(monoio::spawn(publish(bench.clone(), number, end)));
    }
    tasks.push(monoio::spawn(restart(bench.clone(), end)));
    tasks.push(monoio::spawn(interrupt(bench.clone(), end)));
    monoio::time::sleep(RUN + SETTLE).await;
    bench.seen.borrow_mut().stopped = true;
    for task in tasks {
        task.await;
    }
}

/// Asks one entry for its revision, whichever process runs it.
async fn poll(bench: Rc<Bench>, index: usize) {
    let call = Call::new(Method::GET, Uri::from_static("/status"));
    let mut client: Option<(SocketAddr, Client)> = None;
    let mut newest = 0;
    while !bench.seen.borrow().stopped {
        monoio::time::sleep(POLL_PAUSE).await;
        let admin = bench.entries[index].borrow().admin;
        if client.as_ref().is_none_or(|(address, _)| *address != admin) {
            // A new process starts without a document.
            client = Some((admin, Client::new(admin, TIMEOUT)));
            newest = 0;
        }
        let Some((_, client)) = &client else { continue };
        let Ok(answer) = client.call(&call).await else { continue };
        let Ok(status) = serde_json::from_slice::<serde_json::Value>(&answer.body) else {
            continue;
        };
        let number = status["revision"].as_u64().unwrap_or(0);
        let mut seen = bench.seen.borrow_mut();
        seen.reverts += u64::from(number < newest);
        newest = newest.max(number);
        if number > 0 && status["configuration"]["revision"] == number {
            seen.note(number, status["configuration"]["nonce"].as_u64().unwrap_or(0));
            seen.in_force[index].entry(number).or_insert_with(now);
        }
    }
}

async fn publish(bench: Rc<Bench>, number: u64, end: Instant) {
    let mut random = SmallRng::seed_from_u64(SEED + number);
    let mut queue = number;
    while Instant::now() < end {
        let pause = random.random_range(50..600);
        monoio::time::sleep(Duration::from_millis(pause)).await;
        let admins = [bench.entries[random.random_range(0..ENTRIES)].borrow().admin];
        let Ok(mut timeline) = Timeline::read(bench.platform, &admins).await else { continue };
        queue += PUBLISHERS;
        // The time in which an operator looks at the difference, so that publishers do race.
        monoio::time::sleep(Duration::from_millis(random.random_range(0..200))).await;
        let text = document("trial", queue);
        let parsed = parse(&text).expect("the document is valid");
        let replaces = timeline.history.number();
        let publication = Publication::new(&parsed, text, "bench", replaces);
        let outcome = publication.send(&mut timeline, TIMEOUT).await;
        let name = match outcome {
            PublishOutcome::Accepted { revision, offset, .. } => {
                accept(&bench, &timeline, revision, offset);
                "accepted"
            }
            PublishOutcome::Conflict { .. } => "conflict",
            PublishOutcome::Refused { .. } => "refused",
            PublishOutcome::Unknown { .. } => "unknown",
        };
        *bench.seen.borrow_mut().outcomes.entry(name).or_default() += 1;
    }
}

fn accept(bench: &Bench, timeline: &Timeline, revision: u64, offset: u64) {
    let row = timeline.records.iter().find(|row| row.offset == offset);
    let row = row.expect("an accepted publication is in the timeline");
    let mut seen = bench.seen.borrow_mut();
    seen.note(revision, row.nonce);
    seen.accepted.insert(revision, row.time);
}

/// Takes the log down right after an append, again and again.
async fn interrupt(bench: Rc<Bench>, end: Instant) {
    while Instant::now() + OUTAGE_PAUSE + OUTAGE < end {
        monoio::time::sleep(OUTAGE_PAUSE).await;
        set_faults(&bench, LogFaults { down_after_append: true, ..LogFaults::default() });
        while !bench.host.with(|service| service.log.faults().down) {
            monoio::time::sleep(POLL_PAUSE).await;
        }
        monoio::time::sleep(OUTAGE).await;
        set_faults(&bench, LogFaults::default());
        bench.seen.borrow_mut().outages += 1;
    }
}

fn set_faults(bench: &Bench, faults: LogFaults) {
    bench.host.with(move |service| service.log.set_faults(faults));
}

async fn restart(bench: Rc<Bench>, end: Instant) {
    let mut random = SmallRng::seed_from_u64(SEED);
    while Instant::now() < end {
        monoio::time::sleep(RESTART_PAUSE).await;
        let index = random.random_range(0..ENTRIES);
        bench.entries[index].borrow_mut().kill();
        let generation = bench.seen.borrow().restarts + 1;
        let entry = start(index, generation, bench.platform);
        bench.entries[index].replace(entry);
        bench.seen.borrow_mut().restarts = generation;
    }
}

fn report(seen: &Seen) {
    let mut everywhere = Histogram::<u64>::new(3).expect("three digits are a valid precision");
    let mut missing = 0;
    for (revision, accepted) in &seen.accepted {
        let first =
            |times: &BTreeMap<u64, u64>| times.range(revision..).map(|(_, time)| *time).min();
        let times: Option<Vec<u64>> = seen.in_force.iter().map(first).collect();
        match times.and_then(|times| times.into_iter().max()) {
            Some(last) => everywhere.record(last.saturating_sub(*accepted)).expect("it resizes"),
            None => missing += 1,
        }
    }
    let within_goal = everywhere.count_between(0, GOAL_MS);
    let holds = !everywhere.is_empty()
        && missing == 0
        && everywhere.max() <= LIMIT_MS
        && seen.reverts == 0
        && seen.disagreements == 0;
    let json = serde_json::json!({
        "bench": "config",
        "holds": holds,
        "seed": SEED,
        "entries": ENTRIES,
        "publishers": PUBLISHERS,
        "outcomes": seen.outcomes,
        "restarts": seen.restarts,
        "outages": seen.outages,
        "p50Ms": everywhere.value_at_quantile(0.5),
        "p99Ms": everywhere.value_at_quantile(0.99),
        "maxMs": everywhere.max(),
        "withinGoal": within_goal,
        "measured": everywhere.len(),
        "missing": missing,
        "reverts": seen.reverts,
        "disagreements": seen.disagreements,
        "limitMs": LIMIT_MS,
        "goalMs": GOAL_MS,
    });
    println!("{json}");
}
