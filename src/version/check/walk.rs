//! Walks a syntax tree along a schema.

use std::fmt::Write;

use jsonc_parser::ast::{Array, Object, ObjectProp, ObjectPropName, Value};
use jsonc_parser::common::Ranged;
use serde_json::Value as Json;

use super::problem::Report;
use super::schema::{Field, Kind, Need, Schema};
use super::source::Lines;
use super::text::fits;

/// Most edits between an unknown field and the one that is suggested for it.
const MAX_EDITS: usize = 2;
/// Most characters of a value that a message repeats.
const MAX_SHOWN: usize = 60;

/// One pass over a tree.
pub struct Walk<'a> {
    tree: &'a Value<'a>,
    /// Path of the value under way.
    path: String,
    report: Report<'a>,
}

impl<'a> Walk<'a> {
    /// Prepares a pass.
    pub fn new(lines: &'a Lines<'a>, tree: &'a Value<'a>) -> Self {
        Self { tree, path: String::new(), report: Report::new(lines, tree) }
    }

    /// Checks the tree and returns it with defaults filled in.
    pub fn run(mut self, schema: &Schema) -> (Json, Report<'a>) {
        let json = match self.tree {
            Value::Object(object) => self.object(object, schema),
            other => self.refuse(other, "an object"),
        };
        (json, self.report)
    }

    fn value(&mut self, value: &Value, kind: &Kind) -> Json {
        match (kind, value) {
            (Kind::Object(schema), Value::Object(object)) => self.object(object, schema),
            (Kind::List { of, min, max }, Value::Array(array)) => {
                let found = array.elements.len();
                if !(*min..=*max).contains(&found) {
                    let expected = format!("expected {}, found {found}", kind.describe());
                    self.report.add_at(value.start(), &self.path, expected);
                }
                self.list(array, of)
            }
            (Kind::Boolean, Value::BooleanLit(literal)) => literal.value.into(),
            (Kind::Integer { min, max }, Value::NumberLit(literal)) => {
                match literal.value.parse::<u64>() {
                    Ok(number) if (*min..=*max).contains(&number) => number.into(),
                    Ok(_) | Err(_) => self.refuse(value, &kind.describe()),
                }
            }
            (Kind::Number { min, max }, Value::NumberLit(literal)) => {
                match literal.value.parse::<f64>() {
                    Ok(number) if (*min..=*max).contains(&number) => number.into(),
                    Ok(_) | Err(_) => self.refuse(value, &kind.describe()),
                }
            }
            (_, Value::StringLit(literal)) if fits(kind, &literal.value) => {
                literal.value.as_ref().into()
            }
            _ => self.refuse(value, &kind.describe()),
        }
    }

    fn list(&mut self, array: &Array, of: &Kind) -> Json {
        let length = self.path.len();
        let mut items = Vec::with_capacity(array.elements.len());
        for (index, item) in array.elements.iter().enumerate() {
            // Writing to a string cannot fail.
            let _ = write!(self.path, "[{index}]");
            items.push(self.value(item, of));
            self.path.truncate(length);
        }
        Json::Array(items)
    }

    fn object(&mut self, object: &Object, schema: &Schema) -> Json {
        let mut found: Vec<Option<&ObjectProp>> = vec![None; schema.fields.len()];
        for property in &object.properties {
            let name = property.name.as_str();
            let place = schema.fields.iter().position(|field| field.name == name);
            match place.map(|place| &mut found[place]) {
                None => self.refuse_name(property, unknown(name, schema)),
                Some(Some(_)) => self.refuse_name(property, "expected each field once".into()),
                Some(first) => *first = Some(property),
            }
        }
        let length = self.path.len();
        let mut json = serde_json::Map::new();
        for (field, property) in schema.fields.iter().zip(found) {
            if length > 0 {
                self.path.push('.');
            }
            self.path.push_str(field.name);
            let value = match property {
                Some(property) => Some(self.value(&property.value, &field.kind)),
                None => self.missing(object, field),
            };
            json.extend(value.map(|value| (field.name.to_owned(), value)));
            self.path.truncate(length);
        }
        Json::Object(json)
    }

    fn refuse_name(&mut self, property: &ObjectProp, expected: String) {
        let name = shorten(property.name.as_str());
        let separator = if self.path.is_empty() { "" } else { "." };
        let path = format!("{}{separator}{name}", self.path);
        self.report.add_at(start(&property.name), &path, expected);
    }

    fn missing(&mut self, object: &Object, field: &Field) -> Option<Json> {
        match field.need {
            Need::Default(json) => serde_json::from_str(json).ok(),
            Need::Optional => None,
            Need::Required => {
                let expected = format!("expected {}, found nothing", field.kind.describe());
                self.report.add_at(object.start(), &self.path, expected);
                None
            }
        }
    }

    fn refuse(&mut self, value: &Value, expected: &str) -> Json {
        let expected = format!("expected {expected}, found {}", show(value));
        self.report.add_at(value.start(), &self.path, expected);
        Json::Null
    }
}

fn start(name: &ObjectPropName) -> usize {
    match name {
        ObjectPropName::String(literal) => literal.range.start,
        ObjectPropName::Word(literal) => literal.range.start,
    }
}

fn unknown(name: &str, schema: &Schema) -> String {
    let lower = shorten(name).to_lowercase();
    let distance = |field: &Field| strsim::osa_distance(&lower, &field.name.to_lowercase());
    let closest = schema.fields.iter().min_by_key(|field| distance(field));
    match closest.filter(|field| distance(field) <= MAX_EDITS.min(field.name.len() / 2)) {
        Some(field) => format!("unknown field, did you mean `{}`?", field.name),
        None => {
            let names: Vec<&str> = schema.fields.iter().map(|field| field.name).collect();
            format!("unknown field, expected one of `{}`", names.join("`, `"))
        }
    }
}

fn show(value: &Value) -> String {
    match value {
        Value::Array(array) => format!("a list of {}", array.elements.len()),
        Value::BooleanLit(literal) => format!("`{}`", literal.value),
        Value::NullKeyword(_) => "`null`".into(),
        Value::NumberLit(literal) => format!("`{}`", shorten(literal.value)),
        Value::Object(_) => "an object".into(),
        Value::StringLit(literal) => format!("\"{}\"", shorten(&literal.value)),
    }
}

fn shorten(text: &str) -> String {
    text.chars().take(MAX_SHOWN).flat_map(char::escape_debug).collect()
}
