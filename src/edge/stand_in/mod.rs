//! Stand-ins of the platform for tests, benchmarks and the demo.

pub mod directory;
pub mod host;
pub mod hosted;
pub mod log;
pub mod service;
pub mod target;
