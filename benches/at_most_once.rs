//! Keyed calls under faults: 16 entry processes, two copies of each call sent to different
//! entries at once, entries killed and paused in the middle of calls, faults of the log.

#[path = "../tests/fixture/mod.rs"]
mod fixture;

use std::collections::{BTreeMap, HashMap};

use cornellink::edge::stand_in::host::Host;
use cornellink::edge::stand_in::hosted::{host_platform, host_targets, TargetHost};
use cornellink::edge::stand_in::log::{LogFaults, LogLimits};
use cornellink::edge::stand_in::service::PlatformService;
use cornellink::edge::stand_in::target::COPY;
use cornellink::prelude::*;
use cornellink::process::runtime::block_on;
use cornellink::request::header;
use fixture::entry_cluster::{count_code, document, EntryCluster};
use fixture::publish::publish;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SEED: u64 = 20;
const ENTRIES: usize = 16;
const TARGETS: usize = 8;
const CALLERS: usize = 96;
const RUN_TIME: Duration = Duration::from_secs(46);
/// Time without faults at the start.
const QUIET_TIME: Duration = Duration::from_secs(6);
/// Time between two faults.
const FAULT_INTERVAL: Duration = Duration::from_millis(700);
/// Most times that a caller sends one call.
const MAX_TRIES: u32 = 60;
/// Pause of a caller before it sends a call again, and after a call that was not run.
const PAUSE: Duration = Duration::from_millis(50);
/// Copies of keyed calls that the bench must send.
const MIN_CALLS: u64 = 20_000;
/// Appends a second that the stand-in log takes.
const LOG_APPENDS: usize = 400;

#[derive(Default)]
struct Results {
    copies: u64,
    missing: u64,
    retries: u64,
    wrong: u64,
    codes: HashMap<u16, u64>,
    /// Codes of the time before the first fault.
    quiet_codes: HashMap<u16, u64>,
    has_faults: bool,
    /// Copies by the code that their callers got.
    told: HashMap<String, Code>,
    keys: u64,
    unknown_keys: u64,
}

impl Results {
    /// Records the answer to a try; `None` if the caller has to try another entry.
    fn record(&mut self, key: &str, copy: &str, answer: Option<(Code, Answer)>) -> Option<Code> {
        let (code, answer) = answer?;
        self.told.insert(copy.into(), code);
        if code == Code::NotReady {
            return None;
        }
        let expected = format!("POST /jobs/{key} {key}");
        self.wrong += u64::from(code == Code::Answered && answer.body != expected);
        Some(code)
    }
}

fn main() {
    let (platform, address) = host_platform(Duration::from_secs(3600)).unwrap();
    platform.with(|platform| {
        platform.log.set_limits(LogLimits { appends: LOG_APPENDS, ..Default::default() });
    });
    let (targets, addresses) = host_targets(TARGETS, 6, Duration::from_millis(5)).unwrap();
    let results = block_on(async {
        publish(address, document(&[("jobs", 6, &addresses)])).await;
        let cluster = Rc::new(EntryCluster::start(ENTRIES, vec![address]));
        cluster.wait_ready().await;
        run(&cluster, &platform).await
    });
    report(&results.unwrap(), &platform, &targets);
}

async fn run(cluster: &Rc<EntryCluster>, platform: &Host<Rc<PlatformService>>) -> Results {
    let results = Rc::new(RefCell::new(Results::default()));
    let end = Instant::now() + RUN_TIME;
    let callers = (0..CALLERS).map(|caller| {
        let (cluster, results) = (cluster.clone(), results.clone());
        monoio::spawn(run_caller(caller, cluster, results, end))
    });
    let callers: Vec<_> = callers.collect();
    monoio::time::sleep(QUIET_TIME).await;
    results.borrow_mut().has_faults = true;
    inject_faults(cluster, platform, end).await;
    for caller in callers {
        caller.await;
    }
    results.take()
}

/// One fault after the other, each for a random time; the last part of the run has none.
async fn inject_faults(cluster: &EntryCluster, platform: &Host<Rc<PlatformService>>, end: Instant) {
    let mut random = SmallRng::seed_from_u64(SEED);
    while Instant::now() + Duration::from_secs(5) < end {
        let entry = random.random_range(0..ENTRIES);
        let span = Duration::from_millis(random.random_range(200..1500));
        let log_fault = |faults: LogFaults| platform.with(move |p| p.log.set_faults(faults));
        match random.random_range(0..10) {
            0..=2 => cluster.restart(entry),
            3..=5 => {
                cluster.pause(entry);
                monoio::time::sleep(span).await;
                cluster.resume(entry);
            }
            6 => log_fault(LogFaults { lose_answers: true, ..Default::default() }),
            7 => log_fault(LogFaults { down: true, ..Default::default() }),
            8 => log_fault(LogFaults { delay: span / 5, ..Default::default() }),
            _ => log_fault(LogFaults { reads_down: true, ..Default::default() }),
        }
        monoio::time::sleep(span).await;
        log_fault(LogFaults::default());
        monoio::time::sleep(FAULT_INTERVAL).await;
    }
}

async fn run_caller(
    caller: usize,
    cluster: Rc<EntryCluster>,
    results: Rc<RefCell<Results>>,
    end: Instant,
) {
    let mut random = SmallRng::seed_from_u64(SEED + caller as u64);
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let key = format!("{caller}-{number}");
        let first = random.random_range(0..ENTRIES);
        let second = (first + random.random_range(1..ENTRIES)) % ENTRIES;
        let one = send(&cluster, &key, 'a', first, &results);
        let two = send(&cluster, &key, 'b', second, &results);
        let codes = <[Option<Code>; 2]>::from(monoio::join!(one, two));
        if codes.contains(&Some(Code::NotRunClaim)) {
            monoio::time::sleep(PAUSE).await;
        }
        let mut results = results.borrow_mut();
        results.keys += 1;
        let is = |test: fn(Code) -> bool| codes.iter().flatten().any(|code| test(*code));
        let is_answered = is(|code| matches!(code, Code::Answered | Code::AnsweredBefore));
        results.unknown_keys += u64::from(!is_answered && is(Code::is_unknown));
    }
}

/// Sends one copy of a call until an entry answers; each try is a copy of its own.
async fn send(
    cluster: &EntryCluster,
    key: &str,
    letter: char,
    first: usize,
    results: &RefCell<Results>,
) -> Option<Code> {
    results.borrow_mut().copies += 1;
    for number in 0..MAX_TRIES {
        let client = cluster.client((first + number as usize * 5) % ENTRIES);
        let copy = format!("{key}-{letter}{number}");
        let mut call = Call::new(Method::POST, format!("/jobs/{key}").parse().unwrap());
        call.set(header::WORKSPACE, "north");
        call.set(header::IDEMPOTENCY_KEY, key);
        call.set(COPY, &copy);
        call.body = Bytes::from(key.to_owned());
        let answer = client.call(&call).await.ok();
        let answer = answer.and_then(|answer| Some((answer.code()?, answer)));
        let code = results.borrow_mut().record(key, &copy, answer);
        // A caller that lost its entry asks until it knows how the call ended.
        let is_open = number > 0 && code == Some(Code::RefusedDuplicate);
        if let Some(code) = code.filter(|_| !is_open) {
            let results = &mut *results.borrow_mut();
            count_code(&mut results.codes, code);
            if !results.has_faults {
                count_code(&mut results.quiet_codes, code);
            }
            return Some(code);
        }
        results.borrow_mut().retries += 1;
        monoio::time::sleep(PAUSE).await;
    }
    results.borrow_mut().missing += 1;
    None
}

fn report(results: &Results, platform: &Host<Rc<PlatformService>>, targets: &TargetHost) {
    let (runs, copies) = targets.with(|targets| {
        let mut runs: HashMap<String, u32> = HashMap::new();
        for (key, count) in targets.iter().flat_map(|target| target.runs()) {
            *runs.entry(key).or_default() += count;
        }
        let copies: Vec<String> = targets.iter().flat_map(|target| target.copies()).collect();
        (runs, copies)
    });
    let doubled = runs.values().filter(|count| **count > 1).count();
    let not_run = |copy: &&String| results.told.get(*copy).is_some_and(|code| code.is_not_run());
    let not_run_ran = copies.iter().filter(not_run).count();
    let (appends, refused) =
        platform.with(|platform| (platform.log.appends(), platform.log.refused()));
    let codes: BTreeMap<_, _> = results.codes.iter().collect();
    let quiet_codes: BTreeMap<_, _> = results.quiet_codes.iter().collect();
    let holds = doubled == 0
        && not_run_ran == 0
        && results.missing == 0
        && results.wrong == 0
        && results.copies >= MIN_CALLS;
    println!("seed {SEED}, {ENTRIES} entries, {CALLERS} callers");
    println!(
        "{}",
        serde_json::json!({
            "bench": "at_most_once",
            "holds": holds,
            "calls": results.copies,
            "keys": results.keys,
            "keysRun": runs.len(),
            "doubledRuns": doubled,
            "notRunThatRan": not_run_ran,
            "withoutAnswer": results.missing,
            "wrongAnswers": results.wrong,
            "callerRetries": results.retries,
            "unknownShare": results.unknown_keys as f64 / results.keys.max(1) as f64,
            "codes": codes,
            "codesBeforeFaults": quiet_codes,
            "appends": appends,
            "appendsRefused": refused,
            "bounds": { "calls": MIN_CALLS, "doubledRuns": 0, "notRunThatRan": 0,
                        "withoutAnswer": 0, "wrongAnswers": 0 },
        })
    );
}
