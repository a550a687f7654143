//! Stand-ins of the platform for tests, benchmarks and the demo.

pub mod log;
pub mod service;
pub mod target;
