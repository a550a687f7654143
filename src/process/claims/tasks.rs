//! The tasks that read the stream `claims` and append to it.

use super::record::STREAM;
use super::{unix_millis, Claims, CLAIM_TIMEOUT};
use crate::edge::log::{Log, Page};
use crate::edge::{PlatformFuture, Result};
use crate::prelude::*;

/// Longest time that a read at the end of the stream waits for a record.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before a read that follows a failed one.
const READ_BACKOFF: Duration = Duration::from_millis(100);
/// Delay before the append that follows a failed or slow one. That append tests the log again, so
/// the delay bounds the time for which claims stay refused after the log has recovered.
const APPEND_BACKOFF: Duration = Duration::from_millis(200);
/// Longest wait for the response to an append. Its records may still reach the log later.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Limit on the records that a starting entry reads in excess of those that it needs.
const MAX_SURPLUS_RECORDS: u64 = 1000;
/// Tokens that an append without claims leaves in the bucket, so that a claim need not wait.
const RESERVED_CLAIM_TOKENS: f64 = 1.0;

/// Runs both tasks until the future is dropped.
pub async fn run(claims: Rc<Claims>, log: Rc<dyn Log>) {
    monoio::join!(follow_stream(&claims, &*log), append_records(&claims, &*log));
}

async fn follow_stream(claims: &Claims, log: &dyn Log) {
    let start = loop {
        match find_start(claims, log).await {
            Ok(start) => break start,
            Err(_) => monoio::time::sleep(READ_BACKOFF).await,
        }
    };
    claims.state.borrow_mut().table.start_at(start);
    loop {
        let next = claims.state.borrow().table.next_offset();
        // Claims are refused until a read reaches the end of the stream, so that read must not
        // wait for a record.
        let is_caught_up = claims.state.borrow().health.caught_up;
        let wait = if is_caught_up { READ_TIMEOUT } else { Duration::ZERO };
        match log.read(STREAM, next, wait).await {
            Ok(page) => claims.apply_page(&page),
            Err(error) => {
                log::debug!("cannot read the stream `{STREAM}`: {error}");
                claims.metrics.count("cornellink_claim_read_errors_total");
                monoio::time::sleep(READ_BACKOFF).await;
            }
        }
    }
}

/// Finds an offset whose record is older than any claim in force, by binary search. Without it,
/// the time to start would grow with the retention of the log.
async fn find_start(claims: &Claims, log: &dyn Log) -> Result<u64> {
    let page = log.read(STREAM, 0, Duration::ZERO).await?;
    let cutoff = unix_millis().saturating_sub(2 * claims.limits.hold_time().as_millis() as u64);
    // Records before `low` are too old to matter; those from `high` on may be in force.
    let (mut low, mut high) = (page.first, page.next);
    while high - low > MAX_SURPLUS_RECORDS {
        let middle = low + (high - low) / 2;
        let page = log.read(STREAM, middle, Duration::ZERO).await?;
        match page.records.first() {
            Some(record) if record.time < cutoff => low = record.offset.max(middle),
            _ => high = middle,
        }
    }
    Ok(low)
}

async fn append_records(claims: &Claims, log: &dyn Log) {
    let mut idle_deadline = claims.next_idle_deadline();
    loop {
        let wait = claims.append_delay(Instant::now());
        if !wait.is_zero() {
            let wait = wait.min(idle_deadline.saturating_duration_since(Instant::now()));
            let _ = monoio::time::timeout(wait, claims.append_requested.wait()).await;
            if Instant::now() >= idle_deadline {
                claims.enqueue_mark();
                idle_deadline = claims.next_idle_deadline();
            }
            continue;
        }
        let batch = claims.state.borrow_mut().outbox.take_batch();
        let sent = Instant::now();
        claims.append_read.clear();
        claims.state.borrow_mut().health.append_sent = Some(sent);
        let count = batch.len() as u64;
        let append = log.append(STREAM, batch);
        let confirmation = await_confirmation(claims, append, sent).await;
        claims.settle_append(confirmation, count, sent);
        idle_deadline = claims.next_idle_deadline();
        if claims.state.borrow().health.append_failed {
            monoio::time::sleep(APPEND_BACKOFF).await;
            claims.enqueue_mark();
        }
    }
}

/// Waits until an append has its response or one of its records has been read from the stream. An
/// error may stand for a lost response to an append that took effect, so the wait for a record
/// then goes on until `CLAIM_TIMEOUT`.
async fn await_confirmation(
    claims: &Claims,
    append: PlatformFuture<'_, u64>,
    sent: Instant,
) -> Option<Confirmation> {
    let response = monoio::select! {
        () = claims.append_read.wait() => return Some(Confirmation::Read),
        response = monoio::time::timeout(APPEND_TIMEOUT, append) => response,
    };
    if let Ok(Ok(offset)) = response {
        return Some(Confirmation::Response(offset));
    }
    let remaining = CLAIM_TIMEOUT.saturating_sub(sent.elapsed());
    let read = monoio::time::timeout(remaining, claims.append_read.wait()).await;
    read.is_ok().then_some(Confirmation::Read)
}

/// How an append was confirmed.
enum Confirmation {
    /// By its response, with the offset of its first record.
    Response(u64),
    /// By reading one of its records from the stream.
    Read,
}

impl Claims {
    fn apply_page(&self, page: &Page) {
        let events = {
            let mut state = self.state.borrow_mut();
            let events = state.table.apply(page);
            state.reset_pending |= events.is_none();
            let next = state.table.next_offset();
            state.health.record_read(next);
            let is_first = !state.health.caught_up;
            state.health.caught_up = next >= page.next;
            self.metrics.set_gauge("cornellink_claim_lag", page.next.saturating_sub(next) as f64);
            self.metrics.set_gauge("cornellink_claim_entries", state.table.len() as f64);
            let is_mark_due = events.is_none() || is_first && state.health.caught_up;
            drop(state);
            if is_mark_due {
                self.enqueue_mark();
            }
            events
        };
        self.handle_events(events.unwrap_or_default());
    }

    /// Queues a mark. It announces this process, tests whether the log confirms appends, and keeps
    /// the stream from becoming empty.
    fn enqueue_mark(&self) {
        let mut state = self.state.borrow_mut();
        let mark = state.table.new_mark(state.reset_pending, unix_millis());
        state.outbox.push_mark(mark);
        self.append_requested.notify();
    }

    /// Returns the time until the next append may be sent. If that is zero, a token has been
    /// taken.
    fn append_delay(&self, now: Instant) -> Duration {
        let state = &mut *self.state.borrow_mut();
        let reserve = match (state.outbox.has_claims(), state.outbox.has_records()) {
            (true, _) => 0.0,
            (false, true) => RESERVED_CLAIM_TOKENS,
            (false, false) => return Duration::MAX,
        };
        if state.bucket.try_take(reserve, now) {
            return Duration::ZERO;
        }
        state.bucket.time_until_available(reserve, now).max(Duration::from_millis(1))
    }

    fn settle_append(&self, confirmation: Option<Confirmation>, count: u64, sent: Instant) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        let next = state.table.next_offset();
        let end = confirmation.map(|confirmation| match confirmation {
            Confirmation::Response(offset) => offset + count,
            Confirmation::Read => next,
        });
        state.outbox.finish_append(end.is_some());
        state.health.record_append(end, sent, CLAIM_TIMEOUT, now);
        state.reset_pending &= end.is_none();
        state.health.record_read(next);
        self.metrics.record_append(end.is_some(), now - sent);
    }

    /// Time at which a mark is due if nothing is appended before.
    fn next_idle_deadline(&self) -> Instant {
        // The jitter keeps the entries from appending their marks at the same time.
        let jitter = 1.0 + rand::random::<f64>();
        Instant::now() + self.limits.idle_interval.mul_f64(jitter)
    }
}
