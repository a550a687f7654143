//! Reads a document and checks it by the rules of its format.

use std::collections::HashMap;

use super::check::part::Part;
use super::check::paths::{covers, overlap};
use super::check::problem::Report;
use super::check::read;
use super::document::Document;
use super::schema;
use super::wire::DocumentWire;
use super::Result;

/// The formats that this program knows.
pub const FORMATS: &[u32] = &[1];
/// Most targets of all services together.
const MAX_TARGETS: usize = 20_000;

/// Parses and checks a document.
pub fn parse(text: &str) -> Result<Document> {
    read::<DocumentWire>(text, &schema::DOCUMENT, check)?.try_into()
}

fn check(root: &Part, report: &mut Report) {
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

fn check_targets(services: &[Part], report: &mut Report) {
    let targets: Vec<Part> = services.iter().flat_map(|service| service.items("targets")).collect();
    if targets.len() > MAX_TARGETS {
        let found = targets.len();
        report.add("services", format!("expected at most {MAX_TARGETS} targets, found {found}"));
    }
    check_unique(&targets, "address", report);
}

/// Refuses a text that a field of several parts has in common.
pub(super) fn check_unique(parts: &[Part], field: &str, report: &mut Report) {
    let mut seen: HashMap<&str, String> = HashMap::new();
    for part in parts {
        let Some(text) = part.text(field) else { continue };
        let path = format!("{}.{field}", part.path);
        match seen.get(text) {
            Some(first) => {
                let line = report.line(first);
                report.add(&path, format!("`{text}` is already used by `{first}` on line {line}"));
            }
            None => drop(seen.insert(text, path)),
        }
    }
}

fn check_prefixes(services: &[Part], report: &mut Report) {
    let prefix = |index: usize| services[index].text("prefix").unwrap_or_default();
    let mut order: Vec<usize> = (0..services.len()).filter(|i| !prefix(*i).is_empty()).collect();
    // With a slash at its end, a prefix comes directly before those that it covers.
    order.sort_by_cached_key(|index| format!("{}/", prefix(*index).trim_end_matches('/')));
    let mut widest: Option<usize> = None;
    for index in order {
        let Some(other) = widest.filter(|widest| overlap(prefix(*widest), prefix(index))) else {
            widest = Some(index);
            continue;
        };
        let (first, second) = (other.min(index), other.max(index));
        let place = format!("{}.prefix", services[first].path);
        let line = report.line(&place);
        let (one, two) = (prefix(first), prefix(second));
        let expected = format!("`{two}` overlaps `{one}` of `{place}` on line {line}");
        report.add(&format!("{}.prefix", services[second].path), expected);
    }
}

fn check_classes(service: &Part, report: &mut Report) {
    let classes = service.items("classes");
    let outer = service.text("prefix").unwrap_or("/");
    for (index, class) in classes.iter().enumerate() {
        let Some(prefix) = class.text("prefix") else { continue };
        let place = format!("{}.prefix", class.path);
        if !overlap(prefix, outer) {
            let reason = format!("because the prefix of the service is `{outer}`");
            report.add(&place, format!("`{prefix}` never matches, {reason}"));
        }
        for method in class.texts("methods") {
            let hides = |other: &&Part| {
                let is_wider = other.text("prefix").is_some_and(|other| covers(other, prefix));
                is_wider && other.texts("methods").contains(&method)
            };
            let Some(other) = classes[..index].iter().find(hides) else { continue };
            let reason = format!("because `{}` comes first", other.path);
            report.add(&place, format!("`{method}` never matches, {reason}"));
        }
    }
}

fn check_connections(root: &Part, service: &Part, report: &mut Report) {
    let (entries, connections) = (root.number("maxEntries"), service.number("connections"));
    let (Some(entries), Some(connections)) = (entries, connections) else { return };
    if connections >= entries {
        return;
    }
    let expected = format!("at least one connection for each of the {entries} entries");
    let path = format!("{}.connections", service.path);
    report.add(&path, format!("expected {expected} (`maxEntries`), found `{connections}`"));
}
