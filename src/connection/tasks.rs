//! Tasks that a parent spawned and joins.

use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::task::{ready, Poll};

use local_sync::semaphore::Semaphore;
use monoio::task::JoinHandle;

use crate::prelude::*;

/// Number of handles at which those of ended tasks are dropped for the first time.
const FIRST_SWEEP: usize = 64;

/// A set of tasks; dropping it stops them at their next wait.
pub struct Tasks {
    stop: Rc<Semaphore>,
    handles: RefCell<Vec<JoinHandle<()>>>,
    /// Number of handles at which those of ended tasks are dropped.
    sweep: Cell<usize>,
}

impl Default for Tasks {
    fn default() -> Self {
        Self {
            stop: Rc::new(Semaphore::new(0)),
            handles: RefCell::default(),
            sweep: Cell::new(FIRST_SWEEP),
        }
    }
}

impl Tasks {
    /// Spawns a task.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.sweep();
        let stop = self.stop.clone();
        let handle = monoio::spawn(async move {
            monoio::select! {
                biased;
                () = task => {}
                _ = stop.acquire() => {}
            }
        });
        self.handles.borrow_mut().push(handle);
    }

    /// Stops the tasks at their next wait.
    pub fn stop(&self) {
        self.stop.close();
    }

    /// Waits until all tasks have ended.
    pub async fn join(&self) {
        poll_fn(|context| {
            let mut handles = self.handles.borrow_mut();
            while let Some(handle) = handles.last_mut() {
                ready!(Pin::new(handle).poll(context));
                handles.pop();
            }
            Poll::Ready(())
        })
        .await;
    }

    fn sweep(&self) {
        let mut handles = self.handles.borrow_mut();
        if handles.len() < self.sweep.get() {
            return;
        }
        handles.retain(|handle| !handle.is_finished());
        self.sweep.set((handles.len() * 2).max(FIRST_SWEEP));
    }
}

impl Drop for Tasks {
    fn drop(&mut self) {
        self.stop.close();
    }
}
