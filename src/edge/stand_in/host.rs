//! A thread that runs stand-ins and executes jobs of other threads on them.

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::edge::Result;
use crate::error::Error;
use crate::process::runtime::block_on;

/// Interval at which the thread polls for jobs of other threads.
const JOB_POLL_INTERVAL: Duration = Duration::from_millis(1);

type Job<T> = Box<dyn FnOnce(Rc<T>) + Send>;

/// A handle to stand-ins of type `T`, which run on their own thread because they are not `Send`.
pub struct Host<T> {
    jobs: Option<Sender<Job<T>>>,
    thread: Option<JoinHandle<()>>,
}

impl<T: 'static> Host<T> {
    /// Starts a thread that builds the stand-ins with `start`.
    ///
    /// Dropping the handle stops the thread and the tasks that `start` has spawned.
    pub fn start<S, F>(start: S) -> Result<Self>
    where
        S: FnOnce() -> F + Send + 'static,
        F: Future<Output = Result<T>>,
    {
        let (jobs, receiver) = mpsc::channel();
        let (ready, started) = mpsc::channel();
        let thread = thread::spawn(move || {
            let outcome = block_on(async move {
                match start().await {
                    Ok(stand_ins) => {
                        let _ = ready.send(Ok(()));
                        run_jobs(Rc::new(stand_ins), receiver).await;
                    }
                    Err(error) => {
                        let _ = ready.send(Err(error));
                    }
                }
            });
            if let Err(error) = outcome {
                log::error!("cannot run the stand-ins: {error}");
            }
        });
        let host_stopped =
            || Error::Connection { reason: "the thread of the stand-ins has stopped".into() };
        started.recv().unwrap_or_else(|_| Err(host_stopped()))?;
        Ok(Self { jobs: Some(jobs), thread: Some(thread) })
    }

    /// Runs a function on the thread of the stand-ins and returns its result.
    ///
    /// # Panics
    ///
    /// Panics if the thread has stopped.
    pub fn with<R, F>(&self, function: F) -> R
    where
        R: Send + 'static,
        F: FnOnce(&T) -> R + Send + 'static,
    {
        let (sender, receiver) = mpsc::channel();
        let job: Job<T> = Box::new(move |stand_ins| {
            let _ = sender.send(function(&stand_ins));
        });
        let jobs = self.jobs.as_ref().expect("the sender exists until the handle is dropped");
        jobs.send(job).expect("the host runs until the handle is dropped");
        receiver.recv().expect("the host sends a result for every job")
    }
}

impl<T> Drop for Host<T> {
    fn drop(&mut self) {
        self.jobs.take();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Runs jobs until the handle is dropped.
async fn run_jobs<T>(stand_ins: Rc<T>, jobs: Receiver<Job<T>>) {
    loop {
        match jobs.try_recv() {
            Ok(job) => job(stand_ins.clone()),
            Err(mpsc::TryRecvError::Empty) => monoio::time::sleep(JOB_POLL_INTERVAL).await,
            Err(mpsc::TryRecvError::Disconnected) => return,
        }
    }
}

/// Binds a free port on loopback.
pub fn bind_loopback() -> Result<(monoio::net::TcpListener, SocketAddr)> {
    let listener = crate::connection::server::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let address = listener.local_addr();
    let address = address.map_err(|error| Error::Connection { reason: error.to_string() })?;
    Ok((listener, address))
}
