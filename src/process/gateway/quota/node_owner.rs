//! How an entry answers requests for tokens of a shard.

use super::node::{Datagram, Node};
use super::owner_order::ShardOwner;
use super::pool::Pool;
use super::wire::{Answered, Ask, Reply, Request, ShardKey, StampEcho};
use super::{whole_micros, MAX_TRANSIT};
use crate::prelude::*;

/// Most pools that an entry keeps.
const MAX_POOLS: usize = 64;
/// Longest time for which a sender may have held a stamp. The clocks of two VMs run apart by less
/// than `MAX_CLOCK_ERROR_US` in it.
const MAX_HELD_US: u64 = 10_000_000;
const MAX_CLOCK_ERROR_US: i64 = 5_000;

impl Node {
    /// Takes a request of another entry, and queues the reply if there is one.
    pub fn receive_request(&mut self, request: &Request, from: SocketAddr, now: Duration) {
        if self.pools.len() >= MAX_POOLS && !self.pools.contains_key(&request.shard) {
            self.stats.dropped += 1;
            return;
        }
        let accepted = request.echo.is_some_and(|echo| self.is_recent(echo, now));
        let mut grants = Vec::new();
        if accepted {
            if !self.accept(request, now) {
                return;
            }
            grants = request.asks.iter().map(|ask| self.answer(request.shard, ask, now)).collect();
        }
        if accepted && !request.wants_reply {
            return;
        }
        let reply = Reply { number: request.number, stamp: self.stamp(now), accepted, grants };
        self.outbox.push(Datagram { address: from, message: reply.encode() });
    }

    /// This process's clock in microseconds.
    fn stamp(&self, now: Duration) -> u64 {
        self.id.wrapping_add(whole_micros(now))
    }

    /// Whether a request that repeats a stamp of this process was on its way for at most
    /// `MAX_TRANSIT`.
    fn is_recent(&self, echo: StampEcho, now: Duration) -> bool {
        if echo.held_us > MAX_HELD_US {
            return false;
        }
        let since_stamp = self.stamp(now).wrapping_sub(echo.stamp);
        let transit = since_stamp.wrapping_sub(echo.held_us) as i64;
        (-MAX_CLOCK_ERROR_US..=MAX_TRANSIT.as_micros() as i64).contains(&transit)
    }

    /// Adds the refill of a request to the pool; false for a duplicate.
    fn accept(&mut self, request: &Request, now: Duration) -> bool {
        let pool = self.pools.entry(request.shard).or_insert_with(|| Pool::new(now));
        if !pool.is_new(request.sender, request.number, now) {
            return false;
        }
        if request.entries > 0 {
            // The smaller part counts: the sender or this entry may not know all entries yet.
            let entries = request.entries.max(self.entries.unwrap_or_default());
            pool.deposit(request.span, entries, now);
        }
        let index = request.shard.index as usize;
        let is_own = request.shard.count as usize == self.shards.len()
            && self.owner(index) == ShardOwner::Own;
        if is_own && !request.asks.is_empty() {
            self.deposit_own(index, now);
        }
        true
    }

    fn answer(&mut self, shard: ShardKey, ask: &Ask, now: Duration) -> Answered {
        let limit = self.limits.get(&ask.workspace);
        let grant = limit.and_then(|limit| {
            let pool = self.pools.get_mut(&shard)?;
            Some(pool.take(ask.workspace, ask.count, limit, now))
        });
        Answered { workspace: ask.workspace, grant }
    }
}
