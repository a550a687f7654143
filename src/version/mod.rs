//! What lives for one version of the document.

pub mod check;
pub mod class;
pub mod difference;
pub mod document;
pub mod history;
pub mod keys;
pub mod overlay;
pub mod parse;
pub mod policy;
pub mod record;
pub mod registration;
pub mod revision;
pub mod route;
pub mod route_table;
pub mod run;
pub mod schema;
pub mod service;
pub mod verdict;
pub mod wire;
pub mod workspace;

use crate::prelude::*;

/// The result of reading a document.
pub type Result<T> = std::result::Result<T, Error>;
