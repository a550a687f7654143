//! Differences in content between two documents; formatting and comments do not count.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

use serde::Serialize;

use super::document::Document;
use super::service::Service;

/// A difference between two documents.
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

/// Lists the differences, ordered by part; without an old document every part is added.
pub fn difference(old: Option<&Document>, new: &Document) -> Vec<Change> {
    let (before, after) = (old.map(parts).unwrap_or_default(), parts(new));
    let mut changes = Vec::new();
    for (part, fields) in &before {
        match after.get(part) {
            Some(new_fields) => changes.extend(changed_fields(part, fields, new_fields)),
            None => changes.push(part_change(ChangeKind::Removed, part)),
        }
    }
    let added = after.keys().filter(|part| !before.contains_key(*part));
    changes.extend(added.map(|part| part_change(ChangeKind::Added, part)));
    if let Some(old) = old {
        changes.extend(class_order_changes(old, new));
    }
    changes.sort_by(|left, right| left.part.cmp(&right.part));
    drop_nested(changes)
}

fn parts(document: &Document) -> Parts {
    let mut parts = Parts::new();
    let fields = vec![
        ("format", document.format.to_string()),
        ("environment", document.environment.clone()),
        ("maxEntries", document.max_entries.to_string()),
    ];
    parts.insert("document".into(), fields);
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

fn part_change(kind: ChangeKind, part: &str) -> Change {
    let (field, before, after) = Default::default();
    Change { kind, part: part.into(), field, before, after }
}

fn changed_fields(part: &str, before: &Fields, after: &Fields) -> Vec<Change> {
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

/// Lists changes in the order of classes, which matters because the first matching class applies.
fn class_order_changes(old: &Document, new: &Document) -> Vec<Change> {
    let mut changes = Vec::new();
    for service in &new.services {
        let old_service = old.services.iter().find(|old| old.name == service.name);
        let Some(old_service) = old_service else { continue };
        let (before, after) =
            (common_classes(old_service, service), common_classes(service, old_service));
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

/// Drops the changes inside parts that were themselves added or removed.
fn drop_nested(changes: Vec<Change>) -> Vec<Change> {
    let is_part_change = |change: &&Change| change.kind != ChangeKind::Changed;
    let outer_prefixes: Vec<String> =
        changes.iter().filter(is_part_change).map(|change| format!("{}, ", change.part)).collect();
    let is_nested =
        |change: &Change| outer_prefixes.iter().any(|outer| change.part.starts_with(outer));
    changes.into_iter().filter(|change| !is_nested(change)).collect()
}
