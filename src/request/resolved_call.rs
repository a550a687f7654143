//! A call's place in the document.

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

/// A call with its place in the document.
pub struct Matched {
    pub revision: Rc<Revision>,
    pub service: ServiceKey,
    pub class: ClassKey,
    pub workspace: WorkspaceKey,
    pub deadline: Deadline,
    pub flow: FlowKey,
    pub shape: ShapeKey,
    /// Number of the attempt that the caller makes, as it says itself.
    pub attempt: u32,
}

impl Matched {
    /// Finds a call's place.
    pub fn find(entry: &Entry, call: &Call, now: Instant) -> Result<Self, Code> {
        let revision = entry.revision().ok_or(Code::NotReady)?;
        let document = &revision.document;
        let path = call.uri.path();
        let service = document.service(path).ok_or(Code::RefusedService)?;
        let class = document[service].class(&call.method, path).ok_or(Code::RefusedClass)?;
        let workspace = call.header(header::WORKSPACE).and_then(|name| document.workspace(name));
        let workspace = workspace.ok_or(Code::RefusedWorkspace)?;
        let mut deadline = Deadline::after(now, document.class(service, class).deadline);
        if let Some(millis) = number(call, header::DEADLINE) {
            let own = now.checked_add(Duration::from_millis(millis)).map(|_| millis);
            let own = own.map(|millis| Deadline::after(now, Duration::from_millis(millis)));
            deadline = own.map_or(deadline, |own| deadline.min(own));
        }
        let name = &document[workspace].name;
        let flow = FlowKey(xxhash_rust::xxh3::xxh3_64(name.as_bytes()));
        let shape = ShapeKey::new(&document.class(service, class).name, path);
        let attempt = number(call, header::ATTEMPT).unwrap_or(1).clamp(1, u64::from(u16::MAX));
        let attempt = attempt as u32;
        Ok(Self { revision, service, class, workspace, deadline, flow, shape, attempt })
    }

    /// The call's class.
    pub fn class(&self) -> &Class {
        self.revision.document.class(self.service, self.class)
    }

    /// The call's service.
    pub fn service(&self) -> &Service {
        &self.revision.document[self.service]
    }

    /// The call's workspace.
    pub fn workspace(&self) -> &Workspace {
        &self.revision.document[self.workspace]
    }
}

fn number(call: &Call, name: &str) -> Option<u64> {
    call.header(name)?.parse().ok()
}
