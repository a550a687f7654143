//! `cornellink diff`: compares the parsed content of two documents.

use clap::{Arg, ArgMatches, Command};

use super::exit::{self, Exit};
use super::{options, Result};
use crate::version::difference::{difference, Change};
use crate::version::parse::parse;

pub fn command() -> Command {
    Command::new("diff")
        .about("Shows what two documents mean differently, whatever their layout and comments")
        .arg(Arg::new("old").required(true).help("Path of the older document"))
        .arg(Arg::new("new").required(true).help("Path of the newer document"))
        .arg(options::json())
        .after_help(format!(
            "Examples:\n  cornellink diff in-force.jsonc edited.jsonc\n  \
             cornellink diff --json a.jsonc b.jsonc | jq '.[].part'\n\n{}",
            exit::HELP
        ))
}

pub fn run(matches: &ArgMatches) -> Result<Exit> {
    let read = |name| parse(&options::read_file(options::required_text(matches, name))?);
    let (old, new) = (read("old")?, read("new")?);
    let changes = difference(Some(&old), &new);
    if matches.get_flag("json") {
        println!("{}", serde_json::json!(changes));
    } else {
        print(&changes);
    }
    Ok(if changes.is_empty() { Exit::Done } else { Exit::Differs })
}

/// Prints one change per line.
pub fn print(changes: &[Change]) {
    if changes.is_empty() {
        println!("no differences");
    }
    for change in changes {
        println!("{change}");
    }
}
