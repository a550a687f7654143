//! Outcomes of the records of the stream `config`.

use serde::Serialize;

/// The outcome of one record, as a reader decides it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "camelCase")]
pub enum Verdict {
    /// The document is in force from this record on.
    Accepted,
    /// The reader had no base and took the revision in force from the renewal.
    Base,
    /// The publication replaces a revision that is not in force.
    Conflict,
    /// The record has no effect.
    Ignored,
    /// The document fails the checks, or its environment or format does not match.
    Invalid,
    /// The renewal is a copy of the revision in force.
    Renewed,
    /// The publication is already in force; it was appended again, as after a lost response.
    Repeated,
    /// The reader has no base yet and cannot decide.
    Undecided,
    /// This version of the program does not support the format of the document.
    UnknownFormat,
}
