//! Starts instances while discovery is down, with one build or two, and prints the violated rules or the times of the
//! first requests. Also measures the cost of caching the endpoint list.

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

/// How long discovery is down after the start of the instances.
const DISCOVERY_DOWN: Duration = Duration::from_millis(1_500);

/// The experiments. The doc comments of the variants are part of the help text.
#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Experiment {
    /// Random faults: prints the violated rules
    Faults,
    /// No faults: prints the time until the first read and the first write, by the age of the cached list
    Ages,
    /// No outage: prints the reads per second with and without caching of the endpoint list
    Rate,
}

/// Starts instances while discovery is down, with a cached endpoint list that may be outdated.
#[derive(Parser)]
struct Arguments {
    /// The experiment to run
    #[arg(value_enum, default_value_t = Experiment::Faults)]
    experiment: Experiment,
    /// Executable of the daemon to test
    #[arg(long)]
    daemon: PathBuf,
    /// Executable of an earlier build without a state directory, for comparison
    #[arg(long)]
    before: Option<PathBuf>,
    /// Number of runs, each with its own seed; in `rate`, the number of pairs of measurements
    #[arg(long, default_value_t = 200)]
    seeds: u64,
    /// Seed of the first run; each later run uses the next number
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// Number of concurrent runs in `faults`
    #[arg(long, default_value_t = 4)]
    at_once: usize,
    /// Print the logs of the instances after each failed run of `faults`
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

/// The builds that the command line names.
fn builds(arguments: &Arguments) -> Vec<NamedBuild<'_>> {
    builds_to_compare(&arguments.daemon, arguments.before.as_deref())
}
