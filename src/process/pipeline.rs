//! The calls that run on one connection, in the order of their responses.

use std::collections::VecDeque;
use std::future::poll_fn;
use std::task::{Context, Poll};

use super::running_call::{Overlap, ReadyResponse, RunningCall};
use crate::connection::held_bytes::HeldBytes;
use crate::connection::memory_budget::MemoryBudget;
use crate::prelude::*;

/// Most calls of one connection that run or have a response that is not written yet.
pub const MAX_RUNNING_CALLS: usize = 8;
/// Bytes of responses that wait for those ahead of them, from which on no further call starts.
pub const MAX_WAITING_RESPONSE_BYTES: usize = 1024 * 1024;

/// The calls of a connection that are not answered yet, each with a state `S`.
pub struct Pipeline<S> {
    /// The call that is answered next. It is not in the queue, so that one call at a time needs no
    /// allocation for it.
    front: Option<RunningCall<S>>,
    behind: VecDeque<RunningCall<S>>,
    memory: Rc<MemoryBudget>,
}

impl<S> Pipeline<S> {
    /// Creates a pipeline whose waiting responses count against `memory`.
    pub fn new(memory: Rc<MemoryBudget>) -> Self {
        Self { front: None, behind: VecDeque::new(), memory }
    }

    /// Whether every started call has been answered.
    pub fn is_empty(&self) -> bool {
        self.front.is_none()
    }

    /// Number of calls that are not answered yet.
    pub fn len(&self) -> usize {
        self.calls().count()
    }

    /// Whether a call that may run beside others may start now.
    pub fn has_room(&self) -> bool {
        let Some(front) = &self.front else { return true };
        // A call that may not overlap runs alone, so it can only be the front one.
        front.overlap == Overlap::Allowed
            && self.len() < MAX_RUNNING_CALLS
            && self.waiting_bytes() < MAX_WAITING_RESPONSE_BYTES
            && !self.memory.is_exhausted(usize::MAX)
    }

    /// Whether a call may start now.
    pub fn may_start(&self, overlap: Overlap) -> bool {
        self.is_empty() || (overlap == Overlap::Allowed && self.has_room())
    }

    /// Adds a call behind all others.
    pub fn start(&mut self, call: RunningCall<S>) {
        debug_assert!(self.may_start(call.overlap), "the call must wait");
        match self.front {
            None => self.front = Some(call),
            Some(_) => self.behind.push_back(call),
        }
    }

    /// Continues all calls while an earlier response is being written. Their responses wait and
    /// count against the memory budget.
    pub fn poll_waiting(&mut self, context: &mut Context<'_>) {
        for call in self.front.iter_mut().chain(&mut self.behind) {
            call.poll(context, |bytes| HeldBytes::add(self.memory.clone(), bytes));
        }
    }

    /// Continues all calls, and removes the front one if it has its response. Responses behind it
    /// wait and count against the memory budget.
    pub fn poll_response(&mut self, context: &mut Context<'_>) -> Poll<ReadyResponse<S>> {
        if let Some(front) = &mut self.front {
            front.poll(context, |_| HeldBytes::default());
        }
        for call in &mut self.behind {
            call.poll(context, |bytes| HeldBytes::add(self.memory.clone(), bytes));
        }
        match self.front.take_if(|call| call.is_complete()).and_then(RunningCall::into_response) {
            Some(response) => {
                self.front = self.behind.pop_front();
                Poll::Ready(response)
            }
            None => Poll::Pending,
        }
    }

    /// Waits for the next response to write. Dropping the future loses none.
    pub async fn next_response(&mut self) -> ReadyResponse<S> {
        poll_fn(|context| self.poll_response(context)).await
    }

    /// Bytes of responses that are not written yet.
    fn waiting_bytes(&self) -> usize {
        self.calls().map(RunningCall::response_bytes).sum()
    }

    fn calls(&self) -> impl Iterator<Item = &RunningCall<S>> {
        self.front.iter().chain(&self.behind)
    }
}
