//! Runs starts with discovery down against one build or two, and prints which rules broke, how long the first requests
//! took, or the cost of caching the endpoint list.

mod ages;
mod faults;
mod rate;

use ages::run_ages;
use clap::{Parser, ValueEnum};
use faults::run_faults;
use rate::run_rate;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use test_servers::comparison::{builds_to_compare, NamedBuild};

/// How long discovery is down after the start.
const DISCOVERY_DOWN: Duration = Duration::from_millis(1_500);

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Experiment {
    /// Drawn faults; which rules broke
    Faults,
    /// No faults; how long the first read and the first write take, by the list's age
    Ages,
    /// Reads per second with the list cached and not cached, in turn
    Rate,
}

/// Starts with discovery down and a list that may no longer be true.
#[derive(Parser)]
struct Arguments {
    #[arg(value_enum, default_value_t = Experiment::Faults)]
    experiment: Experiment,
    /// The daemon to test
    #[arg(long)]
    daemon: PathBuf,
    /// An earlier build without state directories, for comparison
    #[arg(long)]
    before: Option<PathBuf>,
    /// Runs
    #[arg(long, default_value_t = 200)]
    seeds: u64,
    /// The first seed
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// Runs at the same time
    #[arg(long, default_value_t = 4)]
    at_once: usize,
    /// Prints the log of the daemon wherever something broke
    #[arg(long)]
    logs: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match arguments.experiment {
        Experiment::Faults => return run_faults(&arguments),
        Experiment::Ages => run_ages(&arguments),
        Experiment::Rate => run_rate(&arguments),
    }
    ExitCode::SUCCESS
}

fn builds(arguments: &Arguments) -> Vec<NamedBuild<'_>> {
    builds_to_compare(&arguments.daemon, arguments.before.as_deref())
}
