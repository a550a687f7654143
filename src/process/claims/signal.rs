//! A signal between two tasks of one thread.

use std::future::poll_fn;
use std::task::{Poll, Waker};

use crate::prelude::*;

/// Wakes one waiting task; a signal without a waiting task is kept.
#[derive(Default)]
pub struct Signal {
    is_set: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Signal {
    /// Wakes the waiting task.
    pub fn notify(&self) {
        self.is_set.set(true);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Drops a signal that nobody has waited for.
    pub fn clear(&self) {
        self.is_set.set(false);
    }

    /// Waits for the next signal.
    pub async fn wait(&self) {
        poll_fn(|context| {
            if self.is_set.take() {
                return Poll::Ready(());
            }
            self.waker.replace(Some(context.waker().clone()));
            Poll::Pending
        })
        .await;
    }
}
