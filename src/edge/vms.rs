//! The platform's list of VMs, which lags behind their actual state.

use super::PlatformFuture;
use crate::prelude::*;

/// Role of a VM in the deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmRole {
    Entry,
    Target,
}

/// A VM in the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// Address of the target, or of the entry's listener for peers.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: String,
    pub role: VmRole,
    /// Whether the platform is about to remove the VM.
    pub draining: bool,
}

/// Client of the service that provides the list.
pub trait Vms {
    /// Reads the list, which may be out of date.
    fn list(&self) -> PlatformFuture<'_, Vec<Vm>>;
}
