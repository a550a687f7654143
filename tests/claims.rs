//! Claims of keyed calls over a log in memory, one test for each failure.

use std::time::{SystemTime, UNIX_EPOCH};

use cornellink::platform::log::Log;
use cornellink::platform::stand_in::log::{LogFaults, LogLimits, MemoryLog};
use cornellink::prelude::*;
use cornellink::process::claims::admit::{Admission, Request};
use cornellink::process::claims::grant::Grant;
use cornellink::process::claims::key::Key;
use cornellink::process::claims::limits::{ClaimLimits, ClaimSettings};
use cornellink::process::claims::lookup::Lookup;
use cornellink::process::claims::record::{ClaimRecord, STREAM};
use cornellink::process::claims::{tasks, Claims};
use cornellink::process::observe::Metrics;
use cornellink::process::runtime::block_on;
use cornellink::request::header;

fn limits() -> ClaimLimits {
    ClaimLimits::new(&ClaimSettings::default(), Duration::from_secs(3600))
}

fn memory_log() -> Rc<MemoryLog> {
    Rc::new(MemoryLog::new(Duration::from_secs(3600)))
}

/// Starts the claims of an entry and waits until they are open.
async fn start(name: &str, log: &Rc<MemoryLog>) -> Rc<Claims> {
    let claims = start_closed(name, log);
    until(|| claims.is_open()).await;
    claims
}

fn start_closed(name: &str, log: &Rc<MemoryLog>) -> Rc<Claims> {
    let claims = Claims::new(name, limits(), Rc::new(Metrics::default()));
    let claims = Rc::new(claims);
    monoio::spawn(tasks::run(claims.clone(), log.clone()));
    claims
}

async fn until(condition: impl Fn() -> bool) {
    while !condition() {
        monoio::time::sleep(Duration::from_millis(1)).await;
    }
}

fn request(key: &str) -> Request {
    Request {
        key: Key::new("north", "jobs", key.as_bytes()),
        digest: 1,
        issued: None,
        deadline: Deadline::after(Instant::now(), Duration::from_secs(5)),
    }
}

fn short(key: &str) -> Request {
    let deadline = Deadline::after(Instant::now(), Duration::from_millis(150));
    Request { deadline, ..request(key) }
}

async fn granted(claims: &Rc<Claims>, request: Request) -> Grant {
    loop {
        // A busy machine can use up the 100 ms; the call was then not run and may be repeated.
        match claims.admit(request).await {
            Admission::Run(grant) => return grant,
            Admission::Answer(answer) => assert_eq!(code(&answer), Code::NotRunClaim),
        }
    }
}

async fn refused(claims: &Rc<Claims>, request: Request) -> Answer {
    match claims.admit(request).await {
        Admission::Answer(answer) => answer,
        Admission::Run(_) => panic!("the call may run"),
    }
}

fn code(answer: &Answer) -> Code {
    let number = answer.header(header::CODE).and_then(|text| text.parse().ok());
    number.and_then(Code::from_number).expect("an answer has a code")
}

fn answered(body: &'static str) -> Answer {
    let mut answer = Answer::new(StatusCode::CREATED, body);
    answer.set(header::CODE, "100");
    answer
}

async fn records(log: &MemoryLog) -> Vec<ClaimRecord> {
    let page = log.read(STREAM, 0, Duration::ZERO).await.unwrap();
    page.records.iter().filter_map(|record| ClaimRecord::decode(&record.value)).collect()
}

/// Whether another entry holds the claim of a key and its call can still be running.
fn is_held(claims: &Claims, key: &str) -> bool {
    matches!(claims.lookup(&request(key).key, 1), Lookup::Held(_))
}

fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Guards against a second run at another entry, while the first runs and after it has ended.
#[test]
fn duplicate_at_another_entry_never_runs() {
    block_on(async {
        let log = memory_log();
        let (one, two) = (start("one", &log).await, start("two", &log).await);
        let grant = granted(&one, request("k")).await;
        until(|| is_held(&two, "k")).await;

        let running = refused(&two, request("k")).await;
        grant.finish(answered("booked"));
        until(|| one.is_flushed()).await;
        let mut ended = refused(&two, request("k")).await;
        while code(&ended) == Code::RefusedDuplicate {
            ended = refused(&two, request("k")).await;
        }

        assert_eq!(code(&running), Code::RefusedDuplicate);
        assert_eq!((code(&ended), ended.status), (Code::AnsweredBefore, StatusCode::CREATED));
    })
    .unwrap();
}

/// Guards against two winners when duplicates reach two entries at once.
#[test]
fn one_of_two_simultaneous_claims_wins() {
    block_on(async {
        let log = memory_log();
        let (one, two) = (start("one", &log).await, start("two", &log).await);
        for number in 0..20 {
            let key = number.to_string();

            let (first, second) = monoio::join!(one.admit(request(&key)), two.admit(request(&key)));

            let runs = [&first, &second].map(|a| u32::from(matches!(a, Admission::Run(_))));
            assert!(runs.iter().sum::<u32>() <= 1, "`{key}` would run twice");
        }
    })
    .unwrap();
}

/// Guards against a duplicate that runs, or gets a response of its own, beside the first call.
#[test]
fn duplicate_at_the_same_entry_gets_the_same_response() {
    block_on(async {
        let log = memory_log();
        let claims = start("one", &log).await;
        let grant = granted(&claims, request("k")).await;
        let (waiting, other) = (claims.clone(), claims.clone());
        let waiting = monoio::spawn(async move { refused(&waiting, request("k")).await });

        let mismatch = refused(&other, Request { digest: 2, ..request("k") }).await;
        monoio::time::sleep(Duration::from_millis(5)).await;
        grant.finish(answered("booked"));
        let waited = waiting.await;
        let kept = refused(&claims, request("k")).await;
        let late_mismatch = refused(&claims, Request { digest: 2, ..request("k") }).await;

        assert_eq!(code(&mismatch), Code::RefusedMismatch);
        assert_eq!((code(&waited), waited.body.as_ref()), (Code::Answered, &b"booked"[..]));
        assert_eq!((code(&kept), kept.body.as_ref()), (Code::Answered, &b"booked"[..]));
        assert_eq!(code(&late_mismatch), Code::RefusedMismatch);
    })
    .unwrap();
}

/// Guards against bookings that hang or run while the log is down, and against a late recovery.
#[test]
fn log_outage_refuses_bookings_until_it_ends() {
    block_on(async {
        let log = memory_log();
        let claims = start("one", &log).await;
        log.set_faults(LogFaults { down: true, ..Default::default() });

        let first = refused(&claims, request("k")).await;
        until(|| !claims.is_open()).await;
        let second = refused(&claims, request("k")).await;
        log.set_faults(LogFaults::default());
        until(|| claims.is_open()).await;
        let grant = granted(&claims, request("k")).await;

        assert_eq!([code(&first), code(&second)], [Code::NotRunClaim; 2]);
        grant.finish(answered("booked"));
    })
    .unwrap();
}

/// Guards against a lost response of the log that refuses a booking or runs it twice.
#[test]
fn lost_append_responses_are_settled_by_reading() {
    block_on(async {
        let log = memory_log();
        let (one, two) = (start("one", &log).await, start("two", &log).await);
        log.set_faults(LogFaults { lose_answers: true, ..Default::default() });

        let grant = granted(&one, request("k")).await;
        until(|| is_held(&two, "k")).await;
        let duplicate = refused(&two, request("k")).await;

        assert_eq!(code(&duplicate), Code::RefusedDuplicate);
        grant.finish(answered("booked"));
    })
    .unwrap();
}

/// Guards against a key that stays claimed for nobody after its claim was too slow.
#[test]
fn abandoned_claim_is_released() {
    block_on(async {
        let log = memory_log();
        let (one, two) = (start("one", &log).await, start("two", &log).await);
        log.set_faults(LogFaults { delay: Duration::from_millis(150), ..Default::default() });

        let late = refused(&one, request("k")).await;
        log.set_faults(LogFaults::default());
        let is_release = |record: &ClaimRecord| matches!(record, ClaimRecord::Release { .. });
        while !records(&log).await.iter().any(is_release) || is_held(&two, "k") {
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
        let grant = granted(&two, request("k")).await;

        assert_eq!(code(&late), Code::NotRunClaim);
        assert_eq!(records(&log).await.iter().filter(|record| is_release(record)).count(), 1);
        grant.finish(answered("booked"));
    })
    .unwrap();
}

/// Guards against claims that count as confirmed although nobody can read the log.
#[test]
fn reads_down_refuse_bookings() {
    block_on(async {
        let log = memory_log();
        let claims = start("one", &log).await;
        log.set_faults(LogFaults { reads_down: true, ..Default::default() });

        let answer = refused(&claims, request("k")).await;

        assert_eq!(code(&answer), Code::NotRunClaim);
    })
    .unwrap();
}

/// Guards against a second run after the caller has left in the middle of the call.
#[test]
fn cancelled_call_leaves_an_unknown_outcome() {
    block_on(async {
        let log = memory_log();
        let claims = start("one", &log).await;
        let grant = granted(&claims, request("k")).await;

        drop(grant);
        let answer = refused(&claims, request("k")).await;

        assert_eq!(code(&answer), Code::UnknownCancelled);
    })
    .unwrap();
}

/// Guards against a key that stays blocked after a call that provably did not run.
#[test]
fn call_that_was_not_run_frees_its_key() {
    block_on(async {
        let log = memory_log();
        let claims = start("one", &log).await;
        let grant = granted(&claims, request("k")).await;

        grant.finish(Answer::own(Code::NotRunConnect));
        let grant = granted(&claims, request("k")).await;

        grant.finish(answered("booked"));
    })
    .unwrap();
}

/// Guards against a second run while the holder is paused between its claim and its dispatch,
/// before and after the deadline of the call.
#[test]
fn paused_holder_keeps_its_key() {
    block_on(async {
        let log = memory_log();
        let (one, two) = (start("one", &log).await, start("two", &log).await);
        let grant = granted(&one, short("k")).await;
        until(|| is_held(&two, "k")).await;
        until(|| !is_held(&two, "k")).await;

        let answer = refused(&two, request("k")).await;

        assert_eq!(code(&answer), Code::UnknownClaim);
        drop(grant);
    })
    .unwrap();
}

/// Guards against a second run, or a wait for the deadline, after a restart under the same name.
#[test]
fn restarted_entry_knows_its_earlier_claims() {
    block_on(async {
        let log = memory_log();
        let before = start("one", &log).await;
        let grant = granted(&before, request("k")).await;

        let after = start("one", &log).await;
        let mut answer = refused(&after, request("k")).await;
        while code(&answer) == Code::RefusedDuplicate {
            answer = refused(&after, request("k")).await;
        }

        assert_eq!(code(&answer), Code::UnknownClaim);
        drop(grant);
    })
    .unwrap();
}

/// Guards against a second run when the log has dropped claims that are younger than the window.
#[test]
fn entry_that_missed_claims_refuses_old_keys() {
    block_on(async {
        let log = memory_log();
        let one = start("one", &log).await;
        granted(&one, request("k")).await.finish(answered("booked"));
        until(|| one.is_flushed()).await;
        log.set_limits(LogLimits { records: 1, ..Default::default() });
        let two = start_closed("two", &log);
        until(|| two.is_open()).await;

        let old = refused(&two, request("k")).await;
        let issued = Some(unix_millis() + 1000);
        let grant = granted(&two, Request { issued, ..request("new") }).await;

        assert_eq!(code(&old), Code::NotRunClaim);
        grant.finish(answered("booked"));
    })
    .unwrap();
}

/// Guards against a second run after the log has lost everything.
#[test]
fn log_reset_keeps_known_claims_and_warns_new_entries() {
    block_on(async {
        let log = memory_log();
        let one = start("one", &log).await;
        granted(&one, request("k")).await.finish(answered("booked"));
        until(|| one.is_flushed()).await;

        log.reset();
        let mut appended = Vec::new();
        while !appended.iter().any(|record| matches!(record, ClaimRecord::Mark(m) if m.reset)) {
            monoio::time::sleep(Duration::from_millis(1)).await;
            appended = records(&log).await;
        }
        let two = start_closed("two", &log);
        until(|| two.is_open()).await;
        let known = refused(&one, request("k")).await;
        let unknown = refused(&two, request("k")).await;

        assert_eq!(code(&known), Code::Answered);
        assert_eq!(code(&unknown), Code::NotRunClaim);
    })
    .unwrap();
}

/// Guards against a run of a key whose first claim may have expired.
#[test]
fn key_older_than_the_window_is_refused() {
    block_on(async {
        let log = memory_log();
        let claims = start("one", &log).await;
        let window = limits().window.as_millis() as u64;

        let issued = Some(unix_millis() - window - 1000);
        let answer = refused(&claims, Request { issued, ..request("k") }).await;

        assert_eq!(code(&answer), Code::RefusedWindow);
    })
    .unwrap();
}
