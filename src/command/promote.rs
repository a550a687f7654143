//! `cornellink promote`: publishes a revision of the trial environment in production.

use clap::{Arg, ArgAction, ArgMatches, Command};

use super::exit::{self, Exit};
use super::timeline::Timeline;
use super::{diff, options, publish, Result};
use crate::prelude::*;
use crate::process::runtime::block_on;
use crate::version::difference::difference;
use crate::version::overlay::Overlay;
use crate::version::parse::parse;
use crate::version::revision::Revision;

/// Environment that a document is promoted to if no overlay is given.
const DEFAULT_ENVIRONMENT: &str = "production";

pub fn command() -> Command {
    let yes = Arg::new("yes").long("yes").action(ArgAction::SetTrue);
    let command = Command::new("promote")
        .about("Publishes in production a document that was in force in trial")
        .arg(options::address("from", "Address of the log of the trial").required(true))
        .arg(options::address("to", "Address of the log of production").required(true))
        .arg(options::number("revision", "Revision of the trial [default: the one in force]"))
        .arg(options::text("document", "FILE", "Promote only if the revision has this text"))
        .arg(options::text("overlay", "FILE", "Environment and targets of production"))
        .arg(options::number("replace", "Revision of production to replace"))
        .arg(yes.help("Publish; without it the difference is shown and nothing is published"));
    publish::add_shared_arguments(command).after_help(format!(
        "Examples:\n  cornellink promote --from 10.1.0.2:7000 --to 10.11.0.2:7000 \\\n    \
         --overlay examples/production/hungary.jsonc\n  \
         cornellink promote --from 10.1.0.2:7000 --to 10.11.0.2:7000 --revision 41 \\\n    \
         --overlay examples/production/hungary.jsonc --replace 17 --yes --wait \\\n    \
         --admin 10.11.1.5:9090,10.11.2.5:9090\n\n{}",
        exit::HELP
    ))
}

pub fn run(matches: &ArgMatches) -> Result<Exit> {
    let overlay = match matches.get_one::<String>("overlay") {
        Some(path) => Overlay::parse(&options::read_file(path)?)?,
        None => Overlay::environment(DEFAULT_ENVIRONMENT),
    };
    let expected_text = matches.get_one::<String>("document");
    let expected_text = expected_text.map(|path| options::read_file(path)).transpose()?;
    block_on(promote(matches, &overlay, expected_text))?
}

async fn promote(
    matches: &ArgMatches,
    overlay: &Overlay,
    expected_text: Option<String>,
) -> Result<Exit> {
    let trial = Timeline::read(options::required_address(matches, "from"), &[]).await?;
    let number = matches.get_one::<u64>("revision").copied();
    let Some(revision) = find_revision(&trial, number, expected_text.as_deref()) else {
        println!("not promoted: no such document was in force in trial, as far as its log goes");
        return Ok(Exit::Refused);
    };
    let text = overlay.apply(&revision.text)?;
    let document = parse(&text)?;

    let to = options::required_address(matches, "to");
    let production = Timeline::read(to, &options::addresses(matches, "admin")).await?;
    let current = production.history.current();
    let replaces = matches.get_one("replace").copied().unwrap_or(production.history.number());
    if !matches.get_flag("json") {
        println!("revision {} of trial would replace revision {replaces}:", revision.number);
        let before = current.as_ref().map(|current| &current.document);
        diff::print(&difference(before, &document));
    }
    if !matches.get_flag("yes") {
        println!("nothing was published; repeat with `--replace {replaces} --yes` to publish");
        return Ok(Exit::Done);
    }
    publish::publish(matches, to, document, text, Some(replaces)).await
}

fn find_revision(
    trial: &Timeline,
    number: Option<u64>,
    expected_text: Option<&str>,
) -> Option<Rc<Revision>> {
    let is_match = |revision: &&Rc<Revision>| {
        number.is_none_or(|number| revision.number == number)
            && expected_text.is_none_or(|text| revision.text == text)
    };
    trial.revisions.values().rev().find(is_match).cloned()
}
