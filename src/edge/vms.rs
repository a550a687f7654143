//! The platform's lagging list of VMs.

use super::Pending;
use crate::prelude::*;

/// What a VM does for the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmRole {
    Entry,
    Target,
}

/// A VM of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// Address of the entry's peer port or of the target.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: String,
    pub role: VmRole,
    pub leaving: bool,
}

/// The list service.
pub trait Vms {
    /// The list as the platform knows it, which may be out of date.
    fn list(&self) -> Pending<'_, Vec<Vm>>;
}
