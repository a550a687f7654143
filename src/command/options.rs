//! Options that several commands share.

use clap::{value_parser, Arg, ArgAction, ArgMatches};

use super::Result;
use crate::prelude::*;

/// `--json`.
pub fn json() -> Arg {
    Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print JSON")
}

/// `--platform`, the address of the log.
pub fn platform() -> Arg {
    address("platform", "Address of the platform's log").required(true)
}

/// `--admin`, the entries to ask.
pub fn admin() -> Arg {
    address("admin", "Admin addresses of the entries, separated by commas")
        .action(ArgAction::Append)
        .value_delimiter(',')
}

/// An option that takes an address.
pub fn address(name: &'static str, help: &'static str) -> Arg {
    let parser = value_parser!(SocketAddr);
    Arg::new(name).long(name).value_name("ADDRESS").value_parser(parser).help(help)
}

/// An option that takes a whole number.
pub fn number(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("NUMBER").value_parser(value_parser!(u64)).help(help)
}

/// An option that takes a text.
pub fn text(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).help(help)
}

/// The addresses in an option.
pub fn addresses(matches: &ArgMatches, name: &str) -> Vec<SocketAddr> {
    matches.get_many(name).into_iter().flatten().copied().collect()
}

/// The value of a required address.
pub fn required_address(matches: &ArgMatches, name: &str) -> SocketAddr {
    *matches.get_one(name).expect("the argument is required")
}

/// The value of a required text.
pub fn required<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).expect("the argument is required")
}

/// Reads a file.
pub fn read_file(path: &str) -> Result<String> {
    std::fs::read_to_string(path).map_err(|source| Error::File { path: path.into(), source })
}
