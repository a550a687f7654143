//! Cache of complete responses, from which duplicates are answered.

use std::collections::{HashMap, VecDeque};

use super::key::Key;
use crate::prelude::*;

/// Memory counted for a response in addition to its body and headers.
const RESPONSE_OVERHEAD_BYTES: usize = 256;

struct CachedResponse {
    digest: u64,
    response: Answer,
    stored_at: Instant,
}

/// Responses by key, bounded by bytes and by age; the oldest are evicted first.
pub struct ResponseCache {
    bytes: usize,
    max_bytes: usize,
    max_age: Duration,
    insertion_order: VecDeque<Key>,
    responses: HashMap<Key, CachedResponse>,
}

impl ResponseCache {
    /// Creates an empty cache of at most `max_bytes` whose responses expire at `max_age`.
    pub fn new(max_bytes: usize, max_age: Duration) -> Self {
        Self {
            bytes: 0,
            max_bytes,
            max_age,
            insertion_order: VecDeque::new(),
            responses: HashMap::new(),
        }
    }

    /// Bytes in use.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The response of the call with this key, and the digest of that call.
    pub fn get(&self, key: &Key, now: Instant) -> Option<(u64, &Answer)> {
        let cached = self.responses.get(key)?;
        let is_fresh = now.saturating_duration_since(cached.stored_at) < self.max_age;
        is_fresh.then_some((cached.digest, &cached.response))
    }

    /// Caches a response unless it is larger than the whole cache or the key already has one.
    pub fn insert(&mut self, key: Key, digest: u64, response: Answer, now: Instant) {
        let size = response_bytes(&response);
        if size > self.max_bytes || self.responses.contains_key(&key) {
            return;
        }
        while self.bytes + size > self.max_bytes || self.is_oldest_expired(now) {
            self.evict_oldest();
        }
        self.bytes += size;
        self.insertion_order.push_back(key);
        self.responses.insert(key, CachedResponse { digest, response, stored_at: now });
    }

    fn is_oldest_expired(&self, now: Instant) -> bool {
        let oldest = self.insertion_order.front().and_then(|key| self.responses.get(key));
        oldest.is_some_and(|cached| now.saturating_duration_since(cached.stored_at) >= self.max_age)
    }

    fn evict_oldest(&mut self) {
        let Some(key) = self.insertion_order.pop_front() else { return };
        if let Some(cached) = self.responses.remove(&key) {
            self.bytes -= response_bytes(&cached.response);
        }
    }
}

fn response_bytes(response: &Answer) -> usize {
    let headers = response.headers.iter();
    let headers: usize = headers.map(|(name, value)| name.as_str().len() + value.len()).sum();
    RESPONSE_OVERHEAD_BYTES + headers + response.body.len()
}
