//! Parses a document and applies the checks of its format.

use std::collections::HashMap;

use super::check::checked_value::CheckedValue;
use super::check::deserialize;
use super::check::paths::{covers, overlap};
use super::check::problem::ProblemReport;
use super::document::Document;
use super::schema;
use super::wire::DocumentWire;
use super::Result;

/// Document formats that this version of the program supports.
pub const SUPPORTED_FORMATS: &[u32] = &[1];
/// Maximum number of targets of all services together.
const MAX_DOCUMENT_TARGETS: usize = 20_000;

/// Parses and checks a document.
pub fn parse(text: &str) -> Result<Document> {
    deserialize::<DocumentWire>(text, &schema::DOCUMENT, check_document)?.try_into()
}

fn check_document(root: &CheckedValue, report: &mut ProblemReport) {
    let services = root.items("services");
    check_unique(&root.items("workspaces"), "name", report);
    check_unique(&services, "name", report);
    check_targets(&services, report);
    check_prefixes(&services, report);
    for service in &services {
        check_unique(&service.items("classes"), "name", report);
        check_classes(service, report);
        check_connections(root, service, report);
    }
}

fn check_targets(services: &[CheckedValue], report: &mut ProblemReport) {
    let targets: Vec<CheckedValue> =
        services.iter().flat_map(|service| service.items("targets")).collect();
    if targets.len() > MAX_DOCUMENT_TARGETS {
        let found = targets.len();
        report.add(
            "services",
            format!("expected at most {MAX_DOCUMENT_TARGETS} targets, found {found}"),
        );
    }
    check_unique(&targets, "address", report);
}

/// Reports each object whose string in `field` is already used by an earlier object.
pub(super) fn check_unique(objects: &[CheckedValue], field: &str, report: &mut ProblemReport) {
    let mut seen: HashMap<&str, String> = HashMap::new();
    for object in objects {
        let Some(text) = object.string(field) else { continue };
        let path = format!("{}.{field}", object.path);
        match seen.get(text) {
            Some(first) => {
                let line = report.line_of(first);
                report.add(&path, format!("`{text}` is already used by `{first}` on line {line}"));
            }
            None => drop(seen.insert(text, path)),
        }
    }
}

fn check_prefixes(services: &[CheckedValue], report: &mut ProblemReport) {
    let prefix = |index: usize| services[index].string("prefix").unwrap_or_default();
    let mut sorted: Vec<usize> = (0..services.len()).filter(|i| !prefix(*i).is_empty()).collect();
    // A trailing slash in the sort key puts each prefix directly before those that it covers.
    sorted.sort_by_cached_key(|index| format!("{}/", prefix(*index).trim_end_matches('/')));
    let mut widest: Option<usize> = None;
    for index in sorted {
        let Some(other) = widest.filter(|widest| overlap(prefix(*widest), prefix(index))) else {
            widest = Some(index);
            continue;
        };
        let (first, second) = (other.min(index), other.max(index));
        let first_path = format!("{}.prefix", services[first].path);
        let line = report.line_of(&first_path);
        let (first_prefix, second_prefix) = (prefix(first), prefix(second));
        let expected =
            format!("`{second_prefix}` overlaps `{first_prefix}` of `{first_path}` on line {line}");
        report.add(&format!("{}.prefix", services[second].path), expected);
    }
}

fn check_classes(service: &CheckedValue, report: &mut ProblemReport) {
    let classes = service.items("classes");
    let service_prefix = service.string("prefix").unwrap_or("/");
    for (index, class) in classes.iter().enumerate() {
        let Some(prefix) = class.string("prefix") else { continue };
        let path = format!("{}.prefix", class.path);
        if !overlap(prefix, service_prefix) {
            let reason = format!("because the prefix of the service is `{service_prefix}`");
            report.add(&path, format!("`{prefix}` never matches, {reason}"));
        }
        for method in class.strings("methods") {
            let shadows = |other: &&CheckedValue| {
                let is_wider = other.string("prefix").is_some_and(|other| covers(other, prefix));
                is_wider && other.strings("methods").contains(&method)
            };
            let Some(other) = classes[..index].iter().find(shadows) else { continue };
            let reason = format!("because `{}` comes first", other.path);
            report.add(&path, format!("`{method}` never matches, {reason}"));
        }
    }
}

fn check_connections(root: &CheckedValue, service: &CheckedValue, report: &mut ProblemReport) {
    let (entries, connections) = (root.integer("maxEntries"), service.integer("connections"));
    let (Some(entries), Some(connections)) = (entries, connections) else { return };
    if connections >= entries {
        return;
    }
    let expected = format!("at least one connection for each of the {entries} entries");
    let path = format!("{}.connections", service.path);
    report.add(&path, format!("expected {expected} (`maxEntries`), found `{connections}`"));
}
