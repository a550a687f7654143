//! Revisions of the document.

use super::document::Document;

/// A document that was accepted from the stream `config`.
#[derive(Clone, Debug, PartialEq)]
pub struct Revision {
    /// One more than the number of the revision that it replaced.
    pub number: u64,
    /// Nonce of the publish record.
    pub nonce: u64,
    pub author: String,
    /// Text of the document as published, with comments.
    pub text: String,
    pub document: Document,
}
