//! The `cornellink-load` command line.

use std::process::ExitCode;

use clap::{value_parser, Arg, ArgAction, ArgMatches, Command};

use super::generate::{generate, TraceParameters};
use super::outcome::ExpectedOutcome;
use super::report::Report;
use super::scenario::Scenario;
use super::send::{send, SendOptions};
use super::{compare, plot, trace};
use crate::prelude::*;
use crate::process::runtime::block_on;

/// Exit code if the report violates the expected outcome.
const EXIT_CODE_VIOLATED: u8 = 1;

/// Runs the subcommand given on the command line.
pub fn run() -> eyre::Result<ExitCode> {
    match command().get_matches().subcommand() {
        Some(("compare", matches)) => compare_reports(matches),
        Some(("generate", matches)) => generate_trace(matches),
        Some(("run", matches)) => run_trace(matches),
        _ => unreachable!("clap requires one of the subcommands"),
    }
}

fn command() -> Command {
    Command::new("cornellink-load")
        .about("Generates traces, sends them, and judges the outcome")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .after_help(
            "Examples:\n  \
             cornellink-load generate opening --rate 500 --seconds 10 > opening.jsonl\n  \
             cornellink-load run opening.jsonl --to 10.0.0.1:8080 --report after.json --plot after.svg\n  \
             cornellink-load run opening.jsonl --to 10.0.0.1:8080 --outcome opening.outcome.jsonc\n  \
             cornellink-load compare before.json after.json --plot both.svg\n\n\
             Exit codes: 0 all outcomes hold, 1 an outcome does not hold or an error occurred, \
             2 wrong usage.",
        )
        .subcommands([compare_command(), generate_command(), run_command()])
}

fn compare_command() -> Command {
    Command::new("compare")
        .about("Compares two reports")
        .arg(Arg::new("before").required(true).help("Report of the earlier run"))
        .arg(Arg::new("after").required(true).help("Report of the later run"))
        .arg(plot_arg())
}

fn generate_command() -> Command {
    let names: Vec<&str> = Scenario::ALL.iter().map(|(name, _)| *name).collect();
    Command::new("generate")
        .about("Writes a trace to standard output")
        .arg(Arg::new("scenario").required(true).value_parser(names))
        .arg(number_arg("rate", "200", "Mean arrival rate in calls per second"))
        .arg(number_arg("seconds", "10", "Length of the trace in seconds"))
        .arg(
            Arg::new("seed")
                .long("seed")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Seed of the random numbers"),
        )
}

fn run_command() -> Command {
    Command::new("run")
        .about("Sends a trace and reports what became of its calls")
        .arg(Arg::new("trace").required(true).help("Path of the trace"))
        .arg(
            Arg::new("to")
                .long("to")
                .required(true)
                .value_delimiter(',')
                .value_parser(value_parser!(SocketAddr))
                .help("Addresses of entries, separated by commas"),
        )
        .arg(number_arg("speed", "1", "Factor on the speed of the trace"))
        .arg(Arg::new("outcome").long("outcome").help("Path of the outcomes that must hold"))
        .arg(Arg::new("report").long("report").help("Path to write the report to, as JSON"))
        .arg(plot_arg())
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print the report as JSON instead of a table"),
        )
}

fn number_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default).value_parser(parse_positive).help(help)
}

fn parse_positive(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(value) if value.is_finite() && value > 0.0 => Ok(value),
        Ok(_) | Err(_) => Err(format!("`{text}` is not a positive number")),
    }
}

fn plot_arg() -> Arg {
    Arg::new("plot").long("plot").help("Path to write a plot to, as SVG")
}

fn required_text<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).expect("clap requires the argument")
}

fn compare_reports(matches: &ArgMatches) -> eyre::Result<ExitCode> {
    let before = Report::load(required_text(matches, "before"))?;
    let after = Report::load(required_text(matches, "after"))?;
    print!("{}", compare::compare(&before, &after));
    if let Some(path) = matches.get_one::<String>("plot") {
        plot::draw(&[("before", &before), ("after", &after)], path)?;
    }
    Ok(ExitCode::SUCCESS)
}

fn generate_trace(matches: &ArgMatches) -> eyre::Result<ExitCode> {
    let scenario = Scenario::from_name(required_text(matches, "scenario"));
    let parameters = TraceParameters {
        scenario: scenario.expect("clap accepts known scenarios only"),
        seconds: *matches.get_one("seconds").expect("the argument has a default"),
        rate: *matches.get_one("rate").expect("the argument has a default"),
        seed: *matches.get_one("seed").expect("the argument has a default"),
    };
    print!("{}", trace::format(&generate(&parameters)));
    Ok(ExitCode::SUCCESS)
}

fn run_trace(matches: &ArgMatches) -> eyre::Result<ExitCode> {
    let calls = trace::load(required_text(matches, "trace"))?;
    let outcome = matches.get_one::<String>("outcome").map(|path| ExpectedOutcome::load(path));
    let outcome = outcome.transpose()?;
    let options = SendOptions {
        entries: matches.get_many("to").expect("clap requires the argument").copied().collect(),
        speed: *matches.get_one("speed").expect("the argument has a default"),
    };
    let outcomes = block_on(send(&calls, options))??;
    let report = Report::new(&calls, &outcomes);
    if matches.get_flag("json") {
        println!("{}", report.to_json());
    } else {
        print!("{}", report.to_table());
    }
    if let Some(path) = matches.get_one::<String>("report") {
        std::fs::write(path, report.to_json())?;
    }
    if let Some(path) = matches.get_one::<String>("plot") {
        plot::draw(&[("run", &report)], path)?;
    }
    let violations = outcome.map(|outcome| outcome.violations(&report)).unwrap_or_default();
    for violation in &violations {
        eprintln!("{violation}");
    }
    Ok(if violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(EXIT_CODE_VIOLATED) })
}
