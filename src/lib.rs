//! A load balancer for targets whose load changes within milliseconds.
//!
//! Most modules are grouped by the lifetime of their state: a request (`request`), a connection
//! (`connection`), a revision of the configuration document (`version`) or the process (`process`).
//! `docs/design.md` describes how they work together.

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
