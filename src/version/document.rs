//! The document of one environment.

use std::ops::Index;

use super::check::paths::covers;
use super::class::Class;
use super::keys::{ClassKey, ServiceKey, WorkspaceKey};
use super::service::Service;
use super::workspace::Workspace;

/// What operators declare for one environment.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    /// Number of the set of checks that the document must pass.
    pub format: u32,
    pub environment: String,
    /// Most entries that run at a time; each one's fixed shares follow from it.
    pub max_entries: u32,
    pub workspaces: Vec<Workspace>,
    pub services: Vec<Service>,
}

impl Document {
    /// The service whose prefix covers the path; the checks allow no overlap.
    pub fn service(&self, path: &str) -> Option<ServiceKey> {
        let place = self.services.iter().position(|service| covers(&service.prefix, path));
        place.map(|index| ServiceKey(index as u16))
    }

    /// The workspace of that name.
    pub fn workspace(&self, name: &str) -> Option<WorkspaceKey> {
        let place = self.workspaces.iter().position(|workspace| workspace.name == name);
        place.map(|index| WorkspaceKey(index as u16))
    }

    /// A class of a service.
    pub fn class(&self, service: ServiceKey, class: ClassKey) -> &Class {
        &self[service].classes[usize::from(class.0)]
    }
}

impl Index<ServiceKey> for Document {
    type Output = Service;

    fn index(&self, key: ServiceKey) -> &Service {
        &self.services[usize::from(key.0)]
    }
}

impl Index<WorkspaceKey> for Document {
    type Output = Workspace;

    fn index(&self, key: WorkspaceKey) -> &Workspace {
        &self.workspaces[usize::from(key.0)]
    }
}
