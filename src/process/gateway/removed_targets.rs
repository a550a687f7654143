//! What is kept of targets after their removal from the registry.

use std::collections::{HashMap, VecDeque};

use super::availability::Availability;
use crate::edge::position::Position;
use crate::prelude::*;
use crate::version::registration::Registration;

/// Most targets that are kept; the ones that were removed first are dropped.
const MAX_TARGETS: usize = 8192;

/// Why a target was removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RemovalCause {
    /// The directory removed its registration, in the change at this position if it is known.
    Removed(Option<Position>),
    /// Its registration was replaced by an unusable one, perhaps by another writer. The target may
    /// repeat its own.
    Unusable,
}

#[derive(Clone, Copy, Debug)]
struct RemovedTarget {
    /// Lowest order of a registration that brings the target back.
    min_order: (u64, u64),
    /// Position of the removal; a registration from a lower one is older, whatever its order.
    position: Option<Position>,
    availability: Availability,
}

/// The last orders of removed targets, by which registrations that arrive late are recognized, and
/// what these targets said in their responses.
#[derive(Debug, Default)]
pub struct RemovedTargets {
    targets: HashMap<Rc<str>, RemovedTarget>,
    /// The ids in the order of their first removal.
    ids: VecDeque<Rc<str>>,
}

impl RemovedTargets {
    /// Keeps a target that was removed.
    pub fn insert(&mut self, last: &Registration, state: Availability, cause: RemovalCause) {
        let (born, sequence) = last.order();
        let (min_order, position) = match cause {
            RemovalCause::Removed(position) => ((born, sequence.saturating_add(1)), position),
            RemovalCause::Unusable => ((born, sequence), None),
        };
        let earlier = self.targets.get(&last.id).and_then(|removed| removed.position);
        let position = position.max(earlier);
        let removed = RemovedTarget { min_order, position, availability: state };
        if self.targets.insert(last.id.clone(), removed).is_some() {
            return;
        }
        self.ids.push_back(last.id.clone());
        if self.ids.len() > MAX_TARGETS {
            if let Some(oldest) = self.ids.pop_front() {
                self.targets.remove(&oldest);
            }
        }
    }

    /// Whether a registration, read at `position`, is older than the removal of its target.
    pub fn is_outdated(&self, registration: &Registration, position: Position) -> bool {
        let removed = self.targets.get(&registration.id);
        removed.is_some_and(|removed| {
            registration.order() < removed.min_order || Some(position) < removed.position
        })
    }

    /// What the incarnation of the registration has said before it was removed.
    pub fn availability(&self, registration: &Registration) -> Availability {
        let removed = self.targets.get(&registration.id);
        removed
            .filter(|removed| removed.min_order.0 == registration.born)
            .map_or_else(Availability::default, |removed| removed.availability)
    }
}
