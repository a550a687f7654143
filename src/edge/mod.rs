//! Interfaces to the platform that the load balancer runs on: the log and the list of VMs, with
//! their HTTP clients, and the directory.

pub mod directory;
pub mod http_log;
pub mod http_vms;
pub mod log;
pub mod position;
pub mod stand_in;
pub mod vms;
pub mod wire;

use std::future::Future;
use std::pin::Pin;

use crate::prelude::*;

/// Result of a platform operation.
pub type Result<T> = std::result::Result<T, Error>;

/// Boxed future of a platform operation.
pub type PlatformFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T>> + 'a>>;
