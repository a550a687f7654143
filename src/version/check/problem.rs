//! Problems of a text with their positions.

use std::fmt::{self, Display, Formatter};

use jsonc_parser::ast::{Array, Value};
use jsonc_parser::common::Ranged;
use serde::Serialize;

use super::limits::MAX_PROBLEMS;
use super::source::LineIndex;
use crate::prelude::*;

/// A problem of a document, an overlay or a settings file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// 1-based.
    pub line: usize,
    /// 1-based, in characters.
    pub column: usize,
    /// Path of the value, such as `services[2].classes[0].deadlineMs`; empty for the whole text.
    pub path: String,
    /// Message that describes the expected and the found value.
    pub expected: String,
}

impl Problem {
    /// Whether the problem lies in a field of the root object.
    pub fn concerns(&self, field: &str) -> bool {
        self.path.split(['.', '[']).next() == Some(field)
    }

    /// A problem of the whole text, reported at its start.
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

/// Collects the problems of a syntax tree.
pub struct ProblemReport<'a> {
    lines: &'a LineIndex<'a>,
    tree: &'a Value<'a>,
    problems: Vec<(usize, Problem)>,
    /// Number of problems beyond `MAX_PROBLEMS`, which are only counted.
    unlisted: usize,
}

impl<'a> ProblemReport<'a> {
    pub fn new(lines: &'a LineIndex<'a>, tree: &'a Value<'a>) -> Self {
        Self { lines, tree, problems: Vec::new(), unlisted: 0 }
    }

    /// Adds a problem at a byte offset.
    pub fn add_at(&mut self, offset: usize, path: &str, expected: String) {
        if self.problems.len() == MAX_PROBLEMS {
            self.unlisted += 1;
            return;
        }
        let (line, column) = self.lines.position(offset);
        self.problems.push((offset, Problem { line, column, path: path.into(), expected }));
    }

    /// Adds a problem of the value at a path.
    ///
    /// A value that the text omits, because it has a default, is reported at the enclosing object.
    pub fn add(&mut self, path: &str, expected: String) {
        self.add_at(self.offset_of(path), path, expected);
    }

    /// Line of the value at a path, for a reference in the message of another problem.
    pub fn line_of(&self, path: &str) -> usize {
        self.lines.position(self.offset_of(path)).0
    }

    /// Byte offset of the value at a path.
    ///
    /// Looking it up for each problem is cheaper than storing the offsets of all values.
    fn offset_of(&self, path: &str) -> usize {
        let mut value = self.tree;
        for segment in path.split(['.', '[']) {
            let inner = match segment.strip_suffix(']') {
                Some(index) => value
                    .as_array()
                    .zip(index.parse().ok())
                    .and_then(|(array, index): (&Array, usize)| array.elements.get(index)),
                None => value
                    .as_object()
                    .and_then(|object| object.get(segment))
                    .map(|property| &property.value),
            };
            let Some(inner) = inner else { break };
            value = inner;
        }
        value.start()
    }

    /// Returns all problems, ordered by position, as an error; `Ok` if there are none.
    pub fn into_result(self) -> super::Result<()> {
        match self.into_problems() {
            problems if problems.is_empty() => Ok(()),
            problems => Err(Error::Invalid { problems }),
        }
    }

    /// Returns all problems, ordered by position.
    pub fn into_problems(mut self) -> Vec<Problem> {
        self.problems.sort_by_key(|(offset, _)| *offset);
        let mut problems: Vec<Problem> =
            self.problems.into_iter().map(|(_, problem)| problem).collect();
        if self.unlisted > 0 {
            let text = format!("`{}` more problems are not listed", self.unlisted);
            problems.push(Problem::at_start(&text));
        }
        problems
    }
}
