//! Exit codes of the commands.

use std::process::ExitCode;

/// Exit code of a command. clap exits with 2 if the arguments are wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded and found no differences or problems.
    Done = 0,
    /// `diff` found differences, or `status` found an entry that needs attention.
    Differs = 1,
    /// A document, an overlay or a settings file was refused.
    Refused = 3,
    /// The revision in force is not the one to be replaced.
    Conflict = 4,
    /// The document was published but was not in force on every entry before the timeout.
    Pending = 5,
    /// A file, the log or an entry could not be reached. The outcome of a publication may be
    /// unknown.
    Unreachable = 6,
}

/// Help text on exit codes, appended to the help of the commands.
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
