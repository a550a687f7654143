//! How an entry asks the owners of shards for tokens.

use super::node::{Datagram, Inquiry, Node, HANDOVER_INTERVAL};
use super::owner_order::{EntryIndex, ShardOwner, Stamp};
use super::shard::{Exchange, ExchangeStep, SentRequest, RETRY_INTERVAL};
use super::verdict::Verdict;
use super::wire::{Answered, Reply, Request, StampEcho};
use super::{whole_micros, MAX_SPAN};
use crate::prelude::*;

/// Age at which an owner's stamp is renewed, although no tokens are needed.
const STAMP_RENEWAL: Duration = Duration::from_millis(500);
/// Requests in a row that an owner may refuse as too old before it is left out.
const MAX_REJECTIONS: u32 = 3;

/// What a request is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    /// To get tokens or a new stamp.
    Exchange,
    /// To hand over refill only.
    Handover,
}

impl Node {
    /// Asks the owner of a shard for the tokens of the waiting calls and for its stamp.
    pub(super) fn start_exchange(&mut self, index: usize, now: Duration) {
        match self.owner(index) {
            ShardOwner::Own => self.decide_waiters(index, now),
            ShardOwner::Other(owner) => {
                let exchange =
                    Exchange { owner, sent: Vec::new(), next_retry: now + RETRY_INTERVAL };
                self.shards[index].exchange = Some(exchange);
                self.send(index, owner, Purpose::Exchange, now);
            }
        }
    }

    /// Repeats an unanswered request, or leaves the owner out.
    pub(super) fn step_exchange(&mut self, index: usize, now: Duration) {
        let shard = &mut self.shards[index];
        let Some(exchange) = &mut shard.exchange else {
            if !shard.waiters.is_empty() {
                self.start_exchange(index, now);
            }
            return;
        };
        match exchange.step(now) {
            ExchangeStep::Wait => {}
            ExchangeStep::Repeat => {
                let owner = exchange.owner;
                self.send(index, owner, Purpose::Exchange, now);
            }
            ExchangeStep::Fail(owner) => self.leave_out(index, owner, now),
        }
    }

    fn leave_out(&mut self, index: usize, owner: EntryIndex, now: Duration) {
        self.order.record_failure(owner, now);
        let shard = &mut self.shards[index];
        (shard.exchange, shard.rejections) = (None, 0);
        if !shard.waiters.is_empty() {
            self.start_exchange(index, now);
        }
    }

    /// Hands the accrued refill over if no request has done so for the interval.
    pub(super) fn hand_over(&mut self, index: usize, now: Duration) {
        if now < self.shards[index].next_handover {
            return;
        }
        self.shards[index].next_handover = now + HANDOVER_INTERVAL;
        if let Some(entry) = self.order.take_retry(index as u32, now) {
            self.inquire(index, entry, now);
        }
        let ShardOwner::Other(owner) = self.owner(index) else {
            return self.deposit_own(index, now);
        };
        let is_open = self.shards[index].exchange.is_some();
        match self.order.stamp(owner) {
            // The repeated request carries the refill.
            Some(_) if is_open => {}
            Some(stamp) if now.saturating_sub(stamp.received) < STAMP_RENEWAL => {
                self.send(index, owner, Purpose::Handover, now);
            }
            Some(_) => self.start_exchange(index, now),
            None => {
                if self.shards[index].span.accrued(now) >= MAX_SPAN {
                    self.deposit_own(index, now);
                }
                self.shards[index].next_handover = now + RETRY_INTERVAL;
                if !is_open {
                    self.start_exchange(index, now);
                }
            }
        }
    }

    /// Takes the reply of an owner. Only the entry that was asked may reply, since a reply creates
    /// tokens here.
    pub fn receive_reply(&mut self, reply: &Reply, from: SocketAddr, now: Duration) {
        let stamp = Stamp { stamp: reply.stamp, received: now };
        if let Some(owner) = self.inquiries.get(&reply.number).map(|inquiry| inquiry.owner) {
            if self.order.address(owner) == Some(from) {
                self.inquiries.remove(&reply.number);
                self.order.record_response(owner, stamp);
            }
            return;
        }
        let Some((index, owner, sent)) = self.close_exchange(reply.number, from) else { return };
        self.order.record_response(owner, stamp);
        match (reply.accepted, sent.had_stamp) {
            (true, _) => self.shards[index].rejections = 0,
            // The first contact with an owner only yields its stamp. The refill follows at once.
            (false, false) => self.shards[index].next_handover = now,
            (false, true) => self.shards[index].rejections += 1,
        }
        if self.shards[index].rejections > MAX_REJECTIONS {
            return self.leave_out(index, owner, now);
        }
        for answered in &reply.grants {
            self.apply_grant(index, answered, sent.time, now);
        }
        if !self.shards[index].waiters.is_empty() {
            self.start_exchange(index, now);
        }
    }

    /// Ends the exchange that has an open request with this number to this address. A later reply to
    /// another request of it is ignored.
    fn close_exchange(
        &mut self,
        number: u64,
        from: SocketAddr,
    ) -> Option<(usize, EntryIndex, SentRequest)> {
        for (index, shard) in self.shards.iter_mut().enumerate() {
            let Some(exchange) = &shard.exchange else { continue };
            if self.order.address(exchange.owner) != Some(from) {
                continue;
            }
            let found = exchange.sent.iter().find(|sent| sent.number == number).copied();
            if let Some(sent) = found {
                let owner = exchange.owner;
                shard.exchange = None;
                return Some((index, owner, sent));
            }
        }
        None
    }

    /// Gives granted tokens to the waiting calls of a workspace, and refuses the others if the owner
    /// has no more.
    fn apply_grant(&mut self, index: usize, answered: &Answered, sent: Duration, now: Duration) {
        let workspace = answered.workspace;
        let Some(grant) = answered.grant else {
            return self.decide_workspace(index, workspace, now);
        };
        self.wallet.add(workspace, grant.granted, sent);
        let waiters = std::mem::take(&mut self.shards[index].waiters);
        for waiter in waiters {
            if waiter.workspace != workspace {
                self.shards[index].waiters.push_back(waiter);
            } else if self.wallet.take(workspace, now) {
                self.decide(waiter.ticket, Verdict::Admitted);
            } else if grant.wait.is_zero() {
                // It arrived after the request, or the tokens have expired.
                self.shards[index].waiters.push_back(waiter);
            } else {
                self.wallet.refuse(workspace, grant.wait, now);
                self.decide(waiter.ticket, Verdict::Refused(grant.wait));
            }
        }
    }

    /// Decides about the waiting calls of a workspace by this entry's own share.
    fn decide_workspace(&mut self, index: usize, workspace: super::WorkspaceId, now: Duration) {
        let waiters = std::mem::take(&mut self.shards[index].waiters);
        for waiter in waiters {
            if waiter.workspace != workspace {
                self.shards[index].waiters.push_back(waiter);
                continue;
            }
            let verdict = self.use_own_share(index, workspace, now);
            self.decide(waiter.ticket, verdict);
        }
    }

    /// Decides about all waiting calls of a shard, whose owner is this entry.
    fn decide_waiters(&mut self, index: usize, now: Duration) {
        for waiter in std::mem::take(&mut self.shards[index].waiters) {
            let verdict = self.use_own_share(index, waiter.workspace, now);
            self.decide(waiter.ticket, verdict);
        }
    }

    /// Asks an entry that was left out whether it responds again.
    fn inquire(&mut self, index: usize, entry: EntryIndex, now: Duration) {
        let request = self.new_request(index, None, now);
        self.inquiries.insert(request.number, Inquiry { owner: entry, sent: now });
        self.post(entry, &request);
    }

    /// Sends a request with the refill accrued so far. An owner without a stamp would not accept the
    /// refill, so it gets none.
    fn send(&mut self, index: usize, owner: EntryIndex, purpose: Purpose, now: Duration) {
        let stamp = self.order.stamp(owner);
        let mut request = self.new_request(index, stamp, now);
        request.wants_reply = purpose == Purpose::Exchange;
        if stamp.is_some() {
            let shard = &mut self.shards[index];
            request.span = shard.span.take(now);
            shard.next_handover = now + HANDOVER_INTERVAL;
        }
        if let (Purpose::Exchange, Some(exchange)) = (purpose, &mut self.shards[index].exchange) {
            let had_stamp = stamp.is_some();
            exchange.sent.push(SentRequest { number: request.number, time: now, had_stamp });
            if had_stamp {
                request.asks = self.shards[index].asks();
            }
        }
        self.post(owner, &request);
    }

    fn new_request(&mut self, index: usize, stamp: Option<Stamp>, now: Duration) -> Request {
        self.next_number += 1;
        let echo = stamp.map(|Stamp { stamp, received }| StampEcho {
            stamp,
            held_us: whole_micros(now.saturating_sub(received)),
        });
        Request {
            sender: self.id,
            number: self.next_number,
            shard: self.shard_key(index),
            entries: self.refill_divisor().unwrap_or_default(),
            span: Duration::ZERO,
            echo,
            wants_reply: true,
            asks: Vec::new(),
        }
    }

    fn post(&mut self, entry: EntryIndex, request: &Request) {
        let Some(address) = self.order.address(entry) else { return };
        self.outbox.push(Datagram { address, message: request.encode() });
    }
}
