//! Document that declares the services and workspaces of an environment.

use std::ops::Index;

use super::check::paths::covers;
use super::class::Class;
use super::keys::{ClassKey, ServiceKey, WorkspaceKey};
use super::service::Service;
use super::workspace::Workspace;

/// The configuration that operators publish for one environment.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    /// Version of the schema and of the checks that the document must pass.
    pub format: u32,
    pub environment: String,
    /// Maximum number of entries that run at the same time. It determines the fixed shares of each
    /// entry, such as its share of the connections to a target.
    pub max_entries: u32,
    pub workspaces: Vec<Workspace>,
    pub services: Vec<Service>,
}

impl Document {
    /// Finds the service whose prefix covers the path; the checks reject overlapping prefixes.
    pub fn service(&self, path: &str) -> Option<ServiceKey> {
        let index = self.services.iter().position(|service| covers(&service.prefix, path));
        index.map(|index| ServiceKey(index as u16))
    }

    /// Finds a workspace by name.
    pub fn workspace(&self, name: &str) -> Option<WorkspaceKey> {
        let index = self.workspaces.iter().position(|workspace| workspace.name == name);
        index.map(|index| WorkspaceKey(index as u16))
    }

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
