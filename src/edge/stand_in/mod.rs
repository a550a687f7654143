//! In-memory stand-ins for the platform and for targets, for tests, benchmarks, the load generator
//! and the demo.

pub mod directory;
pub mod host;
pub mod hosted;
pub mod log;
pub mod service;
pub mod target;
