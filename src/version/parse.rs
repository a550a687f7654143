//! Reads a document from JSON with comments.

use serde::Deserialize;

use super::class::{Class, Length};
use super::document::Document;
use super::policy::Policy;
use super::service::{Service, TargetSpec};
use super::workspace::Workspace;
use super::Result;
use crate::prelude::*;

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
struct DocumentWire {
    format: u32,
    environment: String,
    max_entries: u32,
    workspaces: Vec<WorkspaceWire>,
    services: Vec<ServiceWire>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
struct WorkspaceWire {
    name: String,
    weight: u32,
    retry_percent: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
struct ServiceWire {
    name: String,
    prefix: String,
    #[serde(default)]
    policy: Policy,
    slots: u32,
    connections: u32,
    queue: u32,
    probe_percent: f64,
    probe_cost_ms: u64,
    classes: Vec<ClassWire>,
    targets: Vec<TargetWire>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
struct ClassWire {
    name: String,
    methods: Vec<String>,
    prefix: String,
    deadline_ms: u64,
    idempotent: bool,
    #[serde(default)]
    length: Length,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
struct TargetWire {
    address: SocketAddr,
    domain: String,
}

/// Parses and checks a document.
pub fn parse(text: &str) -> Result<Document> {
    let problem = |text: String| Error::Document { problems: vec![text] };
    let value = jsonc_parser::parse_to_serde_value(text, &Default::default())
        .map_err(|error| problem(error.to_string()))?
        .ok_or_else(|| problem("the document is empty".into()))?;
    let wire: DocumentWire =
        serde_json::from_value(value).map_err(|error| problem(error.to_string()))?;
    Document::try_from(wire)
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
            Method::from_bytes(name.as_bytes())
                .map_err(|_| Error::Document { problems: vec![format!("`{name}` is no method")] })
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
