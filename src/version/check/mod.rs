//! Checks JSON with comments against a schema and reports each problem with its position.
//!
//! A syntax error ends the check, because the rest of the text cannot be parsed; all other problems
//! are reported together.

pub mod checked_value;
pub mod limits;
pub mod paths;
pub mod problem;
pub mod schema;
pub mod source;
mod string;
mod validator;

use serde::de::DeserializeOwned;
use serde_json::Value as Json;

use super::Result;
use crate::prelude::*;
use checked_value::CheckedValue;
use problem::{Problem, ProblemReport};
use schema::{Presence, Schema};
use source::Source;
use validator::Validator;

/// A check across several fields; it also runs if single fields failed the schema check.
pub type CrossFieldCheck = fn(&CheckedValue, &mut ProblemReport);

/// Parses a text, checks it against a schema, fills in the schema's defaults and deserializes it.
pub fn deserialize<T: DeserializeOwned>(
    text: &str,
    schema: &Schema,
    cross_check: CrossFieldCheck,
) -> Result<T> {
    let source = Source::new(text).map_err(invalid)?;
    let tree = source.tree().map_err(invalid)?;
    let (value, mut report) = Validator::new(&source.lines, &tree).validate(schema);
    cross_check(&CheckedValue::root(&value), &mut report);
    report.into_result()?;
    serde_json::from_value(value).map_err(|error| invalid(Problem::at_start(&error.to_string())))
}

/// Parses a text like [`deserialize`], but replaces the fields of the root object that have problems:
/// by those of `fallback`, or else by the schema's defaults. Returns the problems beside the value.
///
/// # Errors
///
/// The text cannot be parsed, a required field has a problem and no replacement, or the fields
/// contradict each other.
pub fn deserialize_usable<T: DeserializeOwned>(
    text: &str,
    schema: &Schema,
    cross_check: CrossFieldCheck,
    fallback: &Json,
) -> Result<(T, Vec<Problem>)> {
    let source = Source::new(text).map_err(invalid)?;
    let tree = source.tree().map_err(invalid)?;
    let (mut value, report) = Validator::new(&source.lines, &tree).validate(schema);
    let problems = report.into_problems();
    let Some(object) = value.as_object_mut() else { return Err(Error::Invalid { problems }) };
    for field in schema.fields {
        if !problems.iter().any(|problem| problem.concerns(field.name)) {
            continue;
        }
        let replacement = match (fallback.get(field.name), &field.presence) {
            (Some(value), _) => Some(value.clone()),
            (None, Presence::Default(json)) => serde_json::from_str(json).ok(),
            (None, Presence::Optional) => None,
            (None, Presence::Required) => return Err(Error::Invalid { problems }),
        };
        match replacement {
            Some(replacement) => object.insert(field.name.to_owned(), replacement),
            None => object.remove(field.name),
        };
    }
    let mut report = ProblemReport::new(&source.lines, &tree);
    cross_check(&CheckedValue::root(&value), &mut report);
    report.into_result()?;
    let value = serde_json::from_value(value)
        .map_err(|error| invalid(Problem::at_start(&error.to_string())))?;
    Ok((value, problems))
}

/// Reads an unsigned integer field of the root object without checking the rest of the text.
pub fn root_integer(text: &str, field: &str) -> Option<u64> {
    let source = Source::new(text).ok()?;
    let tree = source.tree().ok()?;
    tree.as_object()?.get_number(field)?.value.parse().ok()
}

/// Wraps a single problem in an error.
pub(super) fn invalid(problem: Problem) -> Error {
    Error::Invalid { problems: vec![problem] }
}
