//! The `cornellink` command line for operators.

pub mod authority;
pub mod check;
pub mod codes;
pub mod diff;
pub mod entries;
pub mod exit;
pub mod explain;
pub mod fields;
pub mod history;
pub mod key;
pub mod options;
pub mod promote;
pub mod publication;
pub mod publish;
pub mod restore;
pub mod status;
pub mod table;
pub mod timeline;

use std::process::ExitCode;

use clap::Command;

use crate::prelude::*;
use exit::Exit;

/// The result of a command.
pub type Result<T> = std::result::Result<T, Error>;

/// Runs the subcommand given on the command line; an error is printed and sets the exit code.
pub fn run() -> eyre::Result<ExitCode> {
    let matches = command().get_matches();
    let outcome = match matches.subcommand() {
        Some(("check", matches)) => check::run(matches),
        Some(("codes", matches)) => codes::run(matches),
        Some(("diff", matches)) => diff::run(matches),
        Some(("explain", matches)) => explain::run(matches),
        Some(("fields", matches)) => fields::run(matches),
        Some(("history", matches)) => history::run(matches),
        Some(("key", matches)) => key::run(matches),
        Some(("promote", matches)) => promote::run(matches),
        Some(("publish", matches)) => publish::run(matches),
        Some(("restore", matches)) => restore::run(matches),
        Some(("status", matches)) => status::run(matches),
        _ => Ok(Exit::Done),
    };
    let exit = outcome.unwrap_or_else(|error| {
        eprintln!("{error}");
        match error {
            Error::Invalid { .. } | Error::Key { .. } => Exit::Refused,
            _ => Exit::Unreachable,
        }
    });
    Ok(exit.into())
}

fn command() -> Command {
    Command::new("cornellink")
        .about("Checks, publishes and inspects the documents of cornellink")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands([
            check::command(),
            codes::command(),
            diff::command(),
            explain::command(),
            fields::command(),
            history::command(),
            key::command(),
            promote::command(),
            publish::command(),
            restore::command(),
            status::command(),
        ])
        .after_help(exit::HELP)
}
