//! `cornellink history`: lists the records of the stream `config` and shows past revisions.

use clap::{ArgMatches, Command};
use jiff::Timestamp;

use super::exit::{self, Exit};
use super::table::Table;
use super::timeline::{RecordSummary, Timeline};
use super::{options, Result};
use crate::process::runtime::block_on;
use crate::version::difference::difference;

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

pub fn run(matches: &ArgMatches) -> Result<Exit> {
    let platform = options::required_address(matches, "platform");
    let admins = options::addresses(matches, "admin");
    let timeline = block_on(Timeline::read(platform, &admins))??;
    if let Some(number) = matches.get_one::<u64>("show") {
        return Ok(print_document(&timeline, *number));
    }
    if let Some(number) = matches.get_one::<u64>("changes") {
        return Ok(print_changes(&timeline, *number));
    }
    if matches.get_flag("json") {
        println!("{}", serde_json::json!(timeline.records));
    } else {
        print_records(&timeline.records);
    }
    Ok(Exit::Done)
}

fn print_records(records: &[RecordSummary]) {
    let header = ["OFFSET", "TIME", "KIND", "AUTHOR", "REPLACES", "VERDICT", "IN FORCE"];
    let mut table = Table::new(&header);
    for record in records {
        let time = Timestamp::from_millisecond(record.time as i64).unwrap_or_default();
        table.push(vec![
            record.offset.to_string(),
            time.to_string(),
            record.kind.into(),
            record.author.clone(),
            record.replaces.map_or("-".into(), |number| number.to_string()),
            serde_json::json!(record.verdict).as_str().unwrap_or_default().into(),
            record.revision.to_string(),
        ]);
    }
    table.print();
}

fn print_document(timeline: &Timeline, number: u64) -> Exit {
    let Some(revision) = timeline.revisions.get(&number) else { return report_missing(number) };
    print!("{}", revision.text);
    Exit::Done
}

fn print_changes(timeline: &Timeline, number: u64) -> Exit {
    let Some(revision) = timeline.revisions.get(&number) else { return report_missing(number) };
    let previous = timeline.revisions.get(&number.saturating_sub(1));
    if previous.is_none() && number > 1 {
        return report_missing(number - 1);
    }
    let previous = previous.map(|revision| &revision.document);
    super::diff::print(&difference(previous, &revision.document));
    Exit::Done
}

fn report_missing(number: u64) -> Exit {
    println!("the log no longer keeps revision `{number}`");
    Exit::Refused
}
