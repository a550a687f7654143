//! What became of a record.

use serde::Serialize;

/// The outcome of one record of the stream `config`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "camelCase")]
pub enum Verdict {
    /// The document is in force from here on.
    Accepted,
    /// The renewal gave a reader without a base the revision in force.
    Base,
    /// Another revision was in force than the one to be replaced.
    Conflict,
    /// The record changes nothing.
    Ignored,
    /// The document fails the checks.
    Invalid,
    /// The renewal repeats the revision in force.
    Renewed,
    /// The record repeats the publication that is in force, as after a lost response.
    Repeated,
    /// The reader has no base, so it cannot decide.
    Undecided,
    /// This program does not know the format of the document.
    UnknownFormat,
}
