//! `cornellink explain`: describes a result code.

use clap::{value_parser, Arg, ArgMatches, Command};

use super::exit::Exit;
use super::{options, Result};
use crate::prelude::*;

pub fn command() -> Command {
    Command::new("explain")
        .about("Explains a result code")
        .arg(
            Arg::new("code")
                .required(true)
                .value_parser(value_parser!(u16))
                .help("Number from the header `cornellink-code`"),
        )
        .arg(options::json())
        .after_help("Examples:\n  cornellink explain 203\n  cornellink explain --json 301")
}

pub fn run(matches: &ArgMatches) -> Result<Exit> {
    let number: u16 = *matches.get_one("code").expect("the argument is required");
    let Some(code) = Code::from_number(number) else {
        println!("code `{number}` does not exist; `cornellink codes` lists all");
        return Ok(Exit::Refused);
    };
    if matches.get_flag("json") {
        let json = serde_json::json!({
            "code": number,
            "text": code.text(),
            "status": code.status().as_u16(),
            "explanation": code.explanation().trim(),
            "notRun": code.is_not_run(),
            "outcomeUnknown": code.is_unknown(),
        });
        println!("{json}");
        return Ok(Exit::Done);
    }
    println!("{number} {} (HTTP status {})", code.text(), code.status().as_u16());
    println!("{}", code.explanation().trim());
    println!("{}", advice(code));
    Ok(Exit::Done)
}

/// Whether the call ran and whether the caller may send it again.
pub fn advice(code: Code) -> &'static str {
    match code {
        Code::RefusedDuplicate => "Ask again with the same key for the response of the first call.",
        Code::RefusedWindow => "The call was not run now; an earlier call with the key may have.",
        _ => match code.number() {
            100..=199 => "The call ran; the response is the target's own.",
            300..=399 => "The call may have run; send it again only if it is idempotent.",
            400..=599 => "The call was not run; sent again unchanged, it is refused again.",
            _ => "The call was not run; it can be sent again.",
        },
    }
}
