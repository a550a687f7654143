//! Plays faults against gateway processes on loopback and checks the promises from what callers
//! and targets see.

mod callers;
mod faults;
#[path = "../../platform/tests/fixture/mod.rs"]
mod fixture;
mod verdict;

use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use clap::{value_parser, Arg, Command};

use crate::callers::Callers;
use crate::faults::Stage;

/// Time for the last calls to end once the faults are over.
const QUIET: Duration = Duration::from_millis(1500);

fn main() -> ExitCode {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_parser(value_parser!(u64)).default_value(default).help(help)
    };
    let matches = Command::new("cornellink-soak")
        .about("Plays faults against gateway processes and checks the promises")
        .arg(number("seed", "1", "First seed"))
        .arg(number("seeds", "1", "Number of seeds"))
        .arg(number("steps", "10", "Faults of each seed"))
        .get_matches();
    let get = |name: &str| *matches.get_one::<u64>(name).expect("the argument has a default");
    let mut broken = 0;
    for seed in get("seed")..get("seed") + get("seeds") {
        let findings = play(seed, get("steps"));
        for finding in &findings {
            println!("seed {seed}: {finding}");
        }
        broken += u64::from(!findings.is_empty());
    }
    println!("{} passed, {broken} failed", get("seeds") - broken);
    if broken > 0 {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}

/// Plays one seed and returns the promises that were broken.
fn play(seed: u64, steps: u64) -> Vec<String> {
    let mut stage = Stage::start(seed);
    let stop = Arc::new(AtomicBool::new(false));
    let callers = Callers::start(seed, stage.fronts(), stop.clone());
    for _ in 0..steps {
        stage.step();
    }
    stage.settle();
    thread::sleep(QUIET);
    stop.store(true, Ordering::SeqCst);
    let calls = callers.join();
    let findings = verdict::judge(&calls, &stage);
    let served = calls.iter().filter(|call| call.status == Some(200)).count();
    println!("seed {seed}: {} calls, {served} served, faults: {}", calls.len(), stage.told());
    findings
}
