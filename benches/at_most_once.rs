//! At-most-once execution of calls with an idempotency key under faults.
//!
//! There are 16 entry processes. Two copies of each call are sent to different entries at the same
//! time, while entries are killed and paused in the middle of calls and the log fails.

#[path = "../tests/fixture/mod.rs"]
mod fixture;

use std::collections::{BTreeMap, HashMap};

use cornellink::edge::stand_in::host::Host;
use cornellink::edge::stand_in::hosted::{host_platform, host_targets, TargetHost};
use cornellink::edge::stand_in::log::{LogFaults, LogLimits};
use cornellink::edge::stand_in::service::PlatformService;
use cornellink::edge::stand_in::target::COPY_HEADER;
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
const RUN_DURATION: Duration = Duration::from_secs(46);
/// Time without faults at the start.
const FAULT_FREE_DURATION: Duration = Duration::from_secs(6);
/// Time between the end of a fault and the start of the next one.
const FAULT_INTERVAL: Duration = Duration::from_millis(700);
/// Maximum number of times that a caller sends one copy of a call.
const MAX_TRIES: u32 = 60;
/// Delay before a caller retries a call, and after a call that was not run.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Minimum number of copies that the benchmark must send.
const MIN_COPIES: u64 = 20_000;
/// Maximum number of appends per second that the stand-in log accepts.
const LOG_APPENDS_PER_SECOND: usize = 400;

#[derive(Default)]
struct Results {
    copies: u64,
    /// Copies without a final result code after `MAX_TRIES` tries.
    unanswered: u64,
    retries: u64,
    wrong: u64,
    codes: HashMap<u16, u64>,
    /// Result codes received before the first fault.
    codes_before_faults: HashMap<u16, u64>,
    has_faults: bool,
    /// The result code that the caller received for each try.
    code_by_try: HashMap<String, Code>,
    keys: u64,
    unknown_keys: u64,
}

impl Results {
    /// Records the response to one try; returns `None` if the caller has to try another entry.
    fn record(&mut self, key: &str, copy: &str, response: Option<(Code, Answer)>) -> Option<Code> {
        let (code, response) = response?;
        self.code_by_try.insert(copy.into(), code);
        if code == Code::NotReady {
            return None;
        }
        let expected = format!("POST /jobs/{key} {key}");
        self.wrong += u64::from(code == Code::Answered && response.body != expected);
        Some(code)
    }
}

fn main() {
    let (platform, address) = host_platform(Duration::from_secs(3600)).unwrap();
    platform.with(|platform| {
        platform
            .log
            .set_limits(LogLimits { append_rate: LOG_APPENDS_PER_SECOND, ..Default::default() });
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
    let end = Instant::now() + RUN_DURATION;
    let callers = (0..CALLERS).map(|caller| {
        let (cluster, results) = (cluster.clone(), results.clone());
        monoio::spawn(run_caller(caller, cluster, results, end))
    });
    let callers: Vec<_> = callers.collect();
    monoio::time::sleep(FAULT_FREE_DURATION).await;
    results.borrow_mut().has_faults = true;
    inject_faults(cluster, platform, end).await;
    for caller in callers {
        caller.await;
    }
    results.take()
}

/// Injects one fault at a time, each for a random duration; the last 5 s of the run have none.
async fn inject_faults(cluster: &EntryCluster, platform: &Host<Rc<PlatformService>>, end: Instant) {
    let mut rng = SmallRng::seed_from_u64(SEED);
    while Instant::now() + Duration::from_secs(5) < end {
        let entry = rng.random_range(0..ENTRIES);
        let duration = Duration::from_millis(rng.random_range(200..1500));
        let log_fault = |faults: LogFaults| platform.with(move |p| p.log.set_faults(faults));
        match rng.random_range(0..10) {
            0..=2 => cluster.restart(entry),
            3..=5 => {
                cluster.pause(entry);
                monoio::time::sleep(duration).await;
                cluster.resume(entry);
            }
            6 => log_fault(LogFaults { lose_responses: true, ..Default::default() }),
            7 => log_fault(LogFaults { down: true, ..Default::default() }),
            8 => log_fault(LogFaults { delay: duration / 5, ..Default::default() }),
            _ => log_fault(LogFaults { reads_down: true, ..Default::default() }),
        }
        monoio::time::sleep(duration).await;
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
    let mut rng = SmallRng::seed_from_u64(SEED + caller as u64);
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let key = format!("{caller}-{number}");
        let first = rng.random_range(0..ENTRIES);
        let second = (first + rng.random_range(1..ENTRIES)) % ENTRIES;
        let first_copy = send(&cluster, &key, 'a', first, &results);
        let second_copy = send(&cluster, &key, 'b', second, &results);
        let codes = <[Option<Code>; 2]>::from(monoio::join!(first_copy, second_copy));
        if codes.contains(&Some(Code::NotRunClaim)) {
            monoio::time::sleep(RETRY_DELAY).await;
        }
        let mut results = results.borrow_mut();
        results.keys += 1;
        let has_code = |test: fn(Code) -> bool| codes.iter().flatten().any(|code| test(*code));
        let is_answered = has_code(|code| matches!(code, Code::Answered | Code::AnsweredBefore));
        results.unknown_keys += u64::from(!is_answered && has_code(Code::is_unknown));
    }
}

/// Sends one copy of a call until an entry returns a final code; each try has its own copy id.
async fn send(
    cluster: &EntryCluster,
    key: &str,
    copy_name: char,
    first: usize,
    results: &RefCell<Results>,
) -> Option<Code> {
    results.borrow_mut().copies += 1;
    for retry in 0..MAX_TRIES {
        let client = cluster.client((first + retry as usize * 5) % ENTRIES);
        let copy = format!("{key}-{copy_name}{retry}");
        let mut call = Call::new(Method::POST, format!("/jobs/{key}").parse().unwrap());
        call.set_header(header::WORKSPACE, "north");
        call.set_header(header::IDEMPOTENCY_KEY, key);
        call.set_header(COPY_HEADER, &copy);
        call.body = Bytes::from(key.to_owned());
        let response = client.call(&call).await.ok();
        let response = response.and_then(|response| Some((response.code()?, response)));
        let code = results.borrow_mut().record(key, &copy, response);
        // If the caller lost its entry, an earlier try may still be running: it retries until it
        // receives the outcome of the call.
        let is_pending = retry > 0 && code == Some(Code::RefusedDuplicate);
        if let Some(code) = code.filter(|_| !is_pending) {
            let results = &mut *results.borrow_mut();
            count_code(&mut results.codes, code);
            if !results.has_faults {
                count_code(&mut results.codes_before_faults, code);
            }
            return Some(code);
        }
        results.borrow_mut().retries += 1;
        monoio::time::sleep(RETRY_DELAY).await;
    }
    results.borrow_mut().unanswered += 1;
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
    let doubled_keys = runs.values().filter(|count| **count > 1).count();
    let not_run =
        |copy: &&String| results.code_by_try.get(*copy).is_some_and(|code| code.is_not_run());
    let not_run_ran = copies.iter().filter(not_run).count();
    let (appends, refused) =
        platform.with(|platform| (platform.log.append_count(), platform.log.refused_appends()));
    let codes: BTreeMap<_, _> = results.codes.iter().collect();
    let codes_before_faults: BTreeMap<_, _> = results.codes_before_faults.iter().collect();
    let holds = doubled_keys == 0
        && not_run_ran == 0
        && results.unanswered == 0
        && results.wrong == 0
        && results.copies >= MIN_COPIES;
    println!("seed {SEED}, {ENTRIES} entries, {CALLERS} callers");
    println!(
        "{}",
        serde_json::json!({
            "bench": "at_most_once",
            "holds": holds,
            "calls": results.copies,
            "keys": results.keys,
            "keysRun": runs.len(),
            "doubledRuns": doubled_keys,
            "notRunThatRan": not_run_ran,
            "withoutAnswer": results.unanswered,
            "wrongAnswers": results.wrong,
            "callerRetries": results.retries,
            "unknownShare": results.unknown_keys as f64 / results.keys.max(1) as f64,
            "codes": codes,
            "codesBeforeFaults": codes_before_faults,
            "appends": appends,
            "appendsRefused": refused,
            "bounds": { "calls": MIN_COPIES, "doubledRuns": 0, "notRunThatRan": 0,
                        "withoutAnswer": 0, "wrongAnswers": 0 },
        })
    );
}
