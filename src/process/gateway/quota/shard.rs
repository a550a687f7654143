//! What an entry keeps of one shard to ask its owner for tokens.

use std::collections::VecDeque;

use super::owner_order::EntryIndex;
use super::span::Span;
use super::wire::{Ask, MAX_ASKS};
use super::{Ticket, WorkspaceId};
use crate::prelude::*;

/// Time after which a request without a reply is sent again.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(40);
/// Requests without a reply after which an owner is left out.
pub const MAX_TRIES: usize = 3;
/// A timer that fires later than this shows that this process was paused. Replies may then wait in
/// its socket, and the owner is not at fault.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(20);

/// A call that waits for a token.
#[derive(Clone, Copy, Debug)]
pub struct Waiter {
    pub ticket: Ticket,
    pub workspace: WorkspaceId,
    /// Time at which it uses this entry's own share instead.
    pub deadline: Duration,
}

/// A request that was sent and not answered.
#[derive(Clone, Copy, Debug)]
pub struct SentRequest {
    pub number: u64,
    pub time: Duration,
    pub had_stamp: bool,
}

/// The open requests to an owner.
#[derive(Clone, Debug)]
pub struct Exchange {
    pub owner: EntryIndex,
    pub sent: Vec<SentRequest>,
    pub next_retry: Duration,
}

/// What to do about an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeStep {
    Wait,
    Repeat,
    Fail(EntryIndex),
}

impl Exchange {
    /// Decides what to do at `now`.
    pub fn step(&mut self, now: Duration) -> ExchangeStep {
        if now < self.next_retry {
            return ExchangeStep::Wait;
        }
        let is_late = now - self.next_retry > MAX_TIMER_DELAY;
        self.next_retry = now + RETRY_INTERVAL;
        match (self.sent.len() < MAX_TRIES, is_late) {
            (true, _) => ExchangeStep::Repeat,
            (false, true) => ExchangeStep::Wait,
            (false, false) => ExchangeStep::Fail(self.owner),
        }
    }
}

/// State of a shard at an entry that uses its tokens.
#[derive(Debug)]
pub struct Shard {
    pub span: Span,
    pub exchange: Option<Exchange>,
    pub waiters: VecDeque<Waiter>,
    pub next_handover: Duration,
    /// Requests in a row that the owner did not accept although they carried its stamp.
    pub rejections: u32,
}

impl Shard {
    pub fn new(now: Duration, next_handover: Duration) -> Self {
        Self {
            span: Span::starting(now),
            exchange: None,
            waiters: VecDeque::new(),
            next_handover,
            rejections: 0,
        }
    }

    /// The waiting calls by workspace, in the order of arrival.
    pub fn asks(&self) -> Vec<Ask> {
        let mut asks: Vec<Ask> = Vec::new();
        for waiter in &self.waiters {
            let known = asks.iter().position(|ask| ask.workspace == waiter.workspace);
            match known {
                Some(position) => asks[position].count += 1,
                None if asks.len() < MAX_ASKS => {
                    asks.push(Ask { workspace: waiter.workspace, count: 1 })
                }
                None => {}
            }
        }
        asks
    }

    /// The time at which something must be done.
    pub fn next_due(&self) -> Duration {
        if self.exchange.is_none() && !self.waiters.is_empty() {
            return Duration::ZERO;
        }
        let retry = self.exchange.as_ref().map(|exchange| exchange.next_retry);
        let waiter = self.waiters.front().map(|waiter| waiter.deadline);
        [retry, waiter].into_iter().flatten().fold(self.next_handover, Duration::min)
    }
}
