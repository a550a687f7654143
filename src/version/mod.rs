//! Versioned data: documents with their checks and revisions, route tables and registrations.

pub mod check;
pub mod class;
pub mod difference;
pub mod document;
pub mod history;
pub mod keys;
pub mod overlay;
pub mod parse;
pub mod policy;
pub mod publication_buffer;
pub mod record;
pub mod registration;
pub mod revision;
pub mod route;
pub mod route_table;
pub mod schema;
pub mod service;
pub mod verdict;
pub mod wire;
pub mod workspace;
pub mod workspace_table;

use crate::prelude::*;

/// The result of parsing a document, an overlay, a settings file or a route table.
pub type Result<T> = std::result::Result<T, Error>;
