//! `cornellink key`: creates an environment's certificate authority and issues certificates.

use std::fs;
use std::path::{Path, PathBuf};

use clap::{value_parser, Arg, ArgMatches, Command};

use super::authority::{replace_file, CertifiedKey};
use super::exit::Exit;
use super::Result;
use crate::prelude::*;

const DAY_SECONDS: u64 = 24 * 60 * 60;
/// File name of the authority's certificate and key, without extension.
const AUTHORITY_STEM: &str = "authority";

const EXAMPLES: &str = "\
Examples:
  cornellink key authority --environment trial --out keys
  cornellink key issue entry-1 --authority keys --out keys
  cornellink key renew entry-1 --authority keys --out keys
  cornellink key bundle old/authority.pem new/authority.pem --out keys/authorities.pem";

pub fn command() -> Command {
    Command::new("key")
        .about("Creates and renews the keys with which entries prove themselves to each other")
        .after_help(EXAMPLES)
        .subcommand_required(true)
        .subcommand(
            Command::new("authority")
                .about("Creates the authority of an environment")
                .arg(
                    Arg::new("environment")
                        .long("environment")
                        .required(true)
                        .help("Name of the environment"),
                )
                .arg(days_arg("3650"))
                .arg(out_arg("Directory for authority.pem and authority.key"))
                .after_help("Keep authority.key off the entries; they need authority.pem only."),
        )
        .subcommand(certificate_command("issue", "Creates the first certificate of an entry"))
        .subcommand(certificate_command("renew", "Replaces the certificate and key of an entry"))
        .subcommand(
            Command::new("bundle")
                .about("Joins authorities that entries accept during a rotation")
                .arg(
                    Arg::new("authorities")
                        .num_args(1..)
                        .required(true)
                        .value_parser(value_parser!(PathBuf))
                        .help("Paths of the authorities' certificates"),
                )
                .arg(out_arg("Path of the file to write")),
        )
}

pub fn run(matches: &ArgMatches) -> Result<Exit> {
    match matches.subcommand() {
        Some(("authority", matches)) => create_authority(matches),
        Some(("issue", matches)) => issue_certificate(matches, false),
        Some(("renew", matches)) => issue_certificate(matches, true),
        Some(("bundle", matches)) => bundle_authorities(matches),
        _ => Ok(Exit::Done),
    }
}

fn certificate_command(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(Arg::new("entry").required(true).help("Name of the entry, as in its settings"))
        .arg(
            Arg::new("authority")
                .long("authority")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Directory of authority.pem and authority.key"),
        )
        .arg(days_arg("30"))
        .arg(out_arg("Directory for the entry's files"))
}

fn days_arg(default: &'static str) -> Arg {
    Arg::new("days")
        .long("days")
        .default_value(default)
        .value_parser(value_parser!(u64).range(1..=36_500))
        .help("Days for which the certificate is valid")
}

fn out_arg(help: &'static str) -> Arg {
    Arg::new("out").long("out").required(true).value_parser(value_parser!(PathBuf)).help(help)
}

fn create_authority(matches: &ArgMatches) -> Result<Exit> {
    let environment: &String = matches.get_one("environment").expect("it is required");
    let stem = create_output_directory(matches)?.join(AUTHORITY_STEM);
    ensure_absent(&stem)?;
    CertifiedKey::create_authority(environment, validity(matches))?.write(&stem)?;
    println!("created `{0}.pem` and `{0}.key`", stem.display());
    Ok(Exit::Done)
}

fn issue_certificate(matches: &ArgMatches, is_renewal: bool) -> Result<Exit> {
    let entry: &String = matches.get_one("entry").expect("it is required");
    let authority: &PathBuf = matches.get_one("authority").expect("it is required");
    let stem = create_output_directory(matches)?.join(entry);
    if is_renewal {
        if !key_files_exist(&stem) {
            return Err(key_error(format!("`{}.pem` does not exist; use `issue`", stem.display())));
        }
    } else {
        ensure_absent(&stem)?;
    }
    let authority = CertifiedKey::read(&authority.join(AUTHORITY_STEM))?;
    authority.issue(entry, validity(matches))?.write(&stem)?;
    println!("wrote `{0}.pem` and `{0}.key`", stem.display());
    Ok(Exit::Done)
}

fn bundle_authorities(matches: &ArgMatches) -> Result<Exit> {
    let paths = matches.get_many::<PathBuf>("authorities").expect("one is required");
    let mut text = String::new();
    for path in paths {
        let part = fs::read_to_string(path).map_err(|source| file_error(path, source))?;
        text.push_str(part.trim_end());
        text.push('\n');
    }
    let out: &PathBuf = matches.get_one("out").expect("it is required");
    replace_file(out, &text, 0o644)?;
    println!("wrote `{}`", out.display());
    Ok(Exit::Done)
}

fn create_output_directory(matches: &ArgMatches) -> Result<PathBuf> {
    let out: &PathBuf = matches.get_one("out").expect("it is required");
    fs::create_dir_all(out).map_err(|source| file_error(out, source))?;
    Ok(out.clone())
}

fn validity(matches: &ArgMatches) -> Duration {
    let days: u64 = *matches.get_one("days").expect("it has a default");
    Duration::from_secs(days * DAY_SECONDS)
}

fn key_files_exist(stem: &Path) -> bool {
    stem.with_extension("pem").exists() || stem.with_extension("key").exists()
}

fn ensure_absent(stem: &Path) -> Result<()> {
    if key_files_exist(stem) {
        return Err(key_error(format!("`{}.pem` exists already", stem.display())));
    }
    Ok(())
}

fn key_error(reason: String) -> Error {
    Error::Key { reason }
}

fn file_error(path: &Path, source: std::io::Error) -> Error {
    Error::File { path: path.display().to_string(), source }
}
