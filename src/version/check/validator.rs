//! Validates a syntax tree against a schema.

use std::fmt::Write;

use jsonc_parser::ast::{Array, Object, ObjectProp, ObjectPropName, Value};
use jsonc_parser::common::Ranged;
use serde_json::Value as Json;

use super::problem::ProblemReport;
use super::schema::{Field, Kind, Presence, Schema};
use super::source::LineIndex;
use super::string::accepts_string;

/// Maximum edit distance between an unknown field and the suggested one.
const MAX_EDIT_DISTANCE: usize = 2;
/// Maximum number of characters of a value that a message quotes.
const MAX_QUOTED_CHARS: usize = 60;

/// One pass over a syntax tree that collects problems and fills in defaults.
pub struct Validator<'a> {
    tree: &'a Value<'a>,
    /// Path of the value that is being checked.
    path: String,
    report: ProblemReport<'a>,
}

impl<'a> Validator<'a> {
    pub fn new(lines: &'a LineIndex<'a>, tree: &'a Value<'a>) -> Self {
        Self { tree, path: String::new(), report: ProblemReport::new(lines, tree) }
    }

    /// Checks the tree and returns it as JSON with defaults filled in.
    pub fn validate(mut self, schema: &Schema) -> (Json, ProblemReport<'a>) {
        let json = match self.tree {
            Value::Object(object) => self.check_object(object, schema),
            other => self.report_unexpected(other, "an object"),
        };
        (json, self.report)
    }

    fn check_value(&mut self, value: &Value, kind: &Kind) -> Json {
        match (kind, value) {
            (Kind::Object(schema), Value::Object(object)) => self.check_object(object, schema),
            (Kind::List { of, min, max }, Value::Array(array)) => {
                let found = array.elements.len();
                if !(*min..=*max).contains(&found) {
                    let expected = format!("expected {}, found {found}", kind.describe());
                    self.report.add_at(value.start(), &self.path, expected);
                }
                self.check_list(array, of)
            }
            (Kind::Boolean, Value::BooleanLit(literal)) => literal.value.into(),
            (Kind::Integer { min, max }, Value::NumberLit(literal)) => {
                match literal.value.parse::<u64>() {
                    Ok(number) if (*min..=*max).contains(&number) => number.into(),
                    Ok(_) | Err(_) => self.report_unexpected(value, &kind.describe()),
                }
            }
            (Kind::Time { min_ms, max_ms }, Value::NumberLit(literal)) => {
                match literal.value.parse::<f64>() {
                    Ok(millis) if (*min_ms as f64..=*max_ms as f64).contains(&millis) => {
                        (millis as u64).into()
                    }
                    Ok(_) | Err(_) => self.report_unexpected(value, &kind.describe()),
                }
            }
            (Kind::Number { min, max }, Value::NumberLit(literal)) => {
                match literal.value.parse::<f64>() {
                    Ok(number) if (*min..=*max).contains(&number) => number.into(),
                    Ok(_) | Err(_) => self.report_unexpected(value, &kind.describe()),
                }
            }
            (_, Value::StringLit(literal)) if accepts_string(kind, &literal.value) => {
                literal.value.as_ref().into()
            }
            _ => self.report_unexpected(value, &kind.describe()),
        }
    }

    fn check_list(&mut self, array: &Array, item_kind: &Kind) -> Json {
        let path_length = self.path.len();
        let mut items = Vec::with_capacity(array.elements.len());
        for (index, item) in array.elements.iter().enumerate() {
            // Writing to a string cannot fail.
            let _ = write!(self.path, "[{index}]");
            items.push(self.check_value(item, item_kind));
            self.path.truncate(path_length);
        }
        Json::Array(items)
    }

    fn check_object(&mut self, object: &Object, schema: &Schema) -> Json {
        let mut found: Vec<Option<&ObjectProp>> = vec![None; schema.fields.len()];
        for property in &object.properties {
            let name = property.name.as_str();
            let index = schema.fields.iter().position(|field| field.name == name);
            match index.map(|index| &mut found[index]) {
                None => self.report_name(property, unknown_field_message(name, schema)),
                Some(Some(_)) => self.report_name(property, "expected each field once".into()),
                Some(slot) => *slot = Some(property),
            }
        }
        let path_length = self.path.len();
        let mut json = serde_json::Map::new();
        for (field, property) in schema.fields.iter().zip(found) {
            if path_length > 0 {
                self.path.push('.');
            }
            self.path.push_str(field.name);
            let value = match property {
                Some(property) => Some(self.check_value(&property.value, &field.kind)),
                None => self.default_or_report(object, field),
            };
            json.extend(value.map(|value| (field.name.to_owned(), value)));
            self.path.truncate(path_length);
        }
        Json::Object(json)
    }

    fn report_name(&mut self, property: &ObjectProp, expected: String) {
        let name = abbreviate(property.name.as_str());
        let separator = if self.path.is_empty() { "" } else { "." };
        let path = format!("{}{separator}{name}", self.path);
        self.report.add_at(name_offset(&property.name), &path, expected);
    }

    fn default_or_report(&mut self, object: &Object, field: &Field) -> Option<Json> {
        match field.presence {
            Presence::Default(json) => serde_json::from_str(json).ok(),
            Presence::Optional => None,
            Presence::Required => {
                let expected = format!("expected {}, found nothing", field.kind.describe());
                self.report.add_at(object.start(), &self.path, expected);
                None
            }
        }
    }

    fn report_unexpected(&mut self, value: &Value, expected: &str) -> Json {
        let expected = format!("expected {expected}, found {}", describe_found(value));
        self.report.add_at(value.start(), &self.path, expected);
        Json::Null
    }
}

fn name_offset(name: &ObjectPropName) -> usize {
    match name {
        ObjectPropName::String(literal) => literal.range.start,
        ObjectPropName::Word(literal) => literal.range.start,
    }
}

fn unknown_field_message(name: &str, schema: &Schema) -> String {
    let lower = abbreviate(name).to_lowercase();
    let distance = |field: &Field| strsim::osa_distance(&lower, &field.name.to_lowercase());
    let closest = schema.fields.iter().min_by_key(|field| distance(field));
    match closest.filter(|field| distance(field) <= MAX_EDIT_DISTANCE.min(field.name.len() / 2)) {
        Some(field) => format!("unknown field, did you mean `{}`?", field.name),
        None => {
            let names: Vec<&str> = schema.fields.iter().map(|field| field.name).collect();
            format!("unknown field, expected one of `{}`", names.join("`, `"))
        }
    }
}

fn describe_found(value: &Value) -> String {
    match value {
        Value::Array(array) => format!("a list of {}", array.elements.len()),
        Value::BooleanLit(literal) => format!("`{}`", literal.value),
        Value::NullKeyword(_) => "`null`".into(),
        Value::NumberLit(literal) => format!("`{}`", abbreviate(literal.value)),
        Value::Object(_) => "an object".into(),
        Value::StringLit(literal) => format!("\"{}\"", abbreviate(&literal.value)),
    }
}

/// Truncates a text for a message and escapes control characters.
fn abbreviate(text: &str) -> String {
    text.chars().take(MAX_QUOTED_CHARS).flat_map(char::escape_debug).collect()
}
