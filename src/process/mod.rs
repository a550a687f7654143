//! The entry process: the state that lives as long as the process, and the tasks that share it.

pub mod admission;
pub mod budget;
pub mod caller_server;
pub mod caller_settings;
pub mod claims;
pub mod config_stream;
pub mod configuration;
pub mod demand;
pub mod drain_state;
pub mod durations;
pub mod entry;
pub mod gateway;
pub mod grace_period;
pub mod health;
pub mod log_writer;
pub mod logging;
pub mod metrics;
pub mod outcome;
pub mod peer_load;
pub mod peer_updates;
pub mod peers;
pub mod permit;
pub mod pipeline;
pub mod pool;
pub mod probes;
pub mod queue;
pub mod recorder;
pub mod routing;
pub mod running_call;
pub mod runtime;
pub mod scheduler;
pub mod service;
pub mod settings;
pub mod share;
pub mod shutdown;
pub mod suspension;
pub mod target;
pub mod vm_list;

use eyre::WrapErr;

use crate::prelude::*;

pub type Result<T> = std::result::Result<T, Error>;

/// Runs an entry with the settings file given on the command line.
pub fn run() -> eyre::Result<()> {
    let matches = clap::Command::new("cornellink-entry")
        .about("Serves callers on one entry VM")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(clap::Arg::new("settings").required(true).help("Path of the settings file"))
        .get_matches();
    let path: &String = matches.get_one("settings").expect("`settings` is required");
    let settings = settings::Settings::load(path).wrap_err("cannot start the entry")?;
    logging::init(&settings.log);
    runtime::block_on(entry::serve(settings))??;
    Ok(())
}
