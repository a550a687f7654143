//! What is wrong with a text, and where.

use std::fmt::{self, Display, Formatter};

use jsonc_parser::ast::{Array, Value};
use jsonc_parser::common::Ranged;
use serde::Serialize;

use super::limits::MAX_PROBLEMS;
use super::source::Lines;
use crate::prelude::*;

/// One problem of a document or a settings file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// Line, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
    /// Path of the value, such as `services[2].classes[0].deadlineMs`; empty for the whole text.
    pub path: String,
    /// What was expected, and what was found.
    pub expected: String,
}

impl Problem {
    /// A problem of the text as a whole.
    pub fn at_start(expected: &str) -> Self {
        Self { line: 1, column: 1, path: String::new(), expected: expected.into() }
    }
}

impl Display for Problem {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.line, self.column)?;
        if !self.path.is_empty() {
            write!(f, "`{}`: ", self.path)?;
        }
        f.write_str(&self.expected)
    }
}

/// The problems found so far in a tree.
pub struct Report<'a> {
    lines: &'a Lines<'a>,
    tree: &'a Value<'a>,
    problems: Vec<(usize, Problem)>,
    more: usize,
}

impl<'a> Report<'a> {
    /// Creates an empty report.
    pub fn new(lines: &'a Lines<'a>, tree: &'a Value<'a>) -> Self {
        Self { lines, tree, problems: Vec::new(), more: 0 }
    }

    /// Adds a problem at a byte offset.
    pub fn add_at(&mut self, offset: usize, path: &str, expected: String) {
        if self.problems.len() == MAX_PROBLEMS {
            self.more += 1;
            return;
        }
        let (line, column) = self.lines.position(offset);
        self.problems.push((offset, Problem { line, column, path: path.into(), expected }));
    }

    /// Adds a problem of the value at a path.
    ///
    /// A value that the text leaves to its default takes the place of the object around it.
    pub fn add(&mut self, path: &str, expected: String) {
        self.add_at(self.offset(path), path, expected);
    }

    /// Line of the value at a path, to refer to it from another problem.
    pub fn line(&self, path: &str) -> usize {
        self.lines.position(self.offset(path)).0
    }

    /// Finds a value by its path; looking it up here is cheaper than noting the offsets of all.
    fn offset(&self, path: &str) -> usize {
        let mut value = self.tree;
        for step in path.split(['.', '[']) {
            let inner = match step.strip_suffix(']') {
                Some(index) => value
                    .as_array()
                    .zip(index.parse().ok())
                    .and_then(|(array, index): (&Array, usize)| array.elements.get(index)),
                None => value.as_object().and_then(|object| object.get(step)).map(|p| &p.value),
            };
            let Some(inner) = inner else { break };
            value = inner;
        }
        value.start()
    }

    /// All problems in the order of the text, if there are any.
    pub fn into_result(mut self) -> super::Result<()> {
        if self.problems.is_empty() {
            return Ok(());
        }
        self.problems.sort_by_key(|(offset, _)| *offset);
        let mut problems: Vec<Problem> =
            self.problems.into_iter().map(|(_, problem)| problem).collect();
        if self.more > 0 {
            let text = format!("`{}` more problems are not listed", self.more);
            problems.push(Problem::at_start(&text));
        }
        Err(Error::Invalid { problems })
    }
}
