//! `cornellink-demo`: runs entries, stand-in targets and a stand-in log in one process on loopback.

pub mod counters;
pub mod deployment;
pub mod table;
pub mod traffic;

use clap::{Arg, ArgAction, Command};
use deployment::{Deployment, HUNGARY};

use crate::prelude::*;

/// The result of an operation of the demo.
pub type Result<T> = std::result::Result<T, Error>;

/// Runs the program `cornellink-demo`.
pub fn run() -> eyre::Result<()> {
    let matches = command().get_matches();
    let deployment = Deployment::start(HUNGARY)?;
    let results = traffic::send(&deployment)?;
    let counters = counters::read(&deployment.admins)?;
    table::print(&results, &deployment, &counters, matches.get_flag("json"));
    if matches.get_flag("serve") {
        deployment.print_addresses();
        loop {
            std::thread::park();
        }
    }
    eyre::ensure!(
        results.bad_responses == 0,
        "`{}` answers were wrong or missing",
        results.bad_responses
    );
    eyre::ensure!(
        deployment.duplicate_runs() == 0,
        "`{}` keyed calls ran twice",
        deployment.duplicate_runs()
    );
    Ok(())
}

fn command() -> Command {
    Command::new("cornellink-demo")
        .about("Runs the whole path in one process on loopback and prints what happened")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(
            "Examples:\n  cornellink-demo\n  cornellink-demo --json\n  cornellink-demo --serve",
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("End the output with one JSON object"),
        )
        .arg(
            Arg::new("serve")
                .long("serve")
                .action(ArgAction::SetTrue)
                .help("Stay up after the calls"),
        )
}
