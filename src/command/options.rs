//! Command-line options shared by several commands, and access to their values.

use clap::{value_parser, Arg, ArgAction, ArgMatches};

use super::Result;
use crate::prelude::*;

/// The flag `--json`.
pub fn json() -> Arg {
    Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print JSON")
}

/// The option `--platform`, the address of the log.
pub fn platform() -> Arg {
    address("platform", "Address of the platform's log").required(true)
}

/// The option `--admin`, the entries to query.
pub fn admin() -> Arg {
    address("admin", "Admin addresses of the entries, separated by commas")
        .action(ArgAction::Append)
        .value_delimiter(',')
}

/// An option with a socket address as its value.
pub fn address(name: &'static str, help: &'static str) -> Arg {
    let parser = value_parser!(SocketAddr);
    Arg::new(name).long(name).value_name("ADDRESS").value_parser(parser).help(help)
}

/// An option with an unsigned integer as its value.
pub fn number(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("NUMBER").value_parser(value_parser!(u64)).help(help)
}

/// An option with a string as its value.
pub fn text(name: &'static str, value_name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value_name).help(help)
}

/// All addresses given for an option; empty if it is absent.
pub fn addresses(matches: &ArgMatches, name: &str) -> Vec<SocketAddr> {
    matches.get_many(name).into_iter().flatten().copied().collect()
}

/// The value of a required address option.
pub fn required_address(matches: &ArgMatches, name: &str) -> SocketAddr {
    *matches.get_one(name).expect("the argument is required")
}

/// The value of a required string argument.
pub fn required_text<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).expect("the argument is required")
}

/// Reads a file; the error names its path.
pub fn read_file(path: &str) -> Result<String> {
    std::fs::read_to_string(path).map_err(|source| Error::File { path: path.into(), source })
}
