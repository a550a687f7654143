//! What an entry knows of a key.

use super::key::Key;
use super::pending_call::PendingCall;
use super::record::{Holder, Outcome};
use super::{unix_millis, Claims};
use crate::prelude::*;

/// What an entry knows of a key; the holder of a claim replies to other entries with it.
pub enum Lookup {
    /// The call ended and its result is in the log.
    Ended(Outcome),
    /// No claim holds the key.
    Free,
    /// The call's deadline has passed, or its holder's process has ended, and no result is known.
    Gone,
    /// Another entry holds the claim, and its call can still be running.
    Held(Rc<Holder>),
    /// The call ended and this is its complete response.
    Kept(Answer),
    /// The key belongs to a call with another method, path or body.
    Mismatch,
    /// This entry claims the key or runs its call; the flight gives the response. Without a
    /// flight, the call has ended without a kept response and its result is not in the table yet.
    Running(Option<Rc<PendingCall>>),
}

impl Claims {
    /// The entry that holds the claim of a key, if it is another one.
    pub fn other_holder(&self, key: &Key) -> Option<Rc<Holder>> {
        let state = self.state.borrow();
        let holder = state.table.get(key, unix_millis())?.holder.clone();
        (*holder != *self.holder).then_some(holder)
    }

    /// What this entry knows of a key that a call with this digest uses.
    pub fn lookup(&self, key: &Key, digest: u64) -> Lookup {
        let state = self.state.borrow();
        if let Some(call) = state.active.get(key) {
            if call.digest != digest {
                return Lookup::Mismatch;
            }
            return Lookup::Running(Some(call.clone()));
        }
        match state.responses.get(key, Instant::now()) {
            Some((known, _)) if known != digest => return Lookup::Mismatch,
            Some((_, answer)) => return Lookup::Kept(answer.clone()),
            None => {}
        }
        let now = unix_millis();
        let Some(claim) = state.table.get(key, now) else { return Lookup::Free };
        if state.released.contains(&claim.nonce) {
            return Lookup::Free;
        }
        if claim.digest != digest {
            return Lookup::Mismatch;
        }
        if let Some(outcome) = claim.outcome {
            return Lookup::Ended(outcome);
        }
        let has_passed = now.saturating_sub(claim.time) >= u64::from(claim.span);
        if has_passed || state.table.is_replaced(&claim.holder) {
            return Lookup::Gone;
        }
        if *claim.holder == *self.holder {
            return Lookup::Running(None);
        }
        Lookup::Held(claim.holder.clone())
    }
}
