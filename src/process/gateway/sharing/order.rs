//! The order in which the entries of a failure domain are asked to read for the others.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::edge::directory::Listing;
use crate::prelude::*;

/// Time for which an entry that failed is passed over.
const PAUSE: Duration = Duration::from_secs(5);

/// The entries of the own failure domain, and which of them failed.
#[derive(Debug, Default)]
pub struct Order {
    entries: Vec<Listing>,
    listed: bool,
    failed: HashMap<String, Instant>,
}

impl Order {
    /// Starts with addresses at which entries may be found while the list cannot be read.
    pub fn set_seeds(&mut self, own: &Listing, seeds: &[SocketAddr]) {
        let seeds = seeds.iter().filter(|seed| **seed != own.address);
        self.entries = seeds
            .map(|seed| Listing {
                name: seed.to_string(),
                domain: own.domain.clone(),
                address: *seed,
            })
            .collect();
        self.entries.push(own.clone());
    }

    /// Whether the list was read.
    pub fn is_listed(&self) -> bool {
        self.listed
    }

    /// Takes over a list; entries of other domains do not matter.
    pub fn set(&mut self, own: &Listing, listings: Vec<Listing>) {
        self.listed = true;
        self.entries = listings;
        self.entries.retain(|entry| entry.domain == own.domain && entry.name != own.name);
        self.entries.push(own.clone());
        self.entries.sort_by_key(|entry| (xxh3_64(entry.name.as_bytes()), entry.name.clone()));
    }

    /// The first entry that did not fail lately; the own one if there is no other.
    pub fn first(&self, now: Instant) -> Option<&Listing> {
        self.entries.iter().find(|entry| self.failed_until(entry).is_none_or(|until| now >= until))
    }

    /// When an entry before `name` may be tried again.
    pub fn next_try(&self, name: &str) -> Option<Instant> {
        let before = self.entries.iter().take_while(|entry| entry.name != name);
        before.filter_map(|entry| self.failed_until(entry)).min()
    }

    /// Takes note that an entry cannot be reached or knows less than this one.
    pub fn fail(&mut self, name: &str, now: Instant) {
        self.failed.insert(name.to_owned(), now);
        self.failed.retain(|_, failed| now.saturating_duration_since(*failed) < PAUSE);
    }

    fn failed_until(&self, entry: &Listing) -> Option<Instant> {
        self.failed.get(&entry.name).map(|failed| *failed + PAUSE)
    }
}
