//! A call that runs, or whose response waits for those ahead of it.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

use crate::connection::held_bytes::HeldBytes;
use crate::prelude::*;

/// The handler of one call.
pub type Run = Pin<Box<dyn Future<Output = Answer>>>;

/// Whether a call may run beside others of its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Overlap {
    Allowed,
    Forbidden,
}

enum Progress {
    Running(Run),
    /// The response, and its bytes if they are counted while it waits.
    Complete(Answer, HeldBytes),
}

/// A response whose turn has come.
pub struct ReadyResponse<S> {
    pub response: Answer,
    pub state: S,
    /// Bytes of the response that stay counted until it is written.
    pub held: HeldBytes,
}

/// A call with the state `S` that is needed to write its response.
pub struct RunningCall<S> {
    progress: Progress,
    pub overlap: Overlap,
    state: S,
}

impl<S> RunningCall<S> {
    pub fn new(run: Run, overlap: Overlap, state: S) -> Self {
        Self { progress: Progress::Running(run), overlap, state }
    }

    /// Continues the call unless it has its response, for which `hold` then counts the bytes.
    pub fn poll(&mut self, context: &mut Context<'_>, hold: impl FnOnce(usize) -> HeldBytes) {
        let Progress::Running(run) = &mut self.progress else { return };
        if let Poll::Ready(response) = run.as_mut().poll(context) {
            let held = hold(response.body.len());
            self.progress = Progress::Complete(response, held);
        }
    }

    /// Whether the call has its response.
    pub fn is_complete(&self) -> bool {
        matches!(self.progress, Progress::Complete(..))
    }

    /// Bytes of the response's body, if there is one yet.
    pub fn response_bytes(&self) -> usize {
        match &self.progress {
            Progress::Running(_) => 0,
            Progress::Complete(response, _) => response.body.len(),
        }
    }

    /// Returns the response of a complete call.
    pub fn into_response(self) -> Option<ReadyResponse<S>> {
        let Progress::Complete(response, held) = self.progress else { return None };
        Some(ReadyResponse { response, held, state: self.state })
    }
}
