//! The asynchronous runtime.

use std::future::Future;

use monoio::{LegacyDriver, RuntimeBuilder};

use super::Result;
use crate::prelude::*;

/// Runs a future to completion on the legacy driver, which uses epoll and never io_uring.
pub fn block_on<F: Future>(future: F) -> Result<F::Output> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .map_err(|source| Error::Runtime { source })?;
    Ok(runtime.block_on(future))
}
