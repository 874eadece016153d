//! Runs starts with discovery down against one build or two, and prints which rules broke.

use clap::{Parser, ValueEnum};
use history_checker::Verdict;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use test_servers::comparison::{builds_to_compare, print_violations, NamedBuild};
use test_servers::restart::{reads_per_second, run_plan, Outcome, Phases, Plan};
use test_servers::{each_seed, Build};

/// Ages of the cached list, in seconds.
const AGES_S: [i64; 5] = [5, 60, 3_600, 86_400, 200_000];
const DISCOVERY_DOWN: Duration = Duration::from_millis(1_500);
/// Long enough after the return of discovery that all groups with a primary serve writes.
const DISCOVERY_BACK: Duration = Duration::from_millis(5_500);
/// For runs that only measure what is served while discovery is down.
const DISCOVERY_BACK_UNUSED: Duration = Duration::from_millis(10);
const VIOLATIONS_SHOWN: usize = 4;
const THROUGHPUT_CLIENTS: usize = 16;
const THROUGHPUT_DURATION: Duration = Duration::from_secs(3);

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

/// A plan and the result of its run.
struct Run {
    plan: Plan,
    outcome: Outcome,
}

/// Runs drawn faults with each build. Fails if this build violated a rule.
fn run_faults(arguments: &Arguments) -> ExitCode {
    let phases = Phases { discovery_down: DISCOVERY_DOWN, discovery_back: DISCOVERY_BACK };
    let mut failed = false;
    for NamedBuild { name, build } in builds(arguments) {
        let seeds = arguments.first..arguments.first + arguments.seeds;
        let runs = each_seed(seeds, arguments.at_once, |seed| {
            let plan = Plan::draw(seed);
            let outcome = run_plan(&plan, &build, phases).expect("a plan can be run here");
            Run { plan, outcome }
        });
        for Run { plan, outcome } in &runs {
            print_failure(plan, outcome, build.has_operator_file, arguments.logs);
        }
        print_summary(name, &runs);
        let broke = runs.iter().any(|run| !run.outcome.verdict.violations.is_empty());
        failed |= broke && build.has_operator_file;
    }
    ExitCode::from(u8::from(failed))
}

fn print_failure(plan: &Plan, outcome: &Outcome, expects_writes: bool, logs: bool) {
    let (writing, able) = (outcome.groups_writing, outcome.groups_with_primary);
    let lacks_writes = expects_writes && writing < able;
    let is_broken = !outcome.verdict.violations.is_empty();
    if lacks_writes {
        println!("  seed {}: {writing} of {able} groups write in the end: {plan:?}", plan.seed);
    }
    if is_broken {
        println!("  seed {}: {plan:?}", plan.seed);
        print_violations(&outcome.verdict, VIOLATIONS_SHOWN);
    }
    if logs && (lacks_writes || is_broken) {
        outcome.log.lines().for_each(|line| println!("    | {line}"));
    }
}

fn print_summary(name: &str, runs: &[Run]) {
    let mut sum = Verdict::default();
    runs.iter().for_each(|run| sum.add(run.outcome.verdict.clone()));
    let count = |matches: fn(&Outcome) -> bool| runs.iter().filter(|run| matches(&run.outcome)).count();
    let total = |value: fn(&Outcome) -> usize| runs.iter().map(|run| value(&run.outcome)).sum::<usize>();
    let (plans, broke) = (runs.len(), count(|run| !run.verdict.violations.is_empty()));
    let broken_rules = sum.broken_rules();
    let (requests, succeeded) = (sum.requests, sum.succeeded);
    println!(
        "{name}: {broke} of {plans} plans broke a rule {broken_rules:?}; of {requests} requests {succeeded} ok"
    );
    let without_discovery = count(|run| run.wrote_without_discovery);
    let (writing, able) = (total(|run| run.groups_writing), total(|run| run.groups_with_primary));
    println!(
        "{name}: writes served while discovery was down in {without_discovery} of {plans} plans; after \
         discovery's return in {writing} of {able} groups with a primary in reach"
    );
}

fn run_ages(arguments: &Arguments) {
    println!("ms from the start of the process, median (worst) of {} seeds", arguments.seeds);
    println!("{:<12} {:>10} {:>20} {:>20}", "build", "age", "first read", "first write");
    for age_s in AGES_S {
        for NamedBuild { name, build } in builds(arguments) {
            let (mut reads, mut writes) = (Vec::new(), Vec::new());
            for seed in arguments.first..arguments.first + arguments.seeds {
                let outcome = run_without_faults(seed, age_s, &build);
                reads.push(outcome.first_served.read_ms.unwrap_or(f64::INFINITY));
                writes.push(outcome.first_served.write_ms.unwrap_or(f64::INFINITY));
            }
            println!("{name:<12} {age_s:>8} s {:>20} {:>20}", summary(reads), summary(writes));
        }
    }
}

fn run_without_faults(seed: u64, age_s: i64, build: &Build) -> Outcome {
    let phases = Phases { discovery_down: DISCOVERY_DOWN, discovery_back: DISCOVERY_BACK_UNUSED };
    run_plan(&Plan::without_faults(seed, age_s), build, phases).expect("a plan can be run here")
}

/// Formats the median and the maximum of times.
fn summary(mut times_ms: Vec<f64>) -> String {
    times_ms.sort_by(f64::total_cmp);
    format!("{:.0} ({:.0})", times_ms[times_ms.len() / 2], times_ms[times_ms.len() - 1])
}

fn run_rate(arguments: &Arguments) {
    let (mut cached, mut plain) = (Vec::new(), Vec::new());
    for pair in 0..arguments.seeds {
        // Alternate the order, so that neither variant always runs first.
        for caches_list in [pair % 2 == 0, pair % 2 == 1] {
            let daemon = &arguments.daemon;
            let rate = reads_per_second(daemon, caches_list, THROUGHPUT_CLIENTS, THROUGHPUT_DURATION);
            let rates = if caches_list { &mut cached } else { &mut plain };
            rates.push(rate.expect("it can be run here"));
        }
    }
    let (cached, plain) = (median(cached), median(plain));
    println!(
        "reads answered a second, median of {} pairs: cached {cached:.0}, not {plain:.0}, ratio {:.3}",
        arguments.seeds,
        cached / plain
    );
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}
