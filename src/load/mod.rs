//! The load tool: generates, sends, judges and compares traces.

pub mod code_counts;
pub mod compare;
pub mod generate;
pub mod outcome;
pub mod plot;
pub mod report;
pub mod row;
pub mod scenario;
pub mod send;
pub mod spread;
pub mod trace;
pub mod ui;

use crate::prelude::*;

/// The result of a part of the load tool.
pub type Result<T> = std::result::Result<T, Error>;

/// Runs the load tool.
pub fn run() -> eyre::Result<std::process::ExitCode> {
    ui::run()
}
