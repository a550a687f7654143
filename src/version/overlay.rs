//! What one environment has of its own, laid over the document of another.

use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;
use serde::Deserialize;

use super::check::part::Part;
use super::check::problem::{Problem, Report};
use super::check::schema::{Field, Kind, Schema};
use super::check::source::Source;
use super::check::{self, refuse};
use super::parse::check_unique;
use super::schema::TARGETS;
use super::Result;

/// The environment and the targets of a document that is promoted.
#[derive(Deserialize)]
pub struct Overlay {
    pub environment: String,
    services: Vec<Named>,
    /// The overlay itself, whose lists of targets are copied with their comments.
    #[serde(skip)]
    text: String,
}

#[derive(Deserialize)]
struct Named {
    name: String,
}

/// The fields of an overlay.
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
    /// An overlay that changes the environment alone.
    pub fn environment(name: &str) -> Self {
        Self { environment: name.into(), services: Vec::new(), text: String::new() }
    }

    /// Parses and checks an overlay.
    pub fn parse(text: &str) -> Result<Self> {
        let mut overlay = check::read::<Self>(text, &SCHEMA, check_services)?;
        overlay.text = text.into();
        Ok(overlay)
    }

    /// The document's text with the overlay's parts in place of its own; comments stay.
    pub fn apply(&self, document: &str) -> Result<String> {
        let tree = Source::new(document).and_then(|source| source.tree()).map_err(refuse)?;
        let mut edits = Vec::new();
        if let Some(property) = tree.as_object().and_then(|root| root.get("environment")) {
            edits.push((range(&property.value), format!("\"{}\"", self.environment)));
        }
        if !self.services.is_empty() {
            let own = Source::new(&self.text).and_then(|source| source.tree()).map_err(refuse)?;
            for service in &self.services {
                let place = targets(&tree, &service.name);
                let place = place.ok_or_else(|| refuse(missing(&service.name)))?;
                let Some(new) = targets(&own, &service.name) else { continue };
                edits.push((range(place), self.text[range(new)].to_owned()));
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

fn check_services(root: &Part, report: &mut Report) {
    check_unique(&root.items("services"), "name", report);
}

fn missing(name: &str) -> Problem {
    Problem::at_start(&format!("the document has no service `{name}` of the overlay"))
}

fn range(value: &Value) -> std::ops::Range<usize> {
    value.start()..value.end()
}

fn targets<'a, 'b>(tree: &'b Value<'a>, name: &str) -> Option<&'b Value<'a>> {
    let services = &tree.as_object()?.get_array("services")?.elements;
    let is_named =
        |object: &&Object| object.get_string("name").is_some_and(|literal| literal.value == name);
    let service = services.iter().filter_map(Value::as_object).find(is_named)?;
    Some(&service.get("targets")?.value)
}
