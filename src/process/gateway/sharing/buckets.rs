//! Buckets of the target registry. Two entries compare a digest of each bucket to find the targets
//! in which their registries differ.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::version::registration::{Registration, TargetState};

/// Number of buckets; a set of them fits into 64 bits.
pub const COUNT: usize = 64;

/// A digest of each bucket; it depends on the targets and their states, not on their order.
pub type Digests = [u64; COUNT];

/// The bucket of a target.
pub fn index(id: &str) -> usize {
    (xxh3_64(id.as_bytes()) % COUNT as u64) as usize
}

/// The digest of one target. It excludes the sequence number, which may differ between entries: a
/// report that only repeats the known state is not sent to subscribers.
pub fn target_digest(registration: &Registration) -> u64 {
    let state = match registration.state {
        TargetState::Ready => 0,
        TargetState::Draining => 1,
    };
    let seed = xxh3_64_with_seed(&[state], registration.born);
    xxh3_64_with_seed(registration.id.as_bytes(), seed)
}

/// Adds a target to the digests, or removes it if they include it.
pub fn toggle(digests: &mut Digests, registration: &Registration) {
    digests[index(&registration.id)] ^= target_digest(registration);
}

/// The digests of all buckets, combined by XOR.
pub fn combined(digests: &Digests) -> u64 {
    digests.iter().fold(0, |combined, digest| combined ^ digest)
}

/// A set of buckets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Buckets(pub u64);

impl Buckets {
    pub const ALL: Self = Self(u64::MAX);
    pub const NONE: Self = Self(0);

    /// The buckets in which two registries differ.
    pub fn differing(left: &Digests, right: &Digests) -> Self {
        let differing =
            left.iter().zip(right).enumerate().filter(|(_, (left, right))| left != right);
        Self(differing.fold(0, |set, (bucket, _)| set | 1 << bucket))
    }

    /// Whether the set holds a target's bucket.
    pub fn contains(self, id: &str) -> bool {
        self.0 >> index(id) & 1 == 1
    }

    pub fn is_empty(self) -> bool {
        self == Self::NONE
    }
}
