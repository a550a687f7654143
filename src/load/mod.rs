//! `cornellink-load`: generates traces, sends them, checks the results and compares reports.

pub mod class_report;
pub mod cli;
pub mod code_counts;
pub mod compare;
pub mod generate;
pub mod outcome;
pub mod percentiles;
pub mod plot;
pub mod report;
pub mod scenario;
pub mod send;
pub mod trace;

use crate::prelude::*;

/// The result of an operation of the load tool.
pub type Result<T> = std::result::Result<T, Error>;

/// Runs the program `cornellink-load`.
pub fn run() -> eyre::Result<std::process::ExitCode> {
    cli::run()
}
