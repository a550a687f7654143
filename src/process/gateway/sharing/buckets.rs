//! Parts of a roster, by which two entries find out where their knowledge differs.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::version::registration::{Registration, TargetState};

/// Number of parts.
pub const COUNT: usize = 64;

/// A digest of each part; it depends on the targets and their states, not on their order.
pub type Digests = [u64; COUNT];

/// The part of a target.
pub fn of(id: &str) -> usize {
    (xxh3_64(id.as_bytes()) % COUNT as u64) as usize
}

/// The digest of one target. Reports that only repeat what is known are not passed on, so their
/// number does not count.
pub fn digest(registration: &Registration) -> u64 {
    let state = match registration.state {
        TargetState::Ready => 0,
        TargetState::Draining => 1,
    };
    let seed = xxh3_64_with_seed(&[state], registration.born);
    xxh3_64_with_seed(registration.id.as_bytes(), seed)
}

/// Takes a target into the digests, or out of them again.
pub fn toggle(digests: &mut Digests, registration: &Registration) {
    digests[of(&registration.id)] ^= digest(registration);
}

/// A digest of all parts.
pub fn total(digests: &Digests) -> u64 {
    digests.iter().fold(0, |total, digest| total ^ digest)
}

/// A set of parts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Buckets(pub u64);

impl Buckets {
    /// All parts.
    pub const ALL: Self = Self(u64::MAX);
    /// No part.
    pub const NONE: Self = Self(0);

    /// The parts in which two rosters differ.
    pub fn differing(left: &Digests, right: &Digests) -> Self {
        let bits = left.iter().zip(right).enumerate().filter(|(_, (left, right))| left != right);
        Self(bits.fold(0, |set, (part, _)| set | 1 << part))
    }

    /// Whether the set holds a target's part.
    pub fn contains(self, id: &str) -> bool {
        self.0 >> of(id) & 1 == 1
    }

    /// Whether the set is empty.
    pub fn is_empty(self) -> bool {
        self == Self::NONE
    }
}
