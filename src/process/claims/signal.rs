//! Wake-ups between two tasks of one thread.

use std::future::poll_fn;
use std::task::{Poll, Waker};

use crate::prelude::*;

/// Wakes one waiting task. A signal that is sent while no task waits is stored for the next
/// `wait`.
#[derive(Default)]
pub struct Signal {
    is_set: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Signal {
    /// Sends the signal.
    pub fn notify(&self) {
        self.is_set.set(true);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Discards a stored signal.
    pub fn clear(&self) {
        self.is_set.set(false);
    }

    /// Waits for a signal; a stored one is consumed at once.
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
