//! Membership: the entries known from the platform's list of VMs, from peers and from own
//! connections.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::message::MemberRecord;
use crate::edge::vms::{Vm, VmRole};
use crate::prelude::*;

/// Maximum number of peers in the entry's failure domain.
pub const MAX_DOMAIN_LINKS: usize = 16;
/// Time for which an entry that a peer reported is kept without being on the platform's list.
const MEMBER_RECORD_LIFETIME: Duration = Duration::from_secs(30);
/// Time after the last failed connection for which a failing entry is not chosen as the one peer
/// in a remote failure domain.
const FAILURE_BACKOFF: Duration = Duration::from_secs(10);
/// Consecutive failed connections after which an entry counts as failing.
const MAX_FAILURES: u32 = 2;
/// Maximum number of entries kept.
const MAX_MEMBERS: usize = 4096;

/// State of one known entry.
#[derive(Default)]
struct Member {
    domain: Option<String>,
    failed_at: Option<Instant>,
    failures: u32,
    reported_at: Option<Instant>,
    is_draining: bool,
    is_listed: bool,
    is_static: bool,
    name: Option<String>,
}

/// The known entries by the address of their peer port.
pub struct Members {
    by_address: BTreeMap<SocketAddr, Member>,
    domain: String,
    own: SocketAddr,
}

impl Members {
    /// Creates the membership of the entry at `own`; static peers never expire.
    pub fn new(own: SocketAddr, domain: &str, static_peers: &[SocketAddr]) -> Self {
        let mut members = Self { by_address: BTreeMap::new(), domain: domain.into(), own };
        for address in static_peers.iter().filter(|address| **address != own) {
            members.by_address.entry(*address).or_default().is_static = true;
        }
        members
    }

    /// Applies the platform's list of VMs. The list may lag, so entries reported by peers are kept
    /// without it.
    pub fn apply_vms(&mut self, vms: &[Vm]) {
        for member in self.by_address.values_mut() {
            member.is_listed = false;
            member.is_draining = false;
        }
        for vm in vms.iter().filter(|vm| vm.role == VmRole::Entry) {
            let Some(member) = self.get_or_insert(vm.address) else { continue };
            member.is_listed = true;
            member.is_draining = vm.draining;
            member.domain = Some(vm.domain.clone());
        }
    }

    /// Records what a peer reported about an entry it is connected to.
    pub fn record(&mut self, record: &MemberRecord, now: Instant) {
        let Some(member) = self.get_or_insert(record.address) else { return };
        member.reported_at = Some(now);
        member.name = Some(record.name.clone());
        member.domain = Some(record.domain.clone());
    }

    /// Records a working connection to an entry, which counts as a report of the entry and resets
    /// its failures.
    pub fn record_connected(&mut self, record: &MemberRecord, now: Instant) {
        self.record(record, now);
        if let Some(member) = self.by_address.get_mut(&record.address) {
            member.failures = 0;
            member.failed_at = None;
        }
    }

    /// Records that a connection to an entry could not be opened.
    pub fn record_failure(&mut self, address: SocketAddr, now: Instant) {
        if let Some(member) = self.by_address.get_mut(&address) {
            member.failures += 1;
            member.failed_at = Some(now);
        }
    }

    /// Address of the entry called `name`.
    pub fn find(&self, name: &str) -> Option<SocketAddr> {
        let mut members = self.by_address.iter();
        let found = members.find(|(_, member)| member.name.as_deref() == Some(name));
        found.map(|(address, _)| *address)
    }

    /// Removes entries that are not static, not listed and not reported recently.
    pub fn expire(&mut self, now: Instant) {
        self.by_address.retain(|_, member| {
            let is_reported = is_recent(member.reported_at, now, MEMBER_RECORD_LIFETIME);
            member.is_static || member.is_listed || is_reported
        });
    }

    /// Number of known entries, this one included.
    pub fn len(&self) -> usize {
        self.by_address.len() + 1
    }

    /// Whether no other entry is known.
    pub fn is_empty(&self) -> bool {
        self.by_address.is_empty()
    }

    /// The peers to connect to: those of the entry's failure domain up to a maximum, and one of
    /// each other domain. Static peers are included until their domain is known.
    pub fn desired_peers(&self, now: Instant) -> BTreeSet<SocketAddr> {
        let mut domains: BTreeMap<&str, Vec<(u64, SocketAddr)>> = BTreeMap::new();
        let mut desired = BTreeSet::new();
        for (address, member) in &self.by_address {
            if member.is_draining {
                continue;
            }
            let Some(domain) = &member.domain else {
                desired.insert(*address);
                continue;
            };
            let is_local = *domain == self.domain;
            let is_failing = member.failures >= MAX_FAILURES
                && is_recent(member.failed_at, now, FAILURE_BACKOFF);
            if is_local || !is_failing {
                let ranked = (rank(self.own, *address), *address);
                domains.entry(domain.as_str()).or_default().push(ranked);
            }
        }
        for (domain, mut ranked) in domains {
            let max_links = if domain == self.domain { MAX_DOMAIN_LINKS } else { 1 };
            ranked.sort_unstable_by(|one, two| two.cmp(one));
            desired.extend(ranked.iter().take(max_links).map(|(_, address)| *address));
        }
        desired
    }

    fn get_or_insert(&mut self, address: SocketAddr) -> Option<&mut Member> {
        let is_full =
            self.by_address.len() >= MAX_MEMBERS && !self.by_address.contains_key(&address);
        if address == self.own || is_full {
            return None;
        }
        Some(self.by_address.entry(address).or_default())
    }
}

fn is_recent(time: Option<Instant>, now: Instant, span: Duration) -> bool {
    time.is_some_and(|time| now.saturating_duration_since(time) < span)
}

/// Rendezvous hash of a pair of entries, the same on both sides.
fn rank(one: SocketAddr, two: SocketAddr) -> u64 {
    let (low, high) = (one.min(two).to_string(), one.max(two).to_string());
    xxh3_64_with_seed(low.as_bytes(), xxh3_64_with_seed(high.as_bytes(), 0))
}
