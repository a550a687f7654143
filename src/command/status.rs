//! `cornellink status`: lists entries with the revision that each has in force.

use clap::{ArgMatches, Command};

use super::entries::EntryStatus;
use super::exit::{self, Exit};
use super::table::Table;
use super::{options, Result};
use crate::process::runtime::block_on;

pub fn command() -> Command {
    Command::new("status")
        .about("Shows all entries at a glance")
        .arg(options::admin().required(true))
        .arg(options::json())
        .after_help(format!(
            "Examples:\n  cornellink status --admin 10.1.1.5:9090,10.1.2.5:9090\n  \
             cornellink status --json --admin 10.1.1.5:9090 | jq '.[].report.revision'\n\n{}",
            exit::HELP
        ))
}

pub fn run(matches: &ArgMatches) -> Result<Exit> {
    let admins = options::addresses(matches, "admin");
    let entries = block_on(EntryStatus::fetch_all(&admins))?;
    if matches.get_flag("json") {
        println!("{}", serde_json::json!(entries));
    } else {
        print_table(&entries);
    }
    let newest = entries.iter().map(EntryStatus::revision).max().unwrap_or(0);
    let is_healthy = |entry: &EntryStatus| entry.revision() == newest && entry.remark().is_empty();
    Ok(if entries.iter().all(is_healthy) { Exit::Done } else { Exit::Differs })
}

/// Prints a table with one line per entry.
pub fn print_table(entries: &[EntryStatus]) {
    let newest = entries.iter().map(EntryStatus::revision).max().unwrap_or(0);
    let mut table =
        Table::new(&["ENTRY", "ADMIN", "DOMAIN", "READY", "REVISION", "LOG LAG", "REMARK"]);
    for entry in entries {
        let report = entry.report.clone().unwrap_or_default();
        let mut remark = entry.remark();
        if remark.is_empty() && entry.revision() < newest {
            remark = format!("behind revision {newest}");
        }
        table.push(vec![
            report.name,
            entry.admin.to_string(),
            report.domain,
            if report.ready { "yes" } else { "no" }.into(),
            report.revision.map_or("-".into(), |number| number.to_string()),
            report.configuration.lag.to_string(),
            remark,
        ]);
    }
    table.print();
}
