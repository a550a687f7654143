//! A load balancer for targets whose load shifts in milliseconds.
//!
//! Modules are laid out by life span: what lives for a request, a connection, a version of the
//! document, or the process. `docs/design.md` describes how they work together.

pub mod code;
pub mod command;
pub mod connection;
pub mod demo;
pub mod edge;
pub mod error;
pub mod load;
pub mod prelude;
pub mod process;
pub mod request;
pub mod version;
