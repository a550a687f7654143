//! Complete responses that an entry keeps for duplicates.

use std::collections::{HashMap, VecDeque};

use super::key::Key;
use crate::prelude::*;

/// Memory counted for a response besides its body and headers, in bytes.
const OVERHEAD: usize = 256;

struct Response {
    digest: u64,
    answer: Answer,
    at: Instant,
}

/// Responses by key, bounded by bytes and by age; the oldest go first.
pub struct ResponseCache {
    bytes: usize,
    limit: usize,
    age: Duration,
    order: VecDeque<Key>,
    responses: HashMap<Key, Response>,
}

impl ResponseCache {
    /// Creates an empty store of at most `limit` bytes.
    pub fn new(limit: usize, age: Duration) -> Self {
        Self { bytes: 0, limit, age, order: VecDeque::new(), responses: HashMap::new() }
    }

    /// Bytes in use.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The response to the call with this key and its digest.
    pub fn get(&self, key: &Key, now: Instant) -> Option<(u64, &Answer)> {
        let response = self.responses.get(key)?;
        let is_young = now.saturating_duration_since(response.at) < self.age;
        is_young.then_some((response.digest, &response.answer))
    }

    /// Keeps a response unless it is larger than the whole store.
    pub fn insert(&mut self, key: Key, digest: u64, answer: Answer, now: Instant) {
        let size = size(&answer);
        if size > self.limit || self.responses.contains_key(&key) {
            return;
        }
        while self.bytes + size > self.limit || self.is_oldest_expired(now) {
            self.evict();
        }
        self.bytes += size;
        self.order.push_back(key);
        self.responses.insert(key, Response { digest, answer, at: now });
    }

    fn is_oldest_expired(&self, now: Instant) -> bool {
        let oldest = self.order.front().and_then(|key| self.responses.get(key));
        oldest.is_some_and(|response| now.saturating_duration_since(response.at) >= self.age)
    }

    fn evict(&mut self) {
        let Some(key) = self.order.pop_front() else { return };
        if let Some(response) = self.responses.remove(&key) {
            self.bytes -= size(&response.answer);
        }
    }
}

fn size(answer: &Answer) -> usize {
    let headers = answer.headers.iter();
    let headers: usize = headers.map(|(name, value)| name.as_str().len() + value.len()).sum();
    OVERHEAD + headers + answer.body.len()
}
