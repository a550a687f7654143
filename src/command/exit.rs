//! Exit codes for use in scripts.

use std::process::ExitCode;

/// How a command ended; clap itself exits with 2 on wrong arguments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Done; nothing differs and nothing is wrong.
    Done = 0,
    /// `diff` found differences, or `status` an entry that needs attention.
    Differs = 1,
    /// A document, an overlay or a settings file was refused.
    Refused = 3,
    /// Another revision than the one to be replaced is in force.
    Conflict = 4,
    /// Published, but not in force on every entry within the wait.
    Pending = 5,
    /// A file, the log or an entry could not be reached; the outcome may be unknown.
    Unreachable = 6,
}

/// Explanation of the exit codes for help texts.
pub const HELP: &str = "Exit codes:
  0  done
  1  `diff` found differences, `status` found an entry that needs attention
  2  wrong arguments
  3  a document, an overlay or a settings file was refused
  4  conflict: another revision is in force than the one to be replaced
  5  published, but not in force on every entry within the wait
  6  a file, the log or an entry could not be reached";

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
