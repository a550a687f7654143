//! Names of claims.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_128, Xxh3Default};

use crate::prelude::*;

/// An idempotency key within its workspace and service.
///
/// The scope is hashed on its own, so that no workspace can choose a key that collides with a
/// key of another workspace.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Key {
    scope: u64,
    key: u128,
}

impl Key {
    /// The key that a caller of `workspace` used for a call of `service`.
    pub fn new(workspace: &str, service: &str, key: &[u8]) -> Self {
        let mut scope = Xxh3Default::new();
        update(&mut scope, workspace.as_bytes());
        update(&mut scope, service.as_bytes());
        Self { scope: scope.digest(), key: xxh3_128(key) }
    }
}

/// A digest of what a call asks for, to tell a repeated call from another call with its key.
pub fn digest(call: &Call) -> u64 {
    let path = call.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut hash = Xxh3Default::new();
    update(&mut hash, call.method.as_str().as_bytes());
    update(&mut hash, path.as_bytes());
    update(&mut hash, &call.body);
    hash.digest()
}

fn update(hash: &mut Xxh3Default, part: &[u8]) {
    hash.update(&(part.len() as u64).to_le_bytes());
    hash.update(part);
}
