//! Which entries exist, from the platform's list, peers' hints and own connections.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::message::MemberRecord;
use crate::edge::vms::{Vm, VmRole};
use crate::prelude::*;

/// Most peers of the own failure domain that an entry connects to.
pub const DOMAIN_LINKS: usize = 16;
/// Time for which a peer's hint stands without the platform's list.
const HINT_TIME: Duration = Duration::from_secs(30);
/// Time for which an entry that does not answer is not picked for its failure domain.
const FAILURE_TIME: Duration = Duration::from_secs(10);
/// Failed connections in a row after which an entry counts as not answering.
const MAX_FAILURES: u32 = 2;
/// Most entries that are remembered.
const MAX_MEMBERS: usize = 4096;

/// What is known of one entry.
#[derive(Default)]
struct Member {
    domain: Option<String>,
    failed: Option<Instant>,
    failures: u32,
    hinted: Option<Instant>,
    is_leaving: bool,
    is_listed: bool,
    is_static: bool,
    name: Option<String>,
}

/// The entries by the address of their peer port.
pub struct Members {
    all: BTreeMap<SocketAddr, Member>,
    domain: String,
    own: SocketAddr,
}

impl Members {
    /// Creates the view of the entry at `own`; static peers are never forgotten.
    pub fn new(own: SocketAddr, domain: &str, known: &[SocketAddr]) -> Self {
        let mut members = Self { all: BTreeMap::new(), domain: domain.into(), own };
        for address in known.iter().filter(|address| **address != own) {
            members.all.entry(*address).or_default().is_static = true;
        }
        members
    }

    /// Takes over the platform's list, which may lag.
    pub fn list(&mut self, vms: &[Vm]) {
        for member in self.all.values_mut() {
            member.is_listed = false;
            member.is_leaving = false;
        }
        for vm in vms.iter().filter(|vm| vm.role == VmRole::Entry) {
            let Some(member) = self.member(vm.address) else { continue };
            member.is_listed = true;
            member.is_leaving = vm.draining;
            member.domain = Some(vm.domain.clone());
        }
    }

    /// Takes over what a peer says about an entry it is connected to.
    pub fn record(&mut self, record: &MemberRecord, now: Instant) {
        let Some(member) = self.member(record.address) else { return };
        member.hinted = Some(now);
        member.name = Some(record.name.clone());
        member.domain = Some(record.domain.clone());
    }

    /// Notes that a connection to an entry works, which outweighs the list.
    pub fn connected(&mut self, record: &MemberRecord, now: Instant) {
        self.record(record, now);
        if let Some(member) = self.all.get_mut(&record.address) {
            member.failures = 0;
            member.failed = None;
        }
    }

    /// Notes that a connection to an entry could not be opened.
    pub fn failed(&mut self, address: SocketAddr, now: Instant) {
        if let Some(member) = self.all.get_mut(&address) {
            member.failures += 1;
            member.failed = Some(now);
        }
    }

    /// Address of the entry called `name`.
    pub fn find(&self, name: &str) -> Option<SocketAddr> {
        let mut all = self.all.iter();
        let found = all.find(|(_, member)| member.name.as_deref() == Some(name));
        found.map(|(address, _)| *address)
    }

    /// Forgets entries that no source names any more.
    pub fn expire(&mut self, now: Instant) {
        self.all.retain(|_, member| {
            let is_hinted = is_recent(member.hinted, now, HINT_TIME);
            member.is_static || member.is_listed || is_hinted
        });
    }

    /// Number of known entries, this one included.
    pub fn len(&self) -> usize {
        self.all.len() + 1
    }

    /// Whether no other entry is known.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// The peers to connect to: those of the own failure domain up to a bound, and one for each
    /// other domain. Static peers whose domain is unknown are among them until they answer.
    pub fn wanted(&self, now: Instant) -> BTreeSet<SocketAddr> {
        let mut domains: BTreeMap<&str, Vec<(u64, SocketAddr)>> = BTreeMap::new();
        let mut wanted = BTreeSet::new();
        for (address, member) in &self.all {
            if member.is_leaving {
                continue;
            }
            let Some(domain) = &member.domain else {
                wanted.insert(*address);
                continue;
            };
            let is_own = *domain == self.domain;
            let is_failing =
                member.failures >= MAX_FAILURES && is_recent(member.failed, now, FAILURE_TIME);
            if is_own || !is_failing {
                let ranked = (rank(self.own, *address), *address);
                domains.entry(domain.as_str()).or_default().push(ranked);
            }
        }
        for (domain, mut ranked) in domains {
            let bound = if domain == self.domain { DOMAIN_LINKS } else { 1 };
            ranked.sort_unstable_by(|one, two| two.cmp(one));
            wanted.extend(ranked.iter().take(bound).map(|(_, address)| *address));
        }
        wanted
    }

    fn member(&mut self, address: SocketAddr) -> Option<&mut Member> {
        let is_full = self.all.len() >= MAX_MEMBERS && !self.all.contains_key(&address);
        if address == self.own || is_full {
            return None;
        }
        Some(self.all.entry(address).or_default())
    }
}

fn is_recent(time: Option<Instant>, now: Instant, span: Duration) -> bool {
    time.is_some_and(|time| now.saturating_duration_since(time) < span)
}

/// Rendezvous weight of a pair of entries, the same from both sides.
fn rank(one: SocketAddr, two: SocketAddr) -> u64 {
    let (low, high) = (one.min(two).to_string(), one.max(two).to_string());
    xxh3_64_with_seed(low.as_bytes(), xxh3_64_with_seed(high.as_bytes(), 0))
}
