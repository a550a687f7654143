//! Keys of claims and digests of calls.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_128, Xxh3Default};

use crate::prelude::*;

/// An idempotency key within its workspace and service.
///
/// The scope has a hash of its own, so that no workspace can craft a key that collides with a key
/// of another workspace.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Key {
    scope: u64,
    key: u128,
}

impl Key {
    /// Creates the key for a call of `service` in `workspace` from the caller's idempotency key.
    pub fn new(workspace: &str, service: &str, key: &[u8]) -> Self {
        let mut scope = Xxh3Default::new();
        hash_part(&mut scope, workspace.as_bytes());
        hash_part(&mut scope, service.as_bytes());
        Self { scope: scope.digest(), key: xxh3_128(key) }
    }
}

/// A digest of method, path and body, to distinguish a retry from another call with the same key.
pub fn digest(call: &Call) -> u64 {
    let path = call.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut hash = Xxh3Default::new();
    hash_part(&mut hash, call.method.as_str().as_bytes());
    hash_part(&mut hash, path.as_bytes());
    hash_part(&mut hash, &call.body);
    hash.digest()
}

/// Hashes a part with its length first, so that adjacent parts cannot be confused.
fn hash_part(hash: &mut Xxh3Default, part: &[u8]) {
    hash.update(&(part.len() as u64).to_le_bytes());
    hash.update(part);
}
