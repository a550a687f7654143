//! The edge towards the platform: its log and its list of VMs.

pub mod directory;
pub mod http_log;
pub mod http_vms;
pub mod log;
pub mod stand_in;
pub mod vms;
pub mod wire;

use std::future::Future;
use std::pin::Pin;

use crate::prelude::*;

/// The result of an operation of the platform.
pub type Result<T> = std::result::Result<T, Error>;

/// A boxed future of an operation of the platform.
pub type Pending<'a, T> = Pin<Box<dyn Future<Output = Result<T>> + 'a>>;
