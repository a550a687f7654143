//! `cornellink publish`: publishes a document and optionally waits until entries apply it.

use clap::{Arg, ArgAction, ArgMatches, Command};

use super::entries::EntryStatus;
use super::exit::{self, Exit};
use super::publication::{Publication, PublishOutcome};
use super::timeline::Timeline;
use super::{diff, options, status, Result};
use crate::prelude::*;
use crate::process::runtime::block_on;
use crate::version::document::Document;
use crate::version::parse::parse;

/// Interval at which `--wait` queries the entries.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Default of `--timeout`. A change must be in force on every entry within this time.
const DEFAULT_TIMEOUT_SECONDS: u64 = 6;

pub fn command() -> Command {
    let command = Command::new("publish")
        .about("Publishes a document in place of the revision in force")
        .arg(Arg::new("document").required(true).help("Path of the document"))
        .arg(options::number("replace", "Revision to replace [default: the one in force]"));
    add_shared_arguments(command).arg(options::platform()).after_help(format!(
        "Examples:\n  cornellink publish --platform 10.1.0.2:7000 hungary.jsonc\n  \
         cornellink publish --platform 10.1.0.2:7000 --replace 41 hungary.jsonc\n  \
         cornellink publish --platform 10.1.0.2:7000 --wait \\\n    \
         --admin 10.1.1.5:9090,10.1.2.5:9090 hungary.jsonc\n\n{}",
        exit::HELP
    ))
}

/// Adds the arguments that `publish` and `promote` share.
pub fn add_shared_arguments(command: Command) -> Command {
    let wait = Arg::new("wait").long("wait").action(ArgAction::SetTrue);
    command
        .arg(options::text("author", "NAME", "Author of the publication [default: $USER]"))
        .arg(options::admin())
        .arg(wait.requires("admin").help("Wait until the document is in force on the entries"))
        .arg(options::number("timeout", "Seconds to wait for the log and for the entries"))
        .arg(options::json())
}

pub fn run(matches: &ArgMatches) -> Result<Exit> {
    let text = options::read_file(options::required_text(matches, "document"))?;
    let document = parse(&text)?;
    let platform = options::required_address(matches, "platform");
    let replace = matches.get_one("replace").copied();
    block_on(publish(matches, platform, document, text, replace))?
}

/// Publishes a document, waits for the entries if `--wait` is given, and prints the outcome.
pub async fn publish(
    matches: &ArgMatches,
    platform: SocketAddr,
    document: Document,
    text: String,
    replace: Option<u64>,
) -> Result<Exit> {
    let admins = options::addresses(matches, "admin");
    let user = std::env::var("USER").unwrap_or_else(|_| "unknown".into());
    let author = matches.get_one::<String>("author").unwrap_or(&user);
    let seconds = matches.get_one::<u64>("timeout").copied().unwrap_or(DEFAULT_TIMEOUT_SECONDS);
    let timeout = Duration::from_secs(seconds);
    let is_json = matches.get_flag("json");

    let outcome = match incompatible_entry(&admins, document.format).await {
        Some(reason) => PublishOutcome::Refused { reason },
        None => {
            let mut timeline = Timeline::read(platform, &admins).await?;
            let replaces = replace.unwrap_or_else(|| timeline.history.number());
            let publication = Publication::new(&document, text, author, replaces);
            publication.send(&mut timeline, timeout).await
        }
    };
    let mut entries = Vec::new();
    let mut exit = exit_for(&outcome);
    if let (PublishOutcome::Accepted { revision, .. }, true) = (&outcome, matches.get_flag("wait"))
    {
        entries = wait_until_in_force(&admins, *revision, timeout).await;
        if entries.iter().any(|entry| entry.revision() < *revision) {
            exit = Exit::Pending;
        }
    }
    if is_json {
        println!("{}", serde_json::json!({ "result": outcome, "entries": entries }));
        return Ok(exit);
    }
    print_outcome(&outcome);
    if !entries.is_empty() {
        status::print_table(&entries);
    }
    Ok(exit)
}

async fn incompatible_entry(admins: &[SocketAddr], format: u32) -> Option<String> {
    let entries = EntryStatus::fetch_all(admins).await;
    let reports = entries.iter().filter_map(|entry| entry.report.as_ref());
    let mut incompatible = reports.filter(|report| {
        let formats = &report.configuration.formats;
        !formats.is_empty() && !formats.contains(&format)
    });
    incompatible
        .next()
        .map(|report| format!("entry `{}` does not know format {format}", report.name))
}

async fn wait_until_in_force(
    admins: &[SocketAddr],
    revision: u64,
    timeout: Duration,
) -> Vec<EntryStatus> {
    let deadline = Instant::now() + timeout;
    loop {
        let entries = EntryStatus::fetch_all(admins).await;
        let is_in_force = entries.iter().all(|entry| entry.revision() >= revision);
        if is_in_force || Instant::now() >= deadline {
            return entries;
        }
        monoio::time::sleep(STATUS_POLL_INTERVAL).await;
    }
}

fn exit_for(outcome: &PublishOutcome) -> Exit {
    match outcome {
        PublishOutcome::Accepted { .. } => Exit::Done,
        PublishOutcome::Conflict { .. } => Exit::Conflict,
        PublishOutcome::Refused { .. } => Exit::Refused,
        PublishOutcome::Unknown { .. } => Exit::Unreachable,
    }
}

fn print_outcome(outcome: &PublishOutcome) {
    match outcome {
        PublishOutcome::Accepted { revision, replaces, offset } => {
            println!("revision {revision} is accepted at offset {offset}; it replaces {replaces}");
        }
        PublishOutcome::Conflict { replaces, revision, winner, changes } => {
            println!("conflict: not published, because it replaces revision {replaces} and");
            println!("revision {revision} by `{winner}` is in force, which changed:");
            diff::print(changes);
        }
        PublishOutcome::Refused { reason } => println!("not published: {reason}"),
        PublishOutcome::Unknown { reason } => {
            println!("outcome unknown, see `cornellink history` later: {reason}");
        }
    }
}
