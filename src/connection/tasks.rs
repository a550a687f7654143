//! A set of spawned tasks that are stopped and joined together.

use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::task::{ready, Poll};

use local_sync::semaphore::Semaphore;
use monoio::task::JoinHandle;

use crate::prelude::*;

/// Smallest number of handles at which those of finished tasks are dropped.
const MIN_SWEEP_HANDLES: usize = 64;

/// A set of tasks; dropping it stops them at their next await point.
pub struct Tasks {
    /// Closed to stop the tasks.
    stop: Rc<Semaphore>,
    handles: RefCell<Vec<JoinHandle<()>>>,
    /// Number of handles at which those of finished tasks are dropped.
    sweep_threshold: Cell<usize>,
}

impl Default for Tasks {
    fn default() -> Self {
        Self {
            stop: Rc::new(Semaphore::new(0)),
            handles: RefCell::default(),
            sweep_threshold: Cell::new(MIN_SWEEP_HANDLES),
        }
    }
}

impl Tasks {
    /// Spawns a task that ends early when the set is stopped.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.drop_finished();
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

    /// Stops the tasks at their next await point.
    pub fn stop(&self) {
        self.stop.close();
    }

    /// Waits until all tasks have finished.
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

    /// Drops the handles of finished tasks if the set has reached the threshold, which is then set
    /// to twice the number of handles left.
    fn drop_finished(&self) {
        let mut handles = self.handles.borrow_mut();
        if handles.len() < self.sweep_threshold.get() {
            return;
        }
        handles.retain(|handle| !handle.is_finished());
        self.sweep_threshold.set((handles.len() * 2).max(MIN_SWEEP_HANDLES));
    }
}

impl Drop for Tasks {
    fn drop(&mut self) {
        self.stop.close();
    }
}
