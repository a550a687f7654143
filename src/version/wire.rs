//! JSON types of a document; defaults have been filled in from the schema.

use serde::Deserialize;

use super::check::problem::Problem;
use super::class::{Class, Length};
use super::document::Document;
use super::policy::Policy;
use super::service::{Service, TargetSpec};
use super::workspace::Workspace;
use super::Result;
use crate::prelude::*;

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct DocumentWire {
    pub format: u32,
    pub environment: String,
    pub max_entries: u32,
    pub workspaces: Vec<WorkspaceWire>,
    pub services: Vec<ServiceWire>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct WorkspaceWire {
    pub name: String,
    pub weight: u32,
    pub retry_percent: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ServiceWire {
    pub name: String,
    pub prefix: String,
    pub policy: Policy,
    pub slots: u32,
    pub connections: u32,
    pub queue: u32,
    pub probe_percent: f64,
    pub probe_cost_ms: u64,
    pub classes: Vec<ClassWire>,
    pub targets: Vec<TargetWire>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ClassWire {
    pub name: String,
    pub methods: Vec<String>,
    pub prefix: String,
    pub deadline_ms: u64,
    pub idempotent: bool,
    pub length: Length,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct TargetWire {
    pub address: SocketAddr,
    pub domain: String,
}

impl TryFrom<DocumentWire> for Document {
    type Error = Error;

    fn try_from(wire: DocumentWire) -> Result<Self> {
        Ok(Self {
            format: wire.format,
            environment: wire.environment,
            max_entries: wire.max_entries,
            workspaces: wire.workspaces.into_iter().map(Workspace::from).collect(),
            services: wire.services.into_iter().map(Service::try_from).collect::<Result<_>>()?,
        })
    }
}

impl From<WorkspaceWire> for Workspace {
    fn from(wire: WorkspaceWire) -> Self {
        Self { name: wire.name, weight: wire.weight, retry_percent: wire.retry_percent }
    }
}

impl TryFrom<ServiceWire> for Service {
    type Error = Error;

    fn try_from(wire: ServiceWire) -> Result<Self> {
        Ok(Self {
            name: wire.name,
            prefix: wire.prefix,
            policy: wire.policy,
            slots: wire.slots,
            connections: wire.connections,
            queue: wire.queue,
            probe_percent: wire.probe_percent,
            probe_cost: Duration::from_millis(wire.probe_cost_ms),
            classes: wire.classes.into_iter().map(Class::try_from).collect::<Result<_>>()?,
            targets: wire.targets.into_iter().map(TargetSpec::from).collect(),
        })
    }
}

impl TryFrom<ClassWire> for Class {
    type Error = Error;

    fn try_from(wire: ClassWire) -> Result<Self> {
        let method = |name: String| {
            let invalid = || Problem::at_start(&format!("`{name}` is not a method"));
            Method::from_bytes(name.as_bytes())
                .map_err(|_| Error::Invalid { problems: vec![invalid()] })
        };
        Ok(Self {
            name: wire.name,
            methods: wire.methods.into_iter().map(method).collect::<Result<_>>()?,
            prefix: wire.prefix,
            deadline: Duration::from_millis(wire.deadline_ms),
            idempotent: wire.idempotent,
            length: wire.length,
        })
    }
}

impl From<TargetWire> for TargetSpec {
    fn from(wire: TargetWire) -> Self {
        Self { address: wire.address, domain: wire.domain }
    }
}
