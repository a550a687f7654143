//! One thread of the demo with a runtime of its own.

use std::future::Future;
use std::sync::mpsc;
use std::thread;

use super::Result;
use crate::prelude::*;
use crate::process::runtime::block_on;

/// Starts a thread that runs `main` and returns what `main` reports as ready.
///
/// The thread ends with the process.
pub fn start<T, M, F>(main: M) -> Result<T>
where
    T: Send + 'static,
    M: FnOnce(mpsc::Sender<Result<T>>) -> F + Send + 'static,
    F: Future<Output = ()>,
{
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || block_on(main(sender)));
    receiver
        .recv()
        .unwrap_or_else(|_| Err(Error::Connection { reason: "a part of the demo stopped".into() }))
}
