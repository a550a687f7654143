//! The state of a key at an entry.

use super::key::Key;
use super::pending_call::PendingCall;
use super::record::{CallResult, Holder};
use super::{unix_millis, Claims};
use crate::prelude::*;

/// The state of a key at an entry, which also determines the reply to a peer's claim query.
pub enum Lookup {
    /// The call ended and its result is in the log.
    Ended(CallResult),
    /// No claim holds the key.
    Free,
    /// The call's deadline has passed or the holder's process was replaced, and the log has no
    /// result.
    OutcomeUnknown,
    /// Another entry holds the claim, and its call can still be running.
    HeldByPeer(Rc<Holder>),
    /// The call ended, and this is its complete response from the cache.
    Cached(Answer),
    /// The key belongs to a call with another method, path or body.
    Mismatch,
    /// This entry claims the key or runs its call, and the pending call will have the response.
    /// `None`: the call has ended, its response is not cached and its result not yet in the table.
    Running(Option<Rc<PendingCall>>),
}

impl Claims {
    /// The holder of the claim of a key, if it is not this process.
    pub fn other_holder(&self, key: &Key) -> Option<Rc<Holder>> {
        let state = self.state.borrow();
        let holder = state.table.get(key, unix_millis())?.holder.clone();
        (*holder != *self.holder).then_some(holder)
    }

    /// Looks up a key for a call with this digest.
    pub fn lookup(&self, key: &Key, digest: u64) -> Lookup {
        let state = self.state.borrow();
        if let Some(call) = state.pending_calls.get(key) {
            if call.digest != digest {
                return Lookup::Mismatch;
            }
            return Lookup::Running(Some(call.clone()));
        }
        match state.responses.get(key, Instant::now()) {
            Some((cached_digest, _)) if cached_digest != digest => return Lookup::Mismatch,
            Some((_, response)) => return Lookup::Cached(response.clone()),
            None => {}
        }
        let now = unix_millis();
        let Some(claim) = state.table.get(key, now) else { return Lookup::Free };
        if state.pending_releases.contains(&claim.nonce) {
            return Lookup::Free;
        }
        if claim.digest != digest {
            return Lookup::Mismatch;
        }
        if let Some(outcome) = claim.outcome {
            return Lookup::Ended(outcome);
        }
        let is_overdue = now.saturating_sub(claim.time) >= u64::from(claim.span);
        if is_overdue || state.table.is_superseded(&claim.holder) {
            return Lookup::OutcomeUnknown;
        }
        if *claim.holder == *self.holder {
            return Lookup::Running(None);
        }
        Lookup::HeldByPeer(claim.holder.clone())
    }
}
