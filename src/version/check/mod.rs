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

use super::Result;
use crate::prelude::*;
use checked_value::CheckedValue;
use problem::{Problem, ProblemReport};
use schema::Schema;
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
