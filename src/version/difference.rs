//! What two documents mean differently.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

use serde::Serialize;

use super::document::Document;
use super::service::Service;

/// One difference between two documents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Change {
    pub kind: ChangeKind,
    /// The part of the document, such as `service "jobs", class "booking"`.
    pub part: String,
    /// The changed field; empty for a part that was added or removed.
    pub field: String,
    pub before: String,
    pub after: String,
}

/// Whether a part is new, gone or different.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "camelCase")]
pub enum ChangeKind {
    Added,
    Changed,
    Removed,
}

impl Display for Change {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let part = &self.part;
        match self.kind {
            ChangeKind::Added => write!(f, "+ {part}"),
            ChangeKind::Changed => {
                write!(f, "~ {part}: {} {} -> {}", self.field, self.before, self.after)
            }
            ChangeKind::Removed => write!(f, "- {part}"),
        }
    }
}

type Fields = Vec<(&'static str, String)>;
type Parts = BTreeMap<String, Fields>;

/// Lists the differences, ordered by part; without an older document every part is new.
pub fn difference(old: Option<&Document>, new: &Document) -> Vec<Change> {
    let (before, after) = (old.map(parts).unwrap_or_default(), parts(new));
    let mut changes = Vec::new();
    for (part, fields) in &before {
        match after.get(part) {
            Some(newer) => changes.extend(compare(part, fields, newer)),
            None => changes.push(whole(ChangeKind::Removed, part)),
        }
    }
    let added = after.keys().filter(|part| !before.contains_key(*part));
    changes.extend(added.map(|part| whole(ChangeKind::Added, part)));
    if let Some(old) = old {
        changes.extend(reordered(old, new));
    }
    changes.sort_by(|one, other| one.part.cmp(&other.part));
    without_details(changes)
}

fn parts(document: &Document) -> Parts {
    let mut parts = Parts::new();
    let head = vec![
        ("format", document.format.to_string()),
        ("environment", document.environment.clone()),
        ("maxEntries", document.max_entries.to_string()),
    ];
    parts.insert("document".into(), head);
    for workspace in &document.workspaces {
        let fields = vec![
            ("weight", workspace.weight.to_string()),
            ("retryPercent", workspace.retry_percent.to_string()),
        ];
        parts.insert(format!("workspace \"{}\"", workspace.name), fields);
    }
    for service in &document.services {
        add_service(&mut parts, service);
    }
    parts
}

fn add_service(parts: &mut Parts, service: &Service) {
    let name = format!("service \"{}\"", service.name);
    for class in &service.classes {
        let methods: Vec<&str> = class.methods.iter().map(|method| method.as_str()).collect();
        let fields = vec![
            ("methods", methods.join(" ")),
            ("prefix", class.prefix.clone()),
            ("deadlineMs", class.deadline.as_millis().to_string()),
            ("idempotent", class.idempotent.to_string()),
            ("length", format!("{:?}", class.length).to_lowercase()),
        ];
        parts.insert(format!("{name}, class \"{}\"", class.name), fields);
    }
    for target in &service.targets {
        let fields = vec![("domain", target.domain.clone())];
        parts.insert(format!("{name}, target {}", target.address), fields);
    }
    let fields = vec![
        ("prefix", service.prefix.clone()),
        ("policy", format!("{:?}", service.policy)),
        ("slots", service.slots.to_string()),
        ("connections", service.connections.to_string()),
        ("queue", service.queue.to_string()),
        ("probePercent", service.probe_percent.to_string()),
        ("probeCostMs", service.probe_cost.as_millis().to_string()),
    ];
    parts.insert(name, fields);
}

fn whole(kind: ChangeKind, part: &str) -> Change {
    let (field, before, after) = Default::default();
    Change { kind, part: part.into(), field, before, after }
}

fn compare(part: &str, before: &Fields, after: &Fields) -> Vec<Change> {
    let pairs = before.iter().zip(after);
    let changed = pairs.filter(|((_, before), (_, after))| before != after);
    let change = |((field, before), (_, after)): (&(&str, String), &(&str, String))| Change {
        kind: ChangeKind::Changed,
        part: part.into(),
        field: (*field).into(),
        before: before.clone(),
        after: after.clone(),
    };
    changed.map(change).collect()
}

/// The order of classes matters, because the first one that matches applies.
fn reordered(old: &Document, new: &Document) -> Vec<Change> {
    let mut changes = Vec::new();
    for service in &new.services {
        let other = old.services.iter().find(|other| other.name == service.name);
        let Some(other) = other else { continue };
        let (before, after) = (common_classes(other, service), common_classes(service, other));
        if before != after {
            changes.push(Change {
                kind: ChangeKind::Changed,
                part: format!("service \"{}\"", service.name),
                field: "order of classes".into(),
                before: before.join(" "),
                after: after.join(" "),
            });
        }
    }
    changes
}

fn common_classes<'a>(service: &'a Service, other: &Service) -> Vec<&'a str> {
    let is_common = |name: &&str| other.classes.iter().any(|class| class.name == *name);
    service.classes.iter().map(|class| class.name.as_str()).filter(is_common).collect()
}

/// Leaves out the parts of a service that was added or removed as a whole.
fn without_details(changes: Vec<Change>) -> Vec<Change> {
    let is_whole = |change: &&Change| change.kind != ChangeKind::Changed;
    let wholes: Vec<String> =
        changes.iter().filter(is_whole).map(|change| format!("{}, ", change.part)).collect();
    let is_detail = |change: &Change| wholes.iter().any(|whole| change.part.starts_with(whole));
    changes.into_iter().filter(|change| !is_detail(change)).collect()
}
