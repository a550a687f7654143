//! What is wrong with a text, and where.

use std::collections::HashMap;
use std::fmt::{self, Display, Formatter};

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

/// The problems found so far, and the places of all values.
pub struct Report {
    lines: Lines,
    offsets: HashMap<String, usize>,
    problems: Vec<(usize, Problem)>,
    more: usize,
}

impl Report {
    /// Creates an empty report.
    pub fn new(lines: Lines) -> Self {
        Self { lines, offsets: HashMap::new(), problems: Vec::new(), more: 0 }
    }

    /// Notes the byte offset of the value at a path.
    pub fn place(&mut self, path: &str, offset: usize) {
        self.offsets.insert(path.into(), offset);
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
        let mut known = path;
        let offset = loop {
            match (self.offsets.get(known), known.rfind(['.', '['])) {
                (Some(offset), _) => break *offset,
                (None, Some(end)) => known = &known[..end],
                (None, None) => break self.offsets.get("").copied().unwrap_or(0),
            }
        };
        self.add_at(offset, path, expected);
    }

    /// Line and column of the value at a path, to refer to it from another problem.
    pub fn line(&self, path: &str) -> usize {
        let offset = self.offsets.get(path).copied().unwrap_or(0);
        self.lines.position(offset).0
    }

    /// The empty report, or all problems in the order of the text.
    pub fn into_result(mut self) -> super::Result<Self> {
        if self.problems.is_empty() {
            return Ok(self);
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
