//! Granted tokens that no call has used yet, and refusals that still hold.

use std::collections::{HashMap, VecDeque};

use super::{WorkspaceId, TOKEN_VALIDITY};
use crate::prelude::*;

/// Longest time for which a refusal holds without another request to the owner.
pub const MAX_REFUSAL: Duration = Duration::from_millis(50);

/// Time after a refusal for which a workspace counts as one that uses all of its quota.
const LIMITED_MEMORY: Duration = Duration::from_secs(1);

/// Tokens that expire together.
#[derive(Clone, Copy, Debug)]
struct Batch {
    expires: Duration,
    count: u32,
}

/// A refusal of an owner.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    /// End of the time in which this entry itself refuses calls.
    until: Duration,
    /// Time at which a call would pass.
    passes: Duration,
}

/// Unused tokens and refusals by workspace.
#[derive(Debug, Default)]
pub struct Wallet {
    tokens: HashMap<WorkspaceId, VecDeque<Batch>>,
    refusals: HashMap<WorkspaceId, Refusal>,
    /// Time of the last refusal of each workspace.
    refused: HashMap<WorkspaceId, Duration>,
}

impl Wallet {
    /// Adds tokens of a request that was sent at `requested`.
    pub fn add(&mut self, id: WorkspaceId, count: u32, requested: Duration) {
        if count > 0 {
            let expires = requested + TOKEN_VALIDITY;
            self.tokens.entry(id).or_default().push_back(Batch { expires, count });
        }
    }

    /// Takes a token that has not expired.
    pub fn take(&mut self, id: WorkspaceId, now: Duration) -> bool {
        let Some(batches) = self.tokens.get_mut(&id) else { return false };
        batches.retain(|batch| batch.expires > now);
        let Some(first) = batches.front_mut() else {
            self.tokens.remove(&id);
            return false;
        };
        first.count -= 1;
        if first.count == 0 {
            batches.pop_front();
        }
        true
    }

    /// Remembers that no call passes for `wait`, for at most `MAX_REFUSAL`.
    pub fn refuse(&mut self, id: WorkspaceId, wait: Duration, now: Duration) {
        let until = now + wait.min(MAX_REFUSAL);
        self.refusals.insert(id, Refusal { until, passes: now + wait });
        self.refused.insert(id, now);
    }

    /// The time until a call would pass, while a refusal holds.
    pub fn refusal(&self, id: WorkspaceId, now: Duration) -> Option<Duration> {
        let refusal = self.refusals.get(&id).filter(|refusal| refusal.until > now)?;
        Some(refusal.passes.saturating_sub(now))
    }

    /// Whether calls of the workspace were refused lately.
    pub fn is_limited(&self, id: WorkspaceId, now: Duration) -> bool {
        self.refused.get(&id).is_some_and(|time| now.saturating_sub(*time) < LIMITED_MEMORY)
    }

    /// Removes what has expired.
    pub fn sweep(&mut self, now: Duration) {
        self.refusals.retain(|_, refusal| refusal.until > now);
        self.refused.retain(|_, time| now.saturating_sub(*time) < LIMITED_MEMORY);
        self.tokens.retain(|_, batches| batches.iter().any(|batch| batch.expires > now));
    }
}
