//! `cornellink check`: validates a document, an overlay or a settings file.

use clap::{Arg, ArgAction, ArgMatches, Command};

use super::exit::{self, Exit};
use super::{options, Result};
use crate::prelude::*;
use crate::process::gateway::settings::GatewaySettings;
use crate::process::settings::Settings;
use crate::version::overlay::Overlay;
use crate::version::parse::parse;

pub fn command() -> Command {
    let flag = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).action(ArgAction::SetTrue).help(help)
    };
    Command::new("check")
        .about("Checks a document, an overlay or settings and lists every problem")
        .arg(Arg::new("file").required(true).help("Path of the file"))
        .arg(flag("overlay", "The file is an overlay for `promote`").conflicts_with("settings"))
        .arg(flag("settings", "The file holds the settings of an entry"))
        .arg(
            flag("gateway", "The file holds the settings of a gateway")
                .conflicts_with_all(["settings", "overlay"]),
        )
        .arg(options::json())
        .after_help(format!(
            "Examples:\n  cornellink check examples/hungary.jsonc\n  \
             cornellink check --overlay examples/production/hungary.jsonc\n  \
             cornellink check --settings examples/settings/entry.jsonc\n  \
             cornellink check --gateway examples/settings/gateway.jsonc\n  \
             cornellink check --json examples/ebro.jsonc | jq '.problems[].path'\n\n{}",
            exit::HELP
        ))
}

pub fn run(matches: &ArgMatches) -> Result<Exit> {
    let path = options::required_text(matches, "file");
    let text = options::read_file(path)?;
    let summary = if matches.get_flag("settings") {
        Settings::parse(&text).map(|settings| format!("settings of `{}`", settings.name))
    } else if matches.get_flag("gateway") {
        GatewaySettings::parse(&text).map(|settings| format!("settings of `{}`", settings.name))
    } else if matches.get_flag("overlay") {
        Overlay::parse(&text).map(|overlay| format!("overlay for `{}`", overlay.environment))
    } else {
        parse(&text).map(|document| {
            let targets: usize =
                document.services.iter().map(|service| service.targets.len()).sum();
            let services = document.services.len();
            format!(
                "document of `{}`: {services} services, {targets} targets",
                document.environment
            )
        })
    };
    let problems = match summary {
        Ok(summary) if matches.get_flag("json") => {
            println!("{}", serde_json::json!({ "valid": true, "summary": summary }));
            return Ok(Exit::Done);
        }
        Ok(summary) => {
            println!("`{path}` is valid: {summary}");
            return Ok(Exit::Done);
        }
        Err(Error::Invalid { problems }) => problems,
        Err(error) => return Err(error),
    };
    if matches.get_flag("json") {
        println!("{}", serde_json::json!({ "valid": false, "problems": problems }));
    } else {
        for problem in &problems {
            println!("{path}:{problem}");
        }
    }
    Ok(Exit::Refused)
}
