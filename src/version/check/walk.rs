//! Walks a syntax tree along a schema.

use std::collections::HashMap;

use jsonc_parser::ast::{Array, Object, ObjectProp, ObjectPropName, Value};
use jsonc_parser::common::Ranged;
use serde_json::Value as Json;

use super::problem::Report;
use super::schema::{Field, Kind, Need, Schema};
use super::source::Source;
use super::text::fits;

/// Most edits between an unknown field and the one that is suggested for it.
const MAX_EDITS: usize = 2;
/// Most characters of a value that a message repeats.
const MAX_SHOWN: usize = 60;

/// One pass over a tree.
pub struct Walk {
    report: Report,
}

impl Walk {
    /// Prepares a pass over the tree of a source.
    pub fn new(source: &Source) -> Self {
        Self { report: Report::new(source.lines.clone()) }
    }

    /// Checks the tree and returns it with defaults filled in.
    pub fn run(mut self, tree: &Value, schema: &Schema) -> (Json, Report) {
        self.report.place("", tree.start());
        let json = match tree {
            Value::Object(object) => self.object(object, schema, ""),
            other => self.refuse(other, "", "an object"),
        };
        (json, self.report)
    }

    fn value(&mut self, value: &Value, kind: &Kind, path: &str) -> Json {
        self.report.place(path, value.start());
        match (kind, value) {
            (Kind::Object(schema), Value::Object(object)) => self.object(object, schema, path),
            (Kind::List { of, min, max }, Value::Array(array)) => {
                if !(*min..=*max).contains(&array.elements.len()) {
                    let found = format!("{}, found {}", kind.describe(), array.elements.len());
                    self.report.add(path, format!("expected {found}"));
                }
                self.list(array, of, path)
            }
            (Kind::Boolean, Value::BooleanLit(literal)) => literal.value.into(),
            (Kind::Integer { min, max }, Value::NumberLit(literal)) => {
                match literal.value.parse::<u64>() {
                    Ok(number) if (*min..=*max).contains(&number) => number.into(),
                    Ok(_) | Err(_) => self.refuse(value, path, &kind.describe()),
                }
            }
            (Kind::Number { min, max }, Value::NumberLit(literal)) => {
                match literal.value.parse::<f64>() {
                    Ok(number) if (*min..=*max).contains(&number) => number.into(),
                    Ok(_) | Err(_) => self.refuse(value, path, &kind.describe()),
                }
            }
            (_, Value::StringLit(literal)) if fits(kind, &literal.value) => {
                literal.value.as_ref().into()
            }
            _ => self.refuse(value, path, &kind.describe()),
        }
    }

    fn list(&mut self, array: &Array, of: &Kind, path: &str) -> Json {
        let items = array.elements.iter().enumerate();
        items.map(|(index, item)| self.value(item, of, &format!("{path}[{index}]"))).collect()
    }

    fn object(&mut self, object: &Object, schema: &Schema, path: &str) -> Json {
        let mut first: HashMap<&str, &ObjectProp> = HashMap::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let known = schema.fields.iter().any(|field| field.name == name);
            let start = start(&property.name);
            if !known {
                let path = join(path, &shorten(name));
                self.report.add_at(start, &path, unknown(name, schema));
            } else if first.contains_key(name) {
                let expected = "expected each field once".into();
                self.report.add_at(start, &join(path, name), expected);
            } else {
                first.insert(name, property);
            }
        }
        let mut json = serde_json::Map::new();
        for field in schema.fields {
            let path = join(path, field.name);
            let value = match first.get(field.name) {
                Some(property) => Some(self.value(&property.value, &field.kind, &path)),
                None => self.missing(object, field, &path),
            };
            json.extend(value.map(|value| (field.name.to_owned(), value)));
        }
        Json::Object(json)
    }

    fn missing(&mut self, object: &Object, field: &Field, path: &str) -> Option<Json> {
        match field.need {
            Need::Default(json) => serde_json::from_str(json).ok(),
            Need::Optional => None,
            Need::Required => {
                let expected = format!("expected {}, found nothing", field.kind.describe());
                self.report.add_at(object.start(), path, expected);
                None
            }
        }
    }

    fn refuse(&mut self, value: &Value, path: &str, expected: &str) -> Json {
        let expected = format!("expected {expected}, found {}", show(value));
        self.report.add_at(value.start(), path, expected);
        Json::Null
    }
}

fn start(name: &ObjectPropName) -> usize {
    match name {
        ObjectPropName::String(literal) => literal.range.start,
        ObjectPropName::Word(literal) => literal.range.start,
    }
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        return name.into();
    }
    format!("{path}.{name}")
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
