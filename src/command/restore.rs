//! `cornellink restore`: puts a document in force if the log and all entries have lost it.

use clap::{value_parser, Arg, ArgMatches, Command};

use super::entries::EntryStatus;
use super::exit::{self, Exit};
use super::timeline::Timeline;
use super::{options, Result};
use crate::process::runtime::block_on;
use crate::version::parse::parse;
use crate::version::record::{ConfigRecord, RenewRecord};

pub fn command() -> Command {
    Command::new("restore")
        .about("Puts a document back in force after the log and all entries have lost it")
        .long_about(
            "Puts a document back in force after the log and all entries have lost it, as when \
             every entry was down for longer than the retention of the log. It is refused as long \
             as the log or one of the entries still has a revision. Name all entries.",
        )
        .arg(Arg::new("document").required(true).help("Path of the document"))
        .arg(
            Arg::new("revision")
                .long("revision")
                .value_name("NUMBER")
                .required(true)
                .value_parser(value_parser!(u64).range(1..))
                .help("Number of the revision, at least that of the last one"),
        )
        .arg(options::platform())
        .arg(options::admin().required(true))
        .after_help(format!(
            "Examples:\n  cornellink restore --platform 10.1.0.2:7000 --revision 42 \\\n    \
             --admin 10.1.1.5:9090,10.1.2.5:9090 hungary.jsonc\n\n{}",
            exit::HELP
        ))
}

pub fn run(matches: &ArgMatches) -> Result<Exit> {
    let text = options::read_file(options::required_text(matches, "document"))?;
    let document = parse(&text)?;
    let platform = options::required_address(matches, "platform");
    let admins = options::addresses(matches, "admin");
    let number: u64 = *matches.get_one("revision").expect("the argument is required");
    block_on(async move {
        let entries = EntryStatus::fetch_all(&admins).await;
        if let Some(entry) = entries.iter().find(|entry| entry.report.is_none()) {
            println!("not restored: the entry at `{}` does not respond", entry.admin);
            return Ok(Exit::Unreachable);
        }
        if let Some(entry) = entries.iter().find(|entry| entry.revision() > 0) {
            println!("not restored: the entry at `{}` has a revision in force", entry.admin);
            return Ok(Exit::Conflict);
        }
        let timeline = Timeline::read(platform, &[]).await?;
        let through = timeline.history.next().checked_sub(1);
        let (Some(through), false) = (through, timeline.history.is_known()) else {
            println!("not restored: the log tells the revision in force; use `publish`");
            return Ok(Exit::Conflict);
        };
        let record = RenewRecord {
            format: document.format,
            number,
            nonce: rand::random(),
            author: "restore".into(),
            through,
            text,
        };
        let offset = timeline.append(&ConfigRecord::Renew(record)).await?;
        println!("revision {number} is restored at offset {offset}");
        Ok(Exit::Done)
    })?
}
