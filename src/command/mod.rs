//! The operators' command line.

pub mod authority;
pub mod key;

use clap::{Arg, ArgMatches, Command};

use crate::code::Code;
use crate::version::parse::parse;

/// Runs the command named on the command line.
pub fn run() -> eyre::Result<()> {
    match command().get_matches().subcommand() {
        Some(("check", matches)) => check(matches),
        Some(("explain", matches)) => explain(matches),
        Some(("key", matches)) => key::run(matches),
        _ => Ok(()),
    }
}

fn command() -> Command {
    Command::new("cornellink")
        .about("Checks, publishes and inspects the documents of cornellink")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .subcommand(
            Command::new("check")
                .about("Checks a document")
                .arg(Arg::new("document").required(true)),
        )
        .subcommand(
            Command::new("explain")
                .about("Explains a result code")
                .arg(Arg::new("code").required(true).value_parser(clap::value_parser!(u16))),
        )
        .subcommand(key::command())
}

fn check(matches: &ArgMatches) -> eyre::Result<()> {
    let path: &String = matches.get_one("document").expect("`document` is required");
    let document = parse(&std::fs::read_to_string(path)?)?;
    println!("`{path}` is valid: {} services", document.services.len());
    Ok(())
}

fn explain(matches: &ArgMatches) -> eyre::Result<()> {
    let number: u16 = *matches.get_one("code").expect("`code` is required");
    let code = Code::from_number(number);
    let code = code.ok_or_else(|| eyre::eyre!("code `{number}` does not exist"))?;
    println!("{number} {}\n{}", code.text(), code.explanation());
    Ok(())
}
