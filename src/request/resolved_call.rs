//! Resolution of a call against the configuration document.

use super::header;
use crate::prelude::*;
use crate::process::durations::ShapeKey;
use crate::process::entry::Entry;
use crate::process::queue::FlowKey;
use crate::version::class::Class;
use crate::version::keys::{ClassKey, ServiceKey, WorkspaceKey};
use crate::version::revision::Revision;
use crate::version::service::Service;
use crate::version::workspace::Workspace;

/// A call's service, class and workspace in the document, with its deadline and scheduling keys.
pub struct ResolvedCall {
    pub revision: Rc<Revision>,
    pub service: ServiceKey,
    pub class: ClassKey,
    pub workspace: WorkspaceKey,
    pub deadline: Deadline,
    pub flow: FlowKey,
    pub shape: ShapeKey,
    /// Number of the caller's attempt, from its header; more than 1 if the caller itself retries.
    pub attempt: u32,
}

impl ResolvedCall {
    /// Looks up a call's service, class and workspace. The deadline is the one of the class, or the
    /// caller's if that is earlier.
    pub fn resolve(entry: &Entry, call: &Call, now: Instant) -> Result<Self, Code> {
        let revision = entry.revision().ok_or(Code::NotReady)?;
        let document = &revision.document;
        let path = call.uri.path();
        let service = document.service(path).ok_or(Code::RefusedService)?;
        let class = document[service].class(&call.method, path).ok_or(Code::RefusedClass)?;
        let workspace = call.header(header::WORKSPACE).and_then(|name| document.workspace(name));
        let workspace = workspace.ok_or(Code::RefusedWorkspace)?;
        let mut deadline = Deadline::after(now, document.class(service, class).deadline);
        if let Some(millis) = parse_number(call, header::DEADLINE) {
            // A timeout too large to be added to an instant is ignored.
            let requested = now.checked_add(Duration::from_millis(millis)).map(|_| millis);
            let requested =
                requested.map(|millis| Deadline::after(now, Duration::from_millis(millis)));
            deadline = requested.map_or(deadline, |requested| deadline.min(requested));
        }
        let name = &document[workspace].name;
        let flow = FlowKey(xxhash_rust::xxh3::xxh3_64(name.as_bytes()));
        let shape = ShapeKey::new(&document.class(service, class).name, path);
        let attempt =
            parse_number(call, header::ATTEMPT).unwrap_or(1).clamp(1, u64::from(u16::MAX));
        let attempt = attempt as u32;
        Ok(Self { revision, service, class, workspace, deadline, flow, shape, attempt })
    }

    pub fn class(&self) -> &Class {
        self.revision.document.class(self.service, self.class)
    }

    pub fn service(&self) -> &Service {
        &self.revision.document[self.service]
    }

    pub fn workspace(&self) -> &Workspace {
        &self.revision.document[self.workspace]
    }
}

fn parse_number(call: &Call, name: &str) -> Option<u64> {
    call.header(name)?.parse().ok()
}
