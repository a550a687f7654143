//! The tasks that read the stream `claims` and append to it.

use super::record::STREAM;
use super::{unix_millis, Claims, CLAIM_LIMIT};
use crate::edge::log::{Log, Page};
use crate::edge::{Pending, Result};
use crate::prelude::*;

/// Longest wait of one read.
const READ_WAIT: Duration = Duration::from_secs(1);
/// Pause after a failed read.
const READ_PAUSE: Duration = Duration::from_millis(100);
/// Pause after a failed or slow append, which bounds the time until recovery is noticed.
const APPEND_PAUSE: Duration = Duration::from_millis(200);
/// Longest wait for an append; its records may still take effect later.
const APPEND_LIMIT: Duration = Duration::from_secs(2);
/// Records that a start reads in excess of those that it needs, at most.
const START_RECORDS: u64 = 1000;
/// Tokens that results and releases leave to claims.
const CLAIM_TOKENS: f64 = 1.0;

/// Runs both tasks until the future is dropped.
pub async fn run(claims: Rc<Claims>, log: Rc<dyn Log>) {
    monoio::join!(follow(&claims, &*log), append(&claims, &*log));
}

async fn follow(claims: &Claims, log: &dyn Log) {
    let start = loop {
        match find_start(claims, log).await {
            Ok(start) => break start,
            Err(_) => monoio::time::sleep(READ_PAUSE).await,
        }
    };
    claims.state.borrow_mut().table.start_at(start);
    loop {
        let next = claims.state.borrow().table.next();
        // Until the end has been seen once, a wait at the end would only delay the first claims.
        let is_current = claims.state.borrow().health.current;
        let wait = if is_current { READ_WAIT } else { Duration::ZERO };
        match log.read(STREAM, next, wait).await {
            Ok(page) => claims.apply(&page),
            Err(error) => {
                log::debug!("cannot read the stream `{STREAM}`: {error}");
                claims.metrics.count("cornellink_claim_read_errors_total");
                monoio::time::sleep(READ_PAUSE).await;
            }
        }
    }
}

/// Finds an offset whose record is older than any claim in force, so that a long retention does
/// not make for a long start.
async fn find_start(claims: &Claims, log: &dyn Log) -> Result<u64> {
    let page = log.read(STREAM, 0, Duration::ZERO).await?;
    let oldest = unix_millis().saturating_sub(2 * claims.limits.hold().as_millis() as u64);
    // Records before `low` are old enough; those from `high` on may not be.
    let (mut low, mut high) = (page.first, page.next);
    while high - low > START_RECORDS {
        let middle = low + (high - low) / 2;
        let page = log.read(STREAM, middle, Duration::ZERO).await?;
        match page.records.first() {
            Some(record) if record.time < oldest => low = record.offset.max(middle),
            _ => high = middle,
        }
    }
    Ok(low)
}

async fn append(claims: &Claims, log: &dyn Log) {
    let mut idle = claims.idle_until();
    loop {
        let wait = claims.wait_time(Instant::now());
        if !wait.is_zero() {
            let wait = wait.min(idle.saturating_duration_since(Instant::now()));
            let _ = monoio::time::timeout(wait, claims.work.wait()).await;
            if Instant::now() >= idle {
                claims.mark();
                idle = claims.idle_until();
            }
            continue;
        }
        let batch = claims.state.borrow_mut().outbox.batch();
        let sent = Instant::now();
        claims.read_back.clear();
        claims.state.borrow_mut().health.sent = Some(sent);
        let count = batch.len() as u64;
        let append = log.append(STREAM, batch);
        let confirmed = confirm(claims, append, sent).await;
        claims.settle(confirmed, count, sent);
        idle = claims.idle_until();
        if claims.state.borrow().health.failed {
            monoio::time::sleep(APPEND_PAUSE).await;
            claims.mark();
        }
    }
}

/// Waits for an append's response or for its records to be read back. An error may be a lost
/// response, so the records then have until `CLAIM_LIMIT` to be read.
async fn confirm(claims: &Claims, append: Pending<'_, u64>, sent: Instant) -> Option<Confirmed> {
    let response = monoio::select! {
        () = claims.read_back.wait() => return Some(Confirmed::Read),
        response = monoio::time::timeout(APPEND_LIMIT, append) => response,
    };
    if let Ok(Ok(offset)) = response {
        return Some(Confirmed::At(offset));
    }
    let left = CLAIM_LIMIT.saturating_sub(sent.elapsed());
    let read = monoio::time::timeout(left, claims.read_back.wait()).await;
    read.is_ok().then_some(Confirmed::Read)
}

/// How an append was confirmed.
enum Confirmed {
    /// By its response, with the offset of its first record.
    At(u64),
    /// By reading its records.
    Read,
}

impl Claims {
    fn apply(&self, page: &Page) {
        let events = {
            let mut state = self.state.borrow_mut();
            let events = state.table.apply(page);
            state.reset_due |= events.is_none();
            let next = state.table.next();
            state.health.read_to(next);
            let is_first = !state.health.current;
            state.health.current = next >= page.next;
            self.metrics.set_gauge("cornellink_claim_lag", page.next.saturating_sub(next) as f64);
            self.metrics.set_gauge("cornellink_claim_entries", state.table.len() as f64);
            let is_due = events.is_none() || is_first && state.health.current;
            drop(state);
            if is_due {
                self.mark();
            }
            events
        };
        self.handle(events.unwrap_or_default());
    }

    /// Appends a mark, which announces this process, tests the log and keeps the stream from
    /// becoming empty.
    fn mark(&self) {
        let mut state = self.state.borrow_mut();
        let mark = state.table.mark(state.reset_due, unix_millis());
        state.outbox.mark(mark);
        self.work.notify();
    }

    /// Time until the next append may be sent; zero if it may be sent now, which takes a token.
    fn wait_time(&self, now: Instant) -> Duration {
        let state = &mut *self.state.borrow_mut();
        let floor = match (state.outbox.has_claims(), state.outbox.has_records()) {
            (true, _) => 0.0,
            (false, true) => CLAIM_TOKENS,
            (false, false) => return Duration::MAX,
        };
        if state.bucket.take(floor, now) {
            return Duration::ZERO;
        }
        state.bucket.wait(floor, now).max(Duration::from_millis(1))
    }

    fn settle(&self, confirmed: Option<Confirmed>, count: u64, sent: Instant) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        let next = state.table.next();
        let end = confirmed.map(|confirmed| match confirmed {
            Confirmed::At(offset) => offset + count,
            Confirmed::Read => next,
        });
        state.outbox.settle(end.is_some());
        state.health.appended(end, sent, CLAIM_LIMIT, now);
        state.reset_due &= end.is_none();
        state.health.read_to(next);
        self.metrics.record_append(end.is_some(), now - sent);
    }

    fn idle_until(&self) -> Instant {
        // The spread keeps all entries from appending a mark at the same time.
        let spread = 1.0 + rand::random::<f64>();
        Instant::now() + self.limits.idle.mul_f64(spread)
    }
}
