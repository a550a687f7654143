//! `cornellink history`.

use clap::{ArgMatches, Command};
use jiff::Timestamp;

use super::exit::{self, Exit};
use super::table::Table;
use super::timeline::{Row, Timeline};
use super::{options, Result};
use crate::process::runtime::block_on;
use crate::version::difference::difference;

/// Describes the command.
pub fn command() -> Command {
    Command::new("history")
        .about("Lists the records of the stream `config` and what became of them")
        .arg(options::platform())
        .arg(options::admin())
        .arg(options::number("show", "Print the document of this revision instead"))
        .arg(options::number("changes", "Print what this revision changed instead"))
        .arg(options::json())
        .after_help(format!(
            "Examples:\n  cornellink history --platform 10.1.0.2:7000\n  \
             cornellink history --platform 10.1.0.2:7000 --show 41 > in-force.jsonc\n  \
             cornellink history --platform 10.1.0.2:7000 --changes 41\n\n{}",
            exit::HELP
        ))
}

/// Runs the command.
pub fn run(matches: &ArgMatches) -> Result<Exit> {
    let platform = options::required_address(matches, "platform");
    let admins = options::addresses(matches, "admin");
    let timeline = block_on(Timeline::read(platform, &admins))??;
    if let Some(number) = matches.get_one::<u64>("show") {
        return Ok(show(&timeline, *number));
    }
    if let Some(number) = matches.get_one::<u64>("changes") {
        return Ok(changes(&timeline, *number));
    }
    if matches.get_flag("json") {
        println!("{}", serde_json::json!(timeline.rows));
    } else {
        print(&timeline.rows);
    }
    Ok(Exit::Done)
}

fn print(rows: &[Row]) {
    let header = ["OFFSET", "TIME", "KIND", "AUTHOR", "REPLACES", "VERDICT", "IN FORCE"];
    let mut table = Table::new(&header);
    for row in rows {
        let time = Timestamp::from_millisecond(row.time as i64).unwrap_or_default();
        table.push(vec![
            row.offset.to_string(),
            time.to_string(),
            row.kind.into(),
            row.author.clone(),
            row.replaces.map_or("-".into(), |number| number.to_string()),
            serde_json::json!(row.verdict).as_str().unwrap_or_default().into(),
            row.revision.to_string(),
        ]);
    }
    table.print();
}

fn show(timeline: &Timeline, number: u64) -> Exit {
    let Some(revision) = timeline.revisions.get(&number) else { return missing(number) };
    print!("{}", revision.text);
    Exit::Done
}

fn changes(timeline: &Timeline, number: u64) -> Exit {
    let Some(revision) = timeline.revisions.get(&number) else { return missing(number) };
    let before = timeline.revisions.get(&number.saturating_sub(1));
    if before.is_none() && number > 1 {
        return missing(number - 1);
    }
    let before = before.map(|revision| &revision.document);
    super::diff::print(&difference(before, &revision.document));
    Exit::Done
}

fn missing(number: u64) -> Exit {
    println!("the log no longer keeps revision `{number}`");
    Exit::Refused
}
