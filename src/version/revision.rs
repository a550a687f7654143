//! An accepted document with its number.

use super::document::Document;

/// A document that log order has accepted.
#[derive(Clone, Debug, PartialEq)]
pub struct Revision {
    /// Number of the revision, one more than the one it replaced.
    pub number: u64,
    /// Nonce of the publish record.
    pub nonce: u64,
    pub author: String,
    /// The text as published.
    pub text: String,
    pub document: Document,
}
