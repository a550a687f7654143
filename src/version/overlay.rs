//! Overlays, which replace the environment and the targets of a document that is promoted.

use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;
use serde::Deserialize;

use super::check::checked_value::CheckedValue;
use super::check::problem::{Problem, ProblemReport};
use super::check::schema::{Field, Kind, Schema};
use super::check::source::Source;
use super::check::{self, invalid};
use super::parse::check_unique;
use super::schema::TARGETS;
use super::Result;

/// The environment and the targets that a promoted document gets in place of its own.
#[derive(Deserialize)]
pub struct Overlay {
    pub environment: String,
    services: Vec<OverlayService>,
    /// Text of the overlay, from which the arrays of targets are copied with their comments.
    #[serde(skip)]
    text: String,
}

#[derive(Deserialize)]
struct OverlayService {
    name: String,
}

/// Schema of an overlay.
pub const SCHEMA: Schema = Schema {
    fields: &[
        Field::required("environment", Kind::Name),
        Field::default("services", Kind::List { of: &SERVICE, min: 0, max: 2000 }, "[]"),
    ],
};

const SERVICE: Kind = Kind::Object(&Schema {
    fields: &[Field::required("name", Kind::Name), Field::required("targets", TARGETS)],
});

impl Overlay {
    /// Creates an overlay that changes only the environment.
    pub fn environment(name: &str) -> Self {
        Self { environment: name.into(), services: Vec::new(), text: String::new() }
    }

    /// Parses and checks an overlay.
    pub fn parse(text: &str) -> Result<Self> {
        let mut overlay = check::deserialize::<Self>(text, &SCHEMA, check_services)?;
        overlay.text = text.into();
        Ok(overlay)
    }

    /// Replaces the environment and the targets in a document's text; other text and comments stay.
    pub fn apply(&self, document: &str) -> Result<String> {
        let tree = Source::new(document).and_then(|source| source.tree()).map_err(invalid)?;
        let mut edits = Vec::new();
        if let Some(property) = tree.as_object().and_then(|root| root.get("environment")) {
            edits.push((range(&property.value), format!("\"{}\"", self.environment)));
        }
        if !self.services.is_empty() {
            let overlay_tree =
                Source::new(&self.text).and_then(|source| source.tree()).map_err(invalid)?;
            for service in &self.services {
                let old = find_targets(&tree, &service.name);
                let old = old.ok_or_else(|| invalid(missing_service(&service.name)))?;
                let Some(new) = find_targets(&overlay_tree, &service.name) else { continue };
                edits.push((range(old), self.text[range(new)].to_owned()));
            }
        }
        edits.sort_by_key(|(range, _)| std::cmp::Reverse(range.start));
        let mut text = document.to_owned();
        for (range, new) in edits {
            text.replace_range(range, &new);
        }
        Ok(text)
    }
}

fn check_services(root: &CheckedValue, report: &mut ProblemReport) {
    check_unique(&root.items("services"), "name", report);
}

fn missing_service(name: &str) -> Problem {
    Problem::at_start(&format!("the document has no service `{name}` of the overlay"))
}

fn range(value: &Value) -> std::ops::Range<usize> {
    value.start()..value.end()
}

fn find_targets<'a, 'b>(tree: &'b Value<'a>, name: &str) -> Option<&'b Value<'a>> {
    let services = &tree.as_object()?.get_array("services")?.elements;
    let has_name =
        |object: &&Object| object.get_string("name").is_some_and(|literal| literal.value == name);
    let service = services.iter().filter_map(Value::as_object).find(has_name)?;
    Some(&service.get("targets")?.value)
}
