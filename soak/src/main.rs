//! Injects faults into a deployment of gateway processes on loopback and checks, from the records
//! of callers and back ends, that the guarantees of the load balancer hold.

mod call;
mod callers;
mod checks;
mod deployment;
mod faults;
#[path = "../../platform/tests/fixture/mod.rs"]
mod fixture;
mod interval;
mod key_book;
mod stops;
mod trials;
mod workspace_checks;

use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use clap::{value_parser, Arg, Command};

use crate::callers::Callers;
use crate::deployment::Deployment;

/// Time for calls in flight to recover after the last fault.
const RECOVERY_DELAY: Duration = Duration::from_millis(1500);

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
    let mut failed = 0;
    for seed in get("seed")..get("seed") + get("seeds") {
        let violations = run_seed(seed, get("steps"));
        for violation in &violations {
            println!("seed {seed}: {violation}");
        }
        failed += u64::from(!violations.is_empty());
    }
    println!("{} passed, {failed} failed", get("seeds") - failed);
    if failed > 0 {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}

/// Runs the faults of one seed and returns the violations of the guarantees.
fn run_seed(seed: u64, steps: u64) -> Vec<String> {
    let mut deployment = Deployment::start(seed);
    let stop = Arc::new(AtomicBool::new(false));
    let callers = Callers::start(seed, &deployment.gateway_addresses(), &deployment.keys, &stop);
    deployment.stop_in_stages();
    deployment.count("StoreReturns".into());
    deployment.return_store();
    for _ in 0..steps {
        deployment.play_step();
    }
    deployment.restore_gateways();
    deployment.finish_trials();
    thread::sleep(RECOVERY_DELAY);
    stop.store(true, Ordering::SeqCst);
    let calls = callers.join();
    let violations = checks::find_violations(&calls, &deployment);
    let count = |status| calls.iter().filter(|call| call.status == Some(status)).count();
    println!(
        "seed {seed}: {} calls, {} served, {} without a key, {} beyond the quota, faults: {}",
        calls.len(),
        count(200),
        count(401),
        count(429),
        deployment.fault_summary()
    );
    violations
}
