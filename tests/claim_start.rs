//! The start of an entry over a stream that holds more records than the claims in force.

use std::time::{SystemTime, UNIX_EPOCH};

use cornellink::edge::log::{Log, Page, Record};
use cornellink::edge::PlatformFuture;
use cornellink::prelude::*;
use cornellink::process::claims::key::Key;
use cornellink::process::claims::limits::{ClaimLimits, ClaimSettings};
use cornellink::process::claims::lookup::Lookup;
use cornellink::process::claims::record::{ClaimRecord, Holder, NewClaim};
use cornellink::process::claims::{tasks, Claims};
use cornellink::process::metrics::Metrics;
use cornellink::process::runtime::block_on;

const DAY: Duration = Duration::from_secs(24 * 3600);
const EXPIRED_RECORDS: u64 = 40_000;
const CURRENT_RECORDS: u64 = 3000;
const PAGE_RECORDS: usize = 1000;

/// A log whose first `EXPIRED_RECORDS` are ten hours old, and whose others are a minute old.
struct AgedLog {
    records: RefCell<Vec<Record>>,
    records_read: Cell<usize>,
}

impl AgedLog {
    fn new() -> Self {
        let now = unix_millis();
        let records = (0..EXPIRED_RECORDS + CURRENT_RECORDS).map(|offset| {
            let age = if offset < EXPIRED_RECORDS { 10 * 3_600_000 } else { 60_000 };
            Record { offset, time: now - age, value: claim(offset).encode() }
        });
        Self { records: RefCell::new(records.collect()), records_read: Cell::new(0) }
    }
}

impl Log for AgedLog {
    fn append<'a>(&'a self, _: &'a str, values: Vec<Bytes>) -> PlatformFuture<'a, u64> {
        let mut records = self.records.borrow_mut();
        let start = records.len() as u64;
        let time = unix_millis();
        records.extend((start..).zip(values).map(|(offset, value)| Record { offset, time, value }));
        Box::pin(async move { Ok(start) })
    }

    fn read<'a>(&'a self, _: &'a str, from: u64, _: Duration) -> PlatformFuture<'a, Page> {
        Box::pin(async move {
            monoio::time::sleep(Duration::from_millis(1)).await;
            let all = self.records.borrow();
            let records: Vec<Record> =
                all.iter().skip(from as usize).take(PAGE_RECORDS).cloned().collect();
            self.records_read.set(self.records_read.get() + records.len());
            Ok(Page { first: 0, next: all.len() as u64, records })
        })
    }
}

fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

fn key(number: u64) -> Key {
    Key::new("north", "jobs", number.to_string().as_bytes())
}

fn claim(number: u64) -> ClaimRecord {
    let holder = Holder { name: "other".into(), incarnation: 1 };
    ClaimRecord::Claim(NewClaim { key: key(number), digest: 1, holder, nonce: number, span: 1000 })
}

/// Guards against a start that reads all retained records, a day of claims, and against one that
/// skips a claim in force.
#[test]
fn start_reads_all_claims_in_force_and_few_older_ones() {
    block_on(async {
        let log = Rc::new(AgedLog::new());
        let limits = ClaimLimits::new(&ClaimSettings::default(), DAY);
        let claims = Rc::new(Claims::new("one", limits, Rc::new(Metrics::default())));
        monoio::spawn(tasks::run(claims.clone(), log.clone()));
        while !claims.is_accepting() {
            monoio::time::sleep(Duration::from_millis(1)).await;
        }

        let records_read = log.records_read.get();
        let found = (EXPIRED_RECORDS..EXPIRED_RECORDS + CURRENT_RECORDS)
            .filter(|number| matches!(claims.lookup(&key(*number), 1), Lookup::OutcomeUnknown));

        assert_eq!(found.count() as u64, CURRENT_RECORDS);
        assert!(records_read < EXPIRED_RECORDS as usize / 2, "`{records_read}` records were read");
        assert!(matches!(claims.lookup(&key(0), 1), Lookup::Free));
    })
    .unwrap();
}

/// An empty log whose appends and long polls never return.
struct EmptyLog;

impl Log for EmptyLog {
    fn append<'a>(&'a self, _: &'a str, _: Vec<Bytes>) -> PlatformFuture<'a, u64> {
        Box::pin(std::future::pending())
    }

    fn read<'a>(&'a self, _: &'a str, _: u64, wait: Duration) -> PlatformFuture<'a, Page> {
        Box::pin(async move {
            if !wait.is_zero() {
                std::future::pending::<()>().await;
            }
            Ok(Page::default())
        })
    }
}

/// Guards against a start that refuses bookings until the first long poll has ended.
#[test]
fn claims_are_accepted_at_once_on_an_empty_stream() {
    block_on(async {
        let limits = ClaimLimits::new(&ClaimSettings::default(), DAY);
        let claims = Rc::new(Claims::new("one", limits, Rc::new(Metrics::default())));
        monoio::spawn(tasks::run(claims.clone(), Rc::new(EmptyLog)));
        for _ in 0..100 {
            if !claims.is_accepting() {
                monoio::time::sleep(Duration::from_millis(1)).await;
            }
        }

        assert!(claims.is_accepting());
    })
    .unwrap();
}
