//! Checks JSON with comments against a schema and names each problem with its position.
//!
//! A syntax error ends the check, because the rest of the tree is not known; all other problems
//! are reported together.

pub mod limits;
pub mod part;
pub mod paths;
pub mod problem;
pub mod schema;
pub mod source;
mod text;
mod walk;

use serde::de::DeserializeOwned;

use super::Result;
use crate::prelude::*;
use part::Part;
use problem::{Problem, Report};
use schema::Schema;
use source::Source;
use walk::Walk;

/// Checks among the fields of a text, which run even if some fields have problems of their own.
pub type Further = fn(&Part, &mut Report);

/// Reads a value from a text, checks it against a schema and fills in the schema's defaults.
pub fn read<T: DeserializeOwned>(text: &str, schema: &Schema, further: Further) -> Result<T> {
    let source = Source::new(text).map_err(refuse)?;
    let tree = source.tree().map_err(refuse)?;
    let (value, mut report) = Walk::new(&source.lines, &tree).run(schema);
    further(&Part::root(&value), &mut report);
    report.into_result()?;
    serde_json::from_value(value).map_err(|error| refuse(Problem::at_start(&error.to_string())))
}

/// The whole number in a field of the outermost object, if the text has one.
pub fn peek(text: &str, field: &str) -> Option<u64> {
    let source = Source::new(text).ok()?;
    let tree = source.tree().ok()?;
    tree.as_object()?.get_number(field)?.value.parse().ok()
}

/// An error of one problem.
pub(super) fn refuse(problem: Problem) -> Error {
    Error::Invalid { problems: vec![problem] }
}
